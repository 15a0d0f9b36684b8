import { expect } from 'chai';
import { CrashTracker, type AttemptLoss } from '../../../src/direct/index.js';

/** Returns the loss of an attempt of a request of which no other was lost. */
function first(sentAtMs: number): AttemptLoss {
  return { sentAtMs, isRepeat: false };
}

/** Returns the loss of an attempt that repeats one that was lost. */
function repeat(sentAtMs: number): AttemptLoss {
  return { sentAtMs, isRepeat: true };
}

describe('CrashTracker', () => {
  describe('isBlocked', () => {
    it('blocks a request after its second crash, whether recorded here or reported by other routers', () => {
      const tracker = new CrashTracker();
      expect(tracker.recordCrash('f', first(-1), 0)).to.equal(1);
      expect(tracker.isBlocked('f', 0, 1)).to.equal(false);
      expect(tracker.isBlocked('f', 2, 1)).to.equal(true);
      expect(tracker.recordCrash('f', repeat(1), 2)).to.equal(2);
      expect(tracker.isBlocked('f', 0, 3)).to.equal(true);
      expect(tracker.isBlocked('g', 0, 3)).to.equal(false);
    });

    it('counts a second crash of the same server after its restart', () => {
      const tracker = new CrashTracker();
      tracker.recordCrash('f', first(-1), 0);
      expect(tracker.recordCrash('f', first(2_900), 3_000)).to.equal(2);
    });

    it('forgets a single crash after a minute', () => {
      const tracker = new CrashTracker();
      tracker.recordCrash('f', first(-1), 0);
      expect(tracker.recordCrash('f', first(60_000), 60_001)).to.equal(1);
    });

    it('counts equal requests that fail in the same crash of a server as one crash', () => {
      const tracker = new CrashTracker();
      for (let count = 0; count < 5; count++) {
        tracker.recordCrash('f', first(-count), count);
      }
      expect(tracker.isBlocked('f', 0, 10)).to.equal(false);
    });

    // Review, case 6: one crash of three servers counted three times.
    it('counts equal requests that fail on several servers as one crash if none was sent after the first loss', () => {
      const tracker = new CrashTracker();
      tracker.recordCrash('f', first(-100), 0);
      tracker.recordCrash('f', repeat(-50), 20);
      expect(tracker.recordCrash('f', first(-10), 5_000)).to.equal(1);
    });

    it('counts other requests that were sent after a loss only a second after it', () => {
      const tracker = new CrashTracker();
      tracker.recordCrash('f', first(-100), 0);
      expect(tracker.recordCrash('f', first(10), 999)).to.equal(1);
      expect(tracker.recordCrash('f', first(10), 1_000)).to.equal(2);
    });

    it('resets the count when an equal request completes', () => {
      const tracker = new CrashTracker();
      tracker.recordCrash('f', first(-1), 0);
      tracker.recordSuccess('f', 2, 1_000);
      expect(tracker.recordCrash('f', first(1_500), 2_000)).to.equal(1);
      expect(tracker.isBlocked('f', 2, 2_001)).to.equal(false);
      tracker.recordCrash('f', first(3_500), 4_000);
      expect(tracker.isBlocked('f', 0, 4_001)).to.equal(true);
    });
  });

  describe('recordSuccess', () => {
    it('returns whether crashes were known, of which the agents must learn', () => {
      const tracker = new CrashTracker();
      expect(tracker.recordSuccess('f', 0, 0)).to.equal(false);
      expect(tracker.recordSuccess('f', 1, 0)).to.equal(true);
      tracker.recordCrash('f', first(0), 1);
      expect(tracker.recordSuccess('f', 0, 2)).to.equal(true);
      expect(tracker.recordSuccess('f', 0, 3)).to.equal(false);
    });
  });

  describe('beginAsking', () => {
    // Each of many equal requests would ask an agent.
    it('returns false until the decision, and then until the request may be tried', () => {
      const tracker = new CrashTracker();
      expect(tracker.beginAsking('f', 0)).to.equal(true);
      expect(tracker.beginAsking('f', 100)).to.equal(false);
      tracker.recordDecision('f', { isGranted: false, retryInMs: 3_000 }, 150);
      expect(tracker.beginAsking('f', 3_149)).to.equal(false);
      expect(tracker.beginAsking('f', 3_150)).to.equal(true);
    });
  });
});
