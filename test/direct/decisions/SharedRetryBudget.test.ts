import { expect } from 'chai';
import { SharedRetryBudget } from '../../../src/direct/index.js';

const LIMITS = { ratio: 0.2, slack: 56, windowMs: 10_000 };

/** Takes all retries that are left at one time and returns their number. */
function countGranted(budget: SharedRetryBudget, nowMs: number, routerCount: number): number {
  let count = 0;
  while (budget.tryTake(nowMs, routerCount)) {
    count++;
  }
  return count;
}

describe('SharedRetryBudget', () => {
  describe('tryTake', () => {
    it('keeps the retries of all routers together within the limits', () => {
      const routers = Array.from({ length: 5 }, () => new SharedRetryBudget(() => LIMITS));
      let granted = 0;
      for (const router of routers) {
        for (let request = 0; request < 100; request++) {
          router.recordRequest(1_000 + request);
        }
        granted += countGranted(router, 2_000, 5);
      }
      expect(granted).to.be.within(1, LIMITS.ratio * 500 + LIMITS.slack);
    });

    it('counts only the requests and retries in the window', () => {
      const budget = new SharedRetryBudget(() => LIMITS);
      const first = countGranted(budget, 1_000, 1);
      expect(countGranted(budget, 9_000, 1)).to.equal(0);
      expect(countGranted(budget, 12_000, 1)).to.equal(first);
    });
  });
});
