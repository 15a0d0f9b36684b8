/** Number of routers, by the reports of the agents that they connect to. */
export class RouterCounts {
  /** Number that each connected agent reports, by the address of its engine. */
  private readonly counts = new Map<string, number>();
  /** Cached largest number of the connected agents; undefined after a change. */
  private cached: number | undefined;
  /** Largest number before the last agent was lost; undefined before the first report. */
  private last: number | undefined;
  /** Numbers with the time when each was last known; later ones are smaller. */
  private readonly recent: { count: number; atMs: number }[] = [];

  /** The largest number that a connected agent reports, or the last known one; undefined before the first report. */
  get latest(): number | undefined {
    if (this.counts.size > 0 && this.cached === undefined) {
      let largest = 1;
      for (const count of this.counts.values()) {
        largest = Math.max(largest, count);
      }
      this.cached = largest;
    }
    return this.cached ?? this.last;
  }

  /**
   * Records the number that an agent reports.
   * @param address - Host and port of the agent's engine.
   * @param count - Number of routers connected to the agent.
   * @param nowMs - Current time.
   */
  record(address: string, count: number, nowMs: number): void {
    this.remember(nowMs);
    if (this.counts.get(address) !== count) {
      this.counts.set(address, count);
      this.cached = undefined;
      this.remember(nowMs);
    }
  }

  /**
   * Discards the number of an agent that is no longer connected.
   * @param address - Host and port of the agent's engine.
   */
  discard(address: string): void {
    this.last = this.latest;
    this.counts.delete(address);
    this.cached = undefined;
  }

  /**
   * Returns the largest number that was known since a time; undefined before the first report.
   * @param sinceMs - The time.
   */
  getLargest(sinceMs: number): number | undefined {
    const { latest } = this;
    const recent = this.recent.find(({ atMs }) => atMs >= sinceMs);
    return latest && Math.max(latest, recent?.count ?? 0);
  }

  private remember(nowMs: number): void {
    const count = this.latest;
    if (count === undefined) {
      return;
    }
    while ((this.recent.at(-1)?.count ?? Infinity) <= count) {
      this.recent.pop();
    }
    this.recent.push({ count, atMs: nowMs });
  }
}
