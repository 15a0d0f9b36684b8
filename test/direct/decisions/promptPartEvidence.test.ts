import { expect } from 'chai';
import { getCountEvidence, getLogTail } from '../../../src/direct/index.js';

describe('getLogTail', () => {
  it('bounds the probability of many successes and is 0 for as many as expected', () => {
    expect(getLogTail(3, 3, 0.1)).to.be.closeTo(3 * Math.log(0.1), 1e-9);
    expect(getLogTail(2, 10, 0.2)).to.be.closeTo(0, 0);
    expect(getLogTail(1, 10, 0.2)).to.be.closeTo(0, 0);
    const [half, all] = [getLogTail(5, 10, 0.2), getLogTail(10, 10, 0.2)];
    expect([half < 0, all < half]).to.deep.equal([true, true]);
  });
});

describe('getCountEvidence', () => {
  it('is positive for one of several requests of a frequent part, and negative for many of them', () => {
    expect(getCountEvidence(1, 4, 0.3)).to.be.greaterThan(0);
    expect(getCountEvidence(3, 4, 0.3)).to.be.lessThan(0);
  });

  it('says nothing of the only request, or of a part that all requests have', () => {
    expect([getCountEvidence(1, 1, 0.3), getCountEvidence(4, 4, 1)]).to.deep.equal([0, 0]);
  });
});
