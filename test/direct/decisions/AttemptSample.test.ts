import { expect } from 'chai';
import { AttemptSample } from '../../../src/direct/index.js';

describe('AttemptSample', () => {
  let sample: AttemptSample;

  beforeEach(() => {
    sample = new AttemptSample();
  });

  function attempt(count: number, promptParts: readonly string[], atMs: number): void {
    for (let index = 0; index < count; index++) {
      sample.recordAttempt(promptParts, atMs);
    }
  }

  describe('getShare', () => {
    it('returns 1 before the first attempt, and then the share of the attempts with the part', () => {
      expect(sample.getShare('a')).to.equal(1);
      attempt(3, ['a'], 0);
      attempt(6, ['b'], 0);
      expect(sample.getShare('a')).to.equal(0.4);
      expect(sample.getShare('c')).to.equal(0.1);
    });

    it('forgets the attempts before the latest 300', () => {
      attempt(300, ['a'], 0);
      attempt(299, ['b'], 0);
      expect(sample.getShare('a')).to.equal(2 / 301);
      attempt(1, ['b'], 0);
      expect(sample.getShare('a')).to.equal(1 / 301);
    });
  });

  describe('getLogSilence', () => {
    it('counts attempts and answers since a time', () => {
      attempt(5, ['a'], 100);
      attempt(1, ['a'], 200);
      attempt(2, ['b'], 200);
      expect(sample.getLogSilence('a', 200)).to.be.closeTo(0, 0);
      sample.recordAnswer(150);
      sample.recordAnswer(250);
      sample.recordAnswer(260);
      expect(sample.getLogSilence('a', 200)).to.be.closeTo(2 * Math.log(0.75), 1e-9);
      expect(sample.getLogSilence('c', 200)).to.be.closeTo(0, 0);
    });
  });
});
