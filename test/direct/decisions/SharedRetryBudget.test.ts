import { expect } from 'chai';
import { SharedRetryBudget } from '../../../src/direct/index.js';

const BOUND = { ratio: 0.2, slack: 56, windowMs: 10_000 };

/** Counts the repeats that are granted at one moment. */
function countGranted(allowance: SharedRetryBudget, nowMs: number, routerCount: number): number {
  let count = 0;
  while (allowance.tryTake(nowMs, routerCount)) {
    count++;
  }
  return count;
}

describe('SharedRetryBudget', () => {
  describe('tryTake', () => {
    it('keeps all routers together within the bound', () => {
      const routers = Array.from({ length: 5 }, () => new SharedRetryBudget(() => BOUND));
      let granted = 0;
      for (const router of routers) {
        for (let request = 0; request < 100; request++) {
          router.recordRequest(1_000 + request);
        }
        granted += countGranted(router, 2_000, 5);
      }
      expect(granted).to.be.within(1, BOUND.ratio * 500 + BOUND.slack);
    });

    it('counts requests and repeats of the window alone', () => {
      const allowance = new SharedRetryBudget(() => BOUND);
      const first = countGranted(allowance, 1_000, 1);
      expect(countGranted(allowance, 9_000, 1)).to.equal(0);
      expect(countGranted(allowance, 12_000, 1)).to.equal(first);
    });
  });
});
