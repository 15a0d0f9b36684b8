import { expect } from 'chai';
import { HistogramKeepAlivePolicy } from '../../../src/home/decisions/index.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const LOAD_MS = 5_000;

describe('HistogramKeepAlivePolicy', () => {
  function planAfter(gapsMs: readonly number[], idleAcceleratorHour: number) {
    const policy = new HistogramKeepAlivePolicy({ coldStartSecond: 1, idleAcceleratorHour });
    for (const gapMs of gapsMs) {
      policy.recordIdleGap(gapMs);
    }
    return policy.plan(LOAD_MS);
  }

  describe('plan', () => {
    it('keeps a model with frequent requests loaded, for less than the ten minutes of the baseline', () => {
      const plan = planAfter(new Array<number>(50).fill(2 * MINUTE_MS), 10);
      expect(plan.keepAliveMs).to.be.within(2 * MINUTE_MS, 10 * MINUTE_MS);
    });

    it('unloads a model with periodic requests, and pre-warms it before the next one', () => {
      const plan = planAfter(new Array<number>(50).fill(3 * HOUR_MS), 10);
      expect(plan.keepAliveMs).to.be.below(5 * MINUTE_MS);
      expect(plan.preWarm?.afterMs).to.be.within(2.5 * HOUR_MS, 3 * HOUR_MS);
      const endMs = (plan.preWarm?.afterMs ?? 0) + (plan.preWarm?.forMs ?? 0);
      expect(endMs).to.be.within(3 * HOUR_MS, 3.5 * HOUR_MS);
    });

    it('shortens the keep-alive when idle accelerators cost more', () => {
      const gapsMs = Array.from({ length: 60 }, (_, index) => (index + 1) * MINUTE_MS);
      expect(planAfter(gapsMs, 40).keepAliveMs).to.be.below(planAfter(gapsMs, 4).keepAliveMs);
    });

    it('does not keep models loaded when cold starts have no cost', () => {
      const policy = new HistogramKeepAlivePolicy({ coldStartSecond: 0, idleAcceleratorHour: 1 });
      expect(policy.plan(LOAD_MS)).to.deep.equal({ keepAliveMs: 0 });
    });
  });
});
