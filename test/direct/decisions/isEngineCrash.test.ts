import { expect } from 'chai';
import { isEngineCrash, isPartList } from '../../../src/direct/index.js';

describe('isEngineCrash', () => {
  it('accepts crashes and rejects values that another version may send', () => {
    const crash = { bornAtMs: 1, ageMs: 2, requestCounts: { a: 1 } };
    expect(isEngineCrash({ ...crash, added: true })).to.equal(true);
    expect(isEngineCrash({ ...crash, positions: { a: 1 } })).to.equal(true);
    const history = { share: 0.5, wasAnswered: false };
    expect(isEngineCrash({ ...crash, requestCount: 2, histories: { a: history } })).to.equal(true);
    const invalidValues: unknown[] = [
      undefined,
      null,
      7,
      [],
      { ...crash, bornAtMs: '1' },
      { ...crash, ageMs: undefined },
      { ...crash, requestCounts: null },
      { ...crash, requestCounts: { a: 'one' } },
      { ...crash, positions: null },
      { ...crash, positions: { a: 'one' } },
      { ...crash, requestCount: 'two' },
      { ...crash, histories: null },
      { ...crash, histories: { a: { ...history, share: 0 } } },
      { ...crash, histories: { a: { ...history, share: 1.1 } } },
      { ...crash, histories: { a: { share: 0.5 } } },
    ];
    expect(invalidValues.filter((value) => isEngineCrash(value))).to.deep.equal([]);
  });
});

describe('isPartList', () => {
  it('accepts a bounded list of IDs', () => {
    expect(isPartList(['a', 'b'])).to.equal(true);
    expect([null, 'a', [1], Array(1_001).fill('a')].filter((value) => isPartList(value))).to.deep.equal([]);
  });
});
