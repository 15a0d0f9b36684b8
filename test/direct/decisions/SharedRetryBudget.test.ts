import { expect } from 'chai';
import { FleetView, SharedRetryBudget } from '../../../src/direct/index.js';
import { makeEntry, makeReport } from '../fleetFixtures.js';

const LIMITS = { ratio: 0.2, slack: 56, windowMs: 10_000 };

/** Takes all retries that are left at one time and returns their number. */
function countGranted(budget: SharedRetryBudget, nowMs: number, routerCount: number | undefined): number {
  let count = 0;
  while (budget.tryTake(nowMs, routerCount)) {
    count++;
  }
  return count;
}

describe('SharedRetryBudget', () => {
  describe('tryTake', () => {
    it('keeps the retries of all routers together within the limits', () => {
      const routers = Array.from({ length: 5 }, () => new SharedRetryBudget(() => LIMITS, -Infinity));
      let granted = 0;
      for (const router of routers) {
        for (let request = 0; request < 100; request++) {
          router.recordRequest(1_000 + request);
        }
        granted += countGranted(router, 2_000, 5);
      }
      expect(granted).to.be.within(1, LIMITS.ratio * 500 + LIMITS.slack);
    });

    // Issue 30, BUDGET: a router that starts again took its share of the slack anew, and the whole slack while it knew no
    // other router.
    it('keeps the retries of all routers within the limits when they start again in the window', () => {
      let granted = 0;
      for (const startedAtMs of [-Infinity, 3_000, 6_000]) {
        const nowMs = Math.max(1_000, startedAtMs + 500);
        for (let router = 0; router < 5; router++) {
          const budget = new SharedRetryBudget(() => LIMITS, startedAtMs);
          for (let request = 0; request < 20; request++) {
            budget.recordRequest(nowMs);
          }
          granted += countGranted(budget, nowMs, startedAtMs === -Infinity ? 5 : 1);
        }
      }
      expect(granted).to.be.within(1, LIMITS.ratio * 300 + LIMITS.slack);
    });

    // Issue 30, BUDGET: a router that was the only one left took the whole slack, while the retries of the others still counted.
    for (const lostAfterMs of [100, 9_000]) {
      it(`keeps the retries within the limits when the other routers are lost ${lostAfterMs} ms after them`, () => {
        const view = new FleetView();
        const engine = makeEntry('engine');
        view.applyReport(makeReport(engine, { routerCount: 5 }), 20_000);
        const budgets = Array.from({ length: 5 }, () => new SharedRetryBudget(() => LIMITS, -Infinity));
        let granted = 0;
        for (const budget of budgets) {
          granted += countGranted(budget, 20_000, view.getLargestRouterCount(10_000) ?? 1);
        }
        const [survivor] = budgets;
        for (let nowMs = 20_000; nowMs < 29_999; nowMs += 100) {
          const routerCount = nowMs < 20_000 + lostAfterMs ? 5 : 1;
          view.applyReport(makeReport(engine, { routerCount }), nowMs);
          granted += survivor
            ? countGranted(survivor, nowMs, view.getLargestRouterCount(nowMs - 10_000) ?? 1)
            : 0;
        }
        expect(granted).to.be.within(1, LIMITS.slack);
      });
    }

    it('counts routers that were lost for one window and not longer', () => {
      const view = new FleetView();
      const engine = makeEntry('engine');
      view.applyReport(makeReport(engine, { routerCount: 5 }), 20_000);
      view.applyReport(makeReport(engine, { routerCount: 1 }), 20_500);
      expect(view.getLargestRouterCount(20_499)).to.equal(5);
      expect(view.getLargestRouterCount(20_501)).to.equal(1);
    });

    // Issue 30, BUDGET: routers that never were in touch with an agent took the whole slack each.
    it('grants no slack while the number of routers is not known', () => {
      const budget = new SharedRetryBudget(() => LIMITS, -Infinity);
      expect(countGranted(budget, 20_000, undefined)).to.equal(0);
    });

    it('grants the slack again one window after the start', () => {
      const budget = new SharedRetryBudget(() => LIMITS, 1_000);
      expect(countGranted(budget, 10_999, 5)).to.equal(0);
      expect(countGranted(budget, 11_000, 5)).to.be.greaterThan(0);
    });

    it('counts only the requests and retries in the window', () => {
      const budget = new SharedRetryBudget(() => LIMITS, -Infinity);
      const first = countGranted(budget, 1_000, 1);
      expect(countGranted(budget, 9_000, 1)).to.equal(0);
      expect(countGranted(budget, 12_000, 1)).to.equal(first);
    });
  });
});
