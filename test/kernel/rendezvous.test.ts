import { expect } from 'chai';
import * as fc from 'fast-check';
import { findFirstForKey, rankForKey } from '../../src/kernel/index.js';

describe('findFirstForKey', () => {
  // Routers of two versions must choose the same agents for a stream, whether they sort all agents or not.
  it('returns the first candidates in the order of rankForKey, also if some are given twice', () => {
    const candidates = fc.array(fc.string({ maxLength: 3, unit: 'binary' }), { maxLength: 200 });
    fc.assert(
      fc.property(
        fc.string({ unit: 'binary' }),
        candidates,
        fc.integer({ min: 0, max: 15 }),
        (key, given, count) => {
          expect(findFirstForKey(key, given, count)).to.deep.equal(rankForKey(key, given).slice(0, count));
        },
      ),
    );
  });

  it('returns the same for all agents of a large fleet', () => {
    const agents = [...Array(4_300).keys()].map((index) => `10.0.${index >> 8}.${index & 255}:8000`);
    for (const key of ['r1', 'r2', 'r3']) {
      expect(findFirstForKey(key, agents, 12)).to.deep.equal(rankForKey(key, agents).slice(0, 12));
    }
  });
});
