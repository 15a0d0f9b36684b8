import { expect } from 'chai';
import { diffFields } from '../../src/publish/index.js';

describe('diffFields', () => {
  function doTest(before: unknown, after: unknown, expected: readonly string[]): void {
    expect(diffFields(before, after)).to.deep.equal(expected);
  }

  it('returns nothing for equal values', () => doTest({ a: [1, { b: 2 }] }, { a: [1, { b: 2 }] }, []));
  it('lists a changed nested field', () => doTest({ a: { b: 1 } }, { a: { b: 2 } }, ['a.b: 1 -> 2']));
  it('lists added and removed fields', () =>
    doTest({ a: 1 }, { b: 'x' }, ['a: 1 -> (nothing)', 'b: (nothing) -> "x"']));
});
