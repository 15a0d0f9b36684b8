import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Resolution of a drawn fraction. */
const FRACTION_STEPS = 2 ** 30;

/** Seeded source of random numbers. */
export class Random {
  private readonly generator: RandomGenerator;

  /** @param seed - Integer that fixes the sequence. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Draws a number from 0 up to, but without, 1. */
  fraction(): number {
    return this.below(FRACTION_STEPS) / FRACTION_STEPS;
  }

  /**
   * Draws an integer from 0 up to, but without, the bound.
   * @param bound - Exclusive upper bound, at least 1.
   */
  below(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  /**
   * Draws from an exponential distribution.
   * @param mean - Mean of the distribution.
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.fraction());
  }

  /**
   * Spreads a delay evenly over its second half.
   * @param delayMs - Longest delay in milliseconds.
   */
  jitterMs(delayMs: number): number {
    return delayMs * (0.5 + this.fraction() / 2);
  }
}
