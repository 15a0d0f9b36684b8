import { setNewest } from '../../kernel/setNewest.js';

/** Half-life of the weight of an arrival, in milliseconds. */
const HALF_LIFE_MS = 2_000;
/** Maximum number of keys; the one without arrivals for the longest time is discarded first. */
const MAX_KEYS = 4_000;

/** Weighted number of arrivals of one key as of a time. */
interface DecayingCount {
  readonly count: number;
  readonly atMs: number;
}

/** Recent arrival rates by key. */
export class ArrivalRates {
  private readonly counts = new Map<string, DecayingCount>();

  /**
   * Records an arrival.
   * @param key - Key of the arrival.
   * @param nowMs - Current time.
   */
  record(key: string, nowMs: number): void {
    const count = this.getCount(key, nowMs) + 1;
    setNewest(this.counts, key, { count, atMs: nowMs }, MAX_KEYS);
  }

  /**
   * Returns the recent number of arrivals per second.
   * @param key - Key of the arrivals.
   * @param nowMs - Current time.
   */
  getPerSecond(key: string, nowMs: number): number {
    return (this.getCount(key, nowMs) * Math.LN2 * 1_000) / HALF_LIFE_MS;
  }

  private getCount(key: string, nowMs: number): number {
    const { count, atMs } = this.counts.get(key) ?? { count: 0, atMs: nowMs };
    return count * 2 ** (-(nowMs - atMs) / HALF_LIFE_MS);
  }
}
