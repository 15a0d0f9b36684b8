/** Half-life of the weight of a stream, in milliseconds. */
const HALF_LIFE_MS = 3_000;
/** Weighted number of recent streams from which their quality is judged. */
const MIN_STREAM_WEIGHT = 3;

/** Weighted numbers of recent streams of one model as of a time. */
interface StreamCounts {
  readonly count: number;
  readonly lateCount: number;
  readonly atMs: number;
}

/** Share of recent streams, by model, that missed their latency target or paused for too long. */
export class StreamQuality {
  private readonly counts = new Map<string, StreamCounts>();

  /**
   * Records the end of a stream.
   * @param model - Model of the stream.
   * @param isLate - Whether it missed its latency target or paused for too long.
   * @param nowMs - Current time.
   */
  record(model: string, isLate: boolean, nowMs: number): void {
    const { count, lateCount } = this.getDecayed(model, nowMs);
    this.counts.set(model, { count: count + 1, lateCount: lateCount + (isLate ? 1 : 0), atMs: nowMs });
  }

  /**
   * Returns the share of late streams of a model; 0 while there are too few to judge.
   * @param model - The model.
   * @param nowMs - Current time.
   */
  getLateShare(model: string, nowMs: number): number {
    const { count, lateCount } = this.getDecayed(model, nowMs);
    return count < MIN_STREAM_WEIGHT ? 0 : lateCount / count;
  }

  /**
   * Discards a model that is no longer in use.
   * @param model - The model.
   */
  discard(model: string): void {
    this.counts.delete(model);
  }

  private getDecayed(model: string, nowMs: number): StreamCounts {
    const { count, lateCount, atMs } = this.counts.get(model) ?? { count: 0, lateCount: 0, atMs: nowMs };
    const weight = 2 ** (-(nowMs - atMs) / HALF_LIFE_MS);
    return { count: count * weight, lateCount: lateCount * weight, atMs: nowMs };
  }
}
