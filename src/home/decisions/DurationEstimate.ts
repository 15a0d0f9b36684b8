/** Durations that are kept. */
const WINDOW_LENGTH = 128;

/** Estimates a duration from the latest ones seen. */
export class DurationEstimate {
  private readonly windowMs: number[] = [];
  private nextIndex = 0;
  private sortedMs: number[] | undefined;

  /** @param initialMs - Estimate before anything was seen, in milliseconds. */
  constructor(private readonly initialMs: number) {}

  /** Durations seen so far, up to the length of the window. */
  get sampleCount(): number {
    return this.windowMs.length;
  }

  /** Mean of the latest durations in milliseconds. */
  get meanMs(): number {
    if (this.windowMs.length === 0) {
      return this.initialMs;
    }
    let totalMs = 0;
    for (const durationMs of this.windowMs) {
      totalMs += durationMs;
    }
    return totalMs / this.windowMs.length;
  }

  /** @param durationMs - Duration that was seen, in milliseconds. */
  add(durationMs: number): void {
    this.windowMs[this.nextIndex] = durationMs;
    this.nextIndex = (this.nextIndex + 1) % WINDOW_LENGTH;
    this.sortedMs = undefined;
  }

  /**
   * Gives a quantile of the latest durations in milliseconds.
   * @param fraction - Quantile from 0 to 1.
   */
  quantileMs(fraction: number): number {
    this.sortedMs ??= [...this.windowMs].sort((left, right) => left - right);
    const index = Math.min(this.sortedMs.length - 1, Math.floor(fraction * this.sortedMs.length));
    return this.sortedMs[index] ?? this.initialMs;
  }
}
