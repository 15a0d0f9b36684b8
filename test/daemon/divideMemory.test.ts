import { expect } from 'chai';
import { divideMemory } from '../../src/daemon/divideMemory.js';

const MB = 1_000_000;
const MIB = 1024 * 1024;
/** Resident memory of an idle router, in bytes. */
const IDLE_BYTES = 65 * MIB;

describe('divideMemory', () => {
  // Issue 42, FAULT: the memory for bodies and responses did not depend on that of the machine.
  for (const limitMb of [160, 200, 250]) {
    it(`leaves room for the program and copies of all bodies and responses in ${limitMb} MB`, () => {
      const { bodyBytes, responseBytes } = divideMemory(limitMb * MB);
      expect(IDLE_BYTES + 2 * (bodyBytes + responseBytes)).to.be.below(limitMb * MB);
    });
  }

  it('allows the maximum where the memory is not known or large', () => {
    const maximum = { bodyBytes: 48 * MIB, responseBytes: 32 * MIB };
    expect(divideMemory(undefined)).to.deep.equal(maximum);
    expect(divideMemory(350 * MB)).to.deep.equal(maximum);
  });

  it('leaves room for large bodies and responses however small the memory', () => {
    expect(divideMemory(1 * MB)).to.deep.equal({ bodyBytes: 12 * MIB, responseBytes: 8 * MIB });
  });

  it('never allows less in more memory', () => {
    for (let limitMb = 1; limitMb < 400; limitMb++) {
      const less = divideMemory(limitMb * MB);
      const more = divideMemory((limitMb + 1) * MB);
      expect(more.bodyBytes).to.be.at.least(less.bodyBytes);
      expect(more.responseBytes).to.be.at.least(less.responseBytes);
    }
  });
});
