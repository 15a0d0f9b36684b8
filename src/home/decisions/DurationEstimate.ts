/** Number of latest durations in the window. */
const WINDOW_SAMPLE_COUNT = 128;

/** Estimates a duration from a sliding window of the latest samples. */
export class DurationEstimate {
  private readonly samplesMs: number[] = [];
  private nextIndex = 0;
  private sortedMs: number[] | undefined;

  /** @param initialMs - Estimate before the first sample, in milliseconds. */
  constructor(private readonly initialMs: number) {}

  /** Number of samples in the window. */
  get sampleCount(): number {
    return this.samplesMs.length;
  }

  /** Mean of the latest durations in milliseconds. */
  get meanMs(): number {
    if (this.samplesMs.length === 0) {
      return this.initialMs;
    }
    let totalMs = 0;
    for (const durationMs of this.samplesMs) {
      totalMs += durationMs;
    }
    return totalMs / this.samplesMs.length;
  }

  /** @param durationMs - Measured duration, in milliseconds. */
  add(durationMs: number): void {
    this.samplesMs[this.nextIndex] = durationMs;
    this.nextIndex = (this.nextIndex + 1) % WINDOW_SAMPLE_COUNT;
    this.sortedMs = undefined;
  }

  /**
   * Returns a quantile of the latest durations in milliseconds.
   * @param fraction - Fraction of the quantile, from 0 to 1.
   */
  getQuantileMs(fraction: number): number {
    this.sortedMs ??= [...this.samplesMs].sort((left, right) => left - right);
    const index = Math.min(this.sortedMs.length - 1, Math.floor(fraction * this.sortedMs.length));
    return this.sortedMs[index] ?? this.initialMs;
  }
}
