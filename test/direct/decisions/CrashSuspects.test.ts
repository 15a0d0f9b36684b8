import { expect } from 'chai';
import { CrashSuspects } from '../../../src/direct/index.js';

describe('CrashSuspects', () => {
  describe('isStopped', () => {
    it('stops a request after its second break, own or told', () => {
      const suspects = new CrashSuspects();
      expect(suspects.noteBreak('f', 0)).to.equal(1);
      expect(suspects.isStopped('f', 0, 1)).to.equal(false);
      expect(suspects.isStopped('f', 2, 1)).to.equal(true);
      expect(suspects.noteBreak('f', 2)).to.equal(2);
      expect(suspects.isStopped('f', 0, 3)).to.equal(true);
      expect(suspects.isStopped('g', 0, 3)).to.equal(false);
    });

    it('forgets after a minute', () => {
      const suspects = new CrashSuspects();
      suspects.noteBreak('f', 0);
      suspects.noteBreak('f', 0);
      expect(suspects.isStopped('f', 0, 60_001)).to.equal(false);
    });
  });
});
