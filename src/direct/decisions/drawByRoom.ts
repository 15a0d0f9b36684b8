/** Candidate for a request. */
export interface ScoredCandidate<T> {
  readonly item: T;
  /** Load including penalties, as a share of the capacity; lower is better. */
  readonly score: number;
}

/**
 * Draws a candidate so that all requests that are expected to be placed with the same knowledge raise the lowest scores to
 * one common level: each candidate is drawn in proportion to its room below that level. With few such requests that is
 * the candidate with the lowest score, with many an even spread.
 * @param candidates - Candidates; must not be empty.
 * @param expectedRise - Sum by which those requests raise the scores.
 * @param fraction - Random number in [0, 1).
 */
export function drawByRoom<T>(
  candidates: readonly ScoredCandidate<T>[],
  expectedRise: number,
  fraction: number,
): T | undefined {
  const sorted = [...candidates].sort((left, right) => left.score - right.score);
  const level = getLevel(sorted, expectedRise);
  let totalRoom = 0;
  for (const { score } of sorted) {
    totalRoom += Math.max(0, level - score);
  }
  let remaining = fraction * totalRoom;
  for (const { item, score } of sorted) {
    remaining -= Math.max(0, level - score);
    if (remaining < 0) {
      return item;
    }
  }
  return sorted[0]?.item;
}

/** Returns the common level to which the rise lifts the lowest of the sorted scores. */
function getLevel<T>(sorted: readonly ScoredCandidate<T>[], expectedRise: number): number {
  let sum = expectedRise;
  let level = Infinity;
  for (const [index, { score }] of sorted.entries()) {
    if (score >= level) {
      break;
    }
    sum += score;
    level = sum / (index + 1);
  }
  return level;
}
