import { expect } from 'chai';
import { toServerId } from '../../../src/domain/index.js';
import { CrashTracker } from '../../../src/direct/index.js';

const A = toServerId('a');
const B = toServerId('b');

describe('CrashTracker', () => {
  describe('isBlocked', () => {
    it('stops a request after its second crash, own or told', () => {
      const suspects = new CrashTracker();
      expect(suspects.recordCrash('f', A, 0)).to.equal(1);
      expect(suspects.isBlocked('f', 0, 1)).to.equal(false);
      expect(suspects.isBlocked('f', 2, 1)).to.equal(true);
      expect(suspects.recordCrash('f', B, 2)).to.equal(2);
      expect(suspects.isBlocked('f', 0, 3)).to.equal(true);
      expect(suspects.isBlocked('g', 0, 3)).to.equal(false);
    });

    it('counts a server that crashed again after its restart', () => {
      const suspects = new CrashTracker();
      suspects.recordCrash('f', A, 0);
      expect(suspects.recordCrash('f', A, 3_000)).to.equal(2);
    });

    it('forgets after a minute', () => {
      const suspects = new CrashTracker();
      suspects.recordCrash('f', A, 0);
      suspects.recordCrash('f', B, 0);
      expect(suspects.isBlocked('f', 0, 60_001)).to.equal(false);
    });

    it('takes equal requests that one crash breaks off for one crash', () => {
      const suspects = new CrashTracker();
      for (let count = 0; count < 5; count++) {
        suspects.recordCrash('f', A, count);
      }
      expect(suspects.isBlocked('f', 0, 10)).to.equal(false);
    });

    it('holds nothing against a request of which an equal one was served since', () => {
      const suspects = new CrashTracker();
      suspects.recordCrash('f', A, 0);
      suspects.recordSuccess('f', 2, 1_000);
      expect(suspects.recordCrash('f', B, 2_000)).to.equal(1);
      expect(suspects.isBlocked('f', 2, 2_001)).to.equal(false);
      suspects.recordCrash('f', A, 4_000);
      expect(suspects.isBlocked('f', 0, 4_001)).to.equal(true);
    });
  });
});
