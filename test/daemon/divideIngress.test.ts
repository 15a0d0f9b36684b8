import { expect } from 'chai';
import { divideIngress, divideInternalIngress } from '../../src/daemon/divideIngress.js';

const MB = 1_000_000;

describe('divideIngress', () => {
  it('follows the memory and the descriptors of the process', () => {
    expect(divideIngress(160 * MB, {}, 20_000).connectionCount).to.equal(2_441);
    expect(divideIngress(210 * MB, {}, 2_212).connectionCount).to.equal(1_548);
    expect(divideIngress(undefined, {}, Infinity).connectionCount).to.equal(8_000);
    expect(divideIngress(160 * MB, {}, 20_000).pipelinedCount).to.equal(305);
    expect(divideIngress(160 * MB, {}, 20_000).unfinishedBytes).to.be.below(10 * MB);
  });

  it('takes the limits of the settings', () => {
    const limits = { connectionCount: 3, unfinishedBytes: 4, waitingBytes: 5, pipelinedCount: 6 };
    expect(divideIngress(160 * MB, limits, 20_000)).to.deep.equal(limits);
  });

  it('gives a port without callers less, but no agent too little for its routers', () => {
    const { connectionCount, waitingBytes } = divideInternalIngress(divideIngress(282 * MB, {}, 2_000));
    expect(connectionCount).to.equal(600);
    expect(waitingBytes).to.be.below(4 * MB);
  });
});
