import { expect } from 'chai';
import { drawByRoom } from '../../../src/direct/index.js';

/** Returns the share of 1,000 evenly distributed draws that each candidate gets. */
function getShares(scores: readonly number[], expectedRise: number): number[] {
  const candidates = scores.map((score, item) => ({ item, score }));
  const counts = scores.map(() => 0);
  for (let draw = 0; draw < 1_000; draw++) {
    const item = drawByRoom(candidates, expectedRise, draw / 1_000) ?? 0;
    counts[item] = (counts[item] ?? 0) + 1;
  }
  return counts.map((count) => count / 1_000);
}

describe('drawByRoom', () => {
  const cases: readonly [string, readonly number[], number, readonly number[]][] = [
    ['takes the lowest score when no other request is expected', [0.4, 0.1, 0.3], 0, [0, 1, 0]],
    ['takes the lowest score when few are expected', [0.4, 0.1, 0.3], 0.1, [0, 1, 0]],
    ['fills the lowest scores up to one level', [0.9, 0.1, 0.3], 0.4, [0, 0.75, 0.25]],
    ['spreads evenly over equal scores', [0.2, 0.2], 1, [0.5, 0.5]],
    ['takes the only candidate', [5], 0, [1]],
  ];
  for (const [name, scores, expectedRise, expected] of cases) {
    it(name, () => {
      for (const [index, share] of getShares(scores, expectedRise).entries()) {
        expect(share).to.be.closeTo(expected[index] ?? 0, 0.002);
      }
    });
  }

  it('returns nothing without candidates', () => {
    expect(drawByRoom([], 1, 0.5)).to.equal(undefined);
  });
});
