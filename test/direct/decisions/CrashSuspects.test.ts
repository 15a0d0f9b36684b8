import { expect } from 'chai';
import { toServerId } from '../../../src/domain/index.js';
import { CrashSuspects } from '../../../src/direct/index.js';

const A = toServerId('a');
const B = toServerId('b');

describe('CrashSuspects', () => {
  describe('isStopped', () => {
    it('stops a request after its second crash, own or told', () => {
      const suspects = new CrashSuspects();
      expect(suspects.noteBreak('f', A, 0)).to.equal(1);
      expect(suspects.isStopped('f', 0, 1)).to.equal(false);
      expect(suspects.isStopped('f', 2, 1)).to.equal(true);
      expect(suspects.noteBreak('f', B, 2)).to.equal(2);
      expect(suspects.isStopped('f', 0, 3)).to.equal(true);
      expect(suspects.isStopped('g', 0, 3)).to.equal(false);
    });

    it('counts a server that crashed again after its restart', () => {
      const suspects = new CrashSuspects();
      suspects.noteBreak('f', A, 0);
      expect(suspects.noteBreak('f', A, 3_000)).to.equal(2);
    });

    it('forgets after a minute', () => {
      const suspects = new CrashSuspects();
      suspects.noteBreak('f', A, 0);
      suspects.noteBreak('f', B, 0);
      expect(suspects.isStopped('f', 0, 60_001)).to.equal(false);
    });

    it('takes equal requests that one crash breaks off for one crash', () => {
      const suspects = new CrashSuspects();
      for (let count = 0; count < 5; count++) {
        suspects.noteBreak('f', A, count);
      }
      expect(suspects.isStopped('f', 0, 10)).to.equal(false);
    });

    it('holds nothing against a request of which an equal one was served since', () => {
      const suspects = new CrashSuspects();
      suspects.noteBreak('f', A, 0);
      suspects.noteServed('f', 2, 1_000);
      expect(suspects.noteBreak('f', B, 2_000)).to.equal(1);
      expect(suspects.isStopped('f', 2, 2_001)).to.equal(false);
      suspects.noteBreak('f', A, 4_000);
      expect(suspects.isStopped('f', 0, 4_001)).to.equal(true);
    });
  });
});
