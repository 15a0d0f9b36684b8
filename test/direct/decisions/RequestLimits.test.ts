import { expect } from 'chai';
import { RequestLimits } from '../../../src/direct/index.js';
import { makeRoute } from '../fleetFixtures.js';

describe('RequestLimits', () => {
  describe('waitDeadlineAtMs', () => {
    it('ends waiting for a model a moment before the caller gives up: four times its target', () => {
      const route = makeRoute({ latencyTargetMs: 2_500, timeoutMs: 20_000, maxGapMs: 200 });
      expect(new RequestLimits(route, 20_000, 1_000).waitDeadlineAtMs).to.equal(1_000 + 10_000 - 300);
    });

    it('lets live callers wait for two seconds', () => {
      const route = makeRoute({ latencyTargetMs: 500, timeoutMs: 12_000 });
      expect(new RequestLimits(route, undefined, 0).waitDeadlineAtMs).to.equal(2_000 - 300);
    });

    it('never waits beyond the deadline', () => {
      const route = makeRoute({ latencyTargetMs: 2_500, timeoutMs: 20_000 });
      expect(new RequestLimits(route, 1_000, 0).waitDeadlineAtMs).to.equal(1_000 - 300);
    });
  });

  describe('getSilenceLimits', () => {
    it('has none where no other server may run the request', () => {
      const limits = new RequestLimits(makeRoute({ maxAttempts: 2 }), undefined, 0);
      expect(limits.getSilenceLimits(0, () => false)).to.deep.equal({});
      expect(limits.getSilenceLimits(1, () => true)).to.deep.equal({});
    });

    it('does not look for another server when the route allows no repeat', () => {
      const limits = new RequestLimits(makeRoute({ maxAttempts: 1 }), undefined, 0);
      let isAsked = false;
      limits.getSilenceLimits(0, () => (isAsked = true));
      expect(isAsked).to.equal(false);
    });
  });
});
