import { expect } from 'chai';
import { diffFields } from '../../src/publish/index.js';

describe('diffFields', () => {
  function doTest(before: unknown, after: unknown, expected: readonly string[]): void {
    expect(diffFields(before, after)).to.deep.equal(expected);
  }

  it('says nothing of equal values', () => doTest({ a: [1, { b: 2 }] }, { a: [1, { b: 2 }] }, []));
  it('names a field inside', () => doTest({ a: { b: 1 } }, { a: { b: 2 } }, ['a.b: 1 -> 2']));
  it('names what comes and goes', () =>
    doTest({ a: 1 }, { b: 'x' }, ['a: 1 -> (nothing)', 'b: (nothing) -> "x"']));
});
