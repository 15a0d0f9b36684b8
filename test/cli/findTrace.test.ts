import { expect } from 'chai';
import { findTrace } from '../../src/cli/findTrace.js';

function line(time: number, context: Record<string, string>): string {
  return JSON.stringify({ context, message: 'x', time });
}

describe('findTrace', () => {
  it('returns the lines of the request and those of its model shortly before, in order of time', () => {
    const end = line(40_000, { requestId: 'r1', model: 'm' });
    const attempt = line(39_000, { requestId: 'r1', serverId: 's' });
    const unload = line(20_000, { model: 'm', kind: 'unload' });
    const lines = [
      end,
      'not JSON',
      '{ broken',
      line(39_500, { requestId: 'r2', model: 'm' }),
      line(5_000, { model: 'm' }),
      line(41_000, { model: 'm' }),
      line(20_000, { model: 'other' }),
      `agent-1 ${unload}`,
      attempt,
    ];
    expect(findTrace(lines, 'r1')).to.deep.equal([`agent-1 ${unload}`, attempt, end]);
  });

  it('returns nothing for a request that no line contains', () =>
    expect(findTrace([line(1, {})], 'r1')).to.deep.equal([]));
});
