import { expect } from 'chai';
import { toServerId } from '../../../src/domain/index.js';
import { CrashTracker } from '../../../src/direct/index.js';

const A = toServerId('a');
const B = toServerId('b');

describe('CrashTracker', () => {
  describe('isBlocked', () => {
    it('blocks a request after its second crash, whether recorded here or reported by other routers', () => {
      const tracker = new CrashTracker();
      expect(tracker.recordCrash('f', A, 0)).to.equal(1);
      expect(tracker.isBlocked('f', 0, 1)).to.equal(false);
      expect(tracker.isBlocked('f', 2, 1)).to.equal(true);
      expect(tracker.recordCrash('f', B, 2)).to.equal(2);
      expect(tracker.isBlocked('f', 0, 3)).to.equal(true);
      expect(tracker.isBlocked('g', 0, 3)).to.equal(false);
    });

    it('counts a second crash of the same server after its restart', () => {
      const tracker = new CrashTracker();
      tracker.recordCrash('f', A, 0);
      expect(tracker.recordCrash('f', A, 3_000)).to.equal(2);
    });

    it('unblocks a request a minute after its last crash', () => {
      const tracker = new CrashTracker();
      tracker.recordCrash('f', A, 0);
      tracker.recordCrash('f', B, 0);
      expect(tracker.isBlocked('f', 0, 60_001)).to.equal(false);
    });

    it('counts equal requests that fail in the same crash of a server as one crash', () => {
      const tracker = new CrashTracker();
      for (let count = 0; count < 5; count++) {
        tracker.recordCrash('f', A, count);
      }
      expect(tracker.isBlocked('f', 0, 10)).to.equal(false);
    });

    it('resets the count when an equal request completes', () => {
      const tracker = new CrashTracker();
      tracker.recordCrash('f', A, 0);
      tracker.recordSuccess('f', 2, 1_000);
      expect(tracker.recordCrash('f', B, 2_000)).to.equal(1);
      expect(tracker.isBlocked('f', 2, 2_001)).to.equal(false);
      tracker.recordCrash('f', A, 4_000);
      expect(tracker.isBlocked('f', 0, 4_001)).to.equal(true);
    });
  });
});
