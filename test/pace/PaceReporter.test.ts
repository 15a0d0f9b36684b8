import { expect } from 'chai';
import { toServerId } from '../../src/domain/index.js';
import { PaceEstimator, PaceReporter } from '../../src/pace/index.js';
import { Metrics, type Log } from '../../src/telemetry/index.js';
import { ManualClock } from '../fakes/ManualClock.js';

describe('PaceReporter', () => {
  it('logs and counts a bounded number of servers, and drops the metrics of those without a known pace', async () => {
    const clock = new ManualClock();
    const pace = new PaceEstimator();
    const lines: string[] = [];
    const log = {
      decision: (_decision: string, fields: { paceFactors: string }) => lines.push(fields.paceFactors),
    } as unknown as Log;
    const metrics = new Metrics();
    const reporter = new PaceReporter({ clock, pace, log, metrics, isEnabled: () => true });
    await reporter.start();
    const update = (prefix: string, nowMs: number) => {
      const model = ['a', { gapMs: 40, streamCount: 8, runningCount: 8 }] as const;
      const ids = Array.from({ length: 200 }, (_, index) => toServerId(`${prefix}-${index}`));
      pace.update(
        ids.map((serverId) => ({ serverId, paces: [model] })),
        nowMs,
      );
    };
    const countGauges = (prefix: string) =>
      metrics.toPrometheusText().split(`# TYPE monsoonglade_server_pace_${prefix}_`).length - 1;
    update('x', 0);
    clock.advance(10_000);
    expect(lines.at(-1)?.split(' ').length).to.equal(32);
    expect(countGauges('x')).to.equal(64);
    update('y', 60_000);
    clock.advance(10_000);
    expect([countGauges('x'), countGauges('y')]).to.deep.equal([0, 64]);
  });
});
