import { expect } from 'chai';
import { FleetView, RequestLimits } from '../../../src/direct/index.js';
import { ENGINES, makeConfiguration, makeRoute } from '../fleetFixtures.js';

describe('RequestLimits', () => {
  describe('getWaitDeadlineMs', () => {
    it('ends the wait shortly before the caller stops waiting, after four times its latency target', () => {
      const route = makeRoute({ latencyTargetMs: 2_500, timeoutMs: 20_000, maxGapMs: 200 });
      expect(new RequestLimits(route, 20_000, 1_000).getWaitDeadlineMs(1_000)).to.equal(1_000 + 10_000 - 300);
    });

    it('lets interactive requests wait for up to two seconds', () => {
      const route = makeRoute({ latencyTargetMs: 500, timeoutMs: 12_000 });
      expect(new RequestLimits(route, undefined, 0).getWaitDeadlineMs(0)).to.equal(2_000 - 300);
    });

    it('ends the wait before the deadline', () => {
      const route = makeRoute({ latencyTargetMs: 2_500, timeoutMs: 20_000 });
      expect(new RequestLimits(route, 1_000, 0).getWaitDeadlineMs(0)).to.equal(1_000 - 300);
    });

    it('counts from the last event of a stream, up to the deadline', () => {
      const limits = new RequestLimits(makeRoute({ latencyTargetMs: 500, timeoutMs: 12_000 }), undefined, 0);
      expect(limits.getWaitDeadlineMs(5_000)).to.equal(5_000 + 2_000 - 300);
      expect(limits.getWaitDeadlineMs(11_500)).to.equal(12_000 - 300);
    });
  });

  describe('isInteractive', () => {
    const target = (latencyTargetMs: number, kind: 'stream' | 'idempotent' = 'stream') =>
      makeRoute({ latencyTargetMs, kind });
    const cases: readonly [string, readonly number[], readonly boolean[]][] = [
      ['live drafts beside overnight work', [500, 3_000, 500], [true, false, true]],
      ['a live target slightly above one second', [1_003, 2_503, 3_002], [true, false, false]],
      ['live routes alone', [500, 800], [true, true]],
      ['overnight work alone', [2_500, 3_000], [false, false]],
    ];
    for (const [name, targetsMs, expected] of cases) {
      it(`recognises ${name}`, () => {
        const routes = targetsMs.map((targetMs) => target(targetMs));
        const view = new FleetView();
        view.applyConfiguration(makeConfiguration(1, [...routes, target(60_000, 'idempotent')]));
        const maxTargetMs = view.getMaxInteractiveTargetMs(ENGINES);
        expect(
          routes.map((route) => new RequestLimits(route, undefined, 0, maxTargetMs).isInteractive),
        ).to.deep.equal(expected);
      });
    }
  });

  describe('getChunkTimeouts', () => {
    it('returns no timeouts when no other server can run the request', () => {
      const limits = new RequestLimits(makeRoute({ maxAttempts: 2 }), undefined, 0);
      expect(limits.getChunkTimeouts(0, () => false)).to.deep.equal({});
      expect(limits.getChunkTimeouts(1, () => true)).to.deep.equal({});
    });

    it('does not check for another server when the route allows no retry', () => {
      const limits = new RequestLimits(makeRoute({ maxAttempts: 1 }), undefined, 0);
      let isChecked = false;
      limits.getChunkTimeouts(0, () => (isChecked = true));
      expect(isChecked).to.equal(false);
    });
  });
});
