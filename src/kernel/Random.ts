import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Number of distinct fractions. */
const FRACTION_STEPS = 2 ** 30;

/** Seeded random number generator. */
export class Random {
  private readonly generator: RandomGenerator;

  /** @param seed - Seed of the sequence, an integer. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  nextFraction(): number {
    return this.nextInt(FRACTION_STEPS) / FRACTION_STEPS;
  }

  /**
   * Returns a random integer from 0 (inclusive) to the bound (exclusive).
   * @param bound - Exclusive upper bound, at least 1.
   */
  nextInt(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  /**
   * Returns a random number from an exponential distribution.
   * @param mean - Mean of the distribution.
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.nextFraction());
  }

  /**
   * Returns a random delay from half of the given delay up to the full delay.
   * @param delayMs - Upper bound of the delay in milliseconds.
   */
  jitterMs(delayMs: number): number {
    return delayMs * (0.5 + this.nextFraction() / 2);
  }
}
