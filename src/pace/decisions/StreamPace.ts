/** Number of events after the first from which the mean time between events is used. */
const MIN_FOLLOWING_EVENTS = 4;

/** Times of the events of one request's stream, which several servers may send one after another. */
export class StreamPace {
  private source: object | undefined;
  private firstAtMs = 0;
  private lastAtMs = 0;
  private followingCount = 0;
  private isDisturbed = false;
  private longestMs = 0;

  /** Longest time between two events that the caller has seen, in milliseconds. */
  get longestGapMs(): number {
    return this.longestMs;
  }

  /**
   * Records events that are passed on.
   * @param source - Attempt that received them.
   * @param eventCount - Number of the events.
   * @param nowMs - Current time.
   */
  record(source: object, eventCount: number, nowMs: number): void {
    if (this.source !== undefined) {
      this.longestMs = Math.max(this.longestMs, nowMs - this.lastAtMs);
    }
    if (this.source === source) {
      this.followingCount += eventCount;
    } else {
      this.source = source;
      this.firstAtMs = nowMs;
      this.followingCount = 0;
      this.isDisturbed = false;
    }
    this.lastAtMs = nowMs;
  }

  /** Records that the caller reads slowly, so that the times no longer show the pace of the server. */
  markDisturbed(): void {
    this.isDisturbed = true;
  }

  /**
   * Returns the mean time between the events of an attempt after the first, in milliseconds; undefined if there are too few
   * of them or the caller read slowly. Silence before the end counts too, so that a server that stalls does not look fast.
   * @param source - The attempt.
   * @param endedAtMs - When the attempt ended.
   */
  getMeanGapMs(source: object, endedAtMs: number): number | undefined {
    const isKnown =
      this.source === source && !this.isDisturbed && this.followingCount >= MIN_FOLLOWING_EVENTS;
    return isKnown
      ? Math.max(
          (this.lastAtMs - this.firstAtMs) / this.followingCount,
          (endedAtMs - this.firstAtMs) / (this.followingCount + 1),
        )
      : undefined;
  }
}
