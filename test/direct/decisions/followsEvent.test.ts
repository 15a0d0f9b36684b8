import { expect } from 'chai';
import { followsEvent } from '../../../src/direct/index.js';

describe('followsEvent', () => {
  const CASES: readonly [bytes: string, lastEventId: string | undefined, follows: boolean][] = [
    ['id: 1\ndata: x\n\n', undefined, true],
    ['id: 2\ndata: x\n\n', '1', true],
    ['id: 10\ndata: x\n\n', '9', true],
    ['id: 9\ndata: x\n\n', '10', false],
    ['id: 1\ndata: x\n\n', '1', false],
    ['id: 01\ndata: x\n\n', '1', false],
    ['id:1\r\ndata: x\r\n\r\n', '1', false],
    ['weight-versions: 2\nid: 1\ndata: x\n\n', '1', false],
    ['data: x\n\nid: 1\ndata: x\n\n', '1', false],
    ['data: id: 1\nid: 2\n\n', '1', true],
    ['data: x\n\n', '1', true],
    ['id: b\n\n', 'a', true],
    ['id: a\n\n', 'a', false],
    ['id: 18446744073709551617\n\n', '18446744073709551616', true],
    ['id: 18446744073709551616\n\n', '18446744073709551617', false],
  ];
  for (const [bytes, lastEventId, follows] of CASES) {
    it(`is ${follows} for ${JSON.stringify(bytes)} after ${lastEventId ?? 'nothing'}`, () => {
      expect(followsEvent(Buffer.from(bytes), lastEventId)).to.equal(follows);
    });
  }
});
