/** Half-life of what sets a server's latency apart from that of the others, without new responses, in milliseconds. */
const HALF_LIFE_MS = 5_000;

/** What a router knows of one server of a plain service. */
export interface PlainServerLoad {
  /** Average latency; undefined before the first response. */
  readonly latencyMs: number | undefined;
  /** When the latency was last measured. */
  readonly latencyAtMs: number;
  /** Number of requests of this router in progress. */
  readonly inFlightCount: number;
  readonly slotCount: number;
}

/** Expected delays of the servers of a plain service, which run a few requests each and report no load. */
export class PlainDelays {
  private readonly meanLatencyMs: number;
  /** Expected number of requests of the other routers on each server. */
  private readonly otherCount: number;

  /**
   * @param loads - What this router knows of the servers.
   * @param routerCount - Number of routers, which send about as many requests each.
   * @param nowMs - Current time.
   */
  constructor(
    loads: readonly PlainServerLoad[],
    routerCount: number,
    private readonly nowMs: number,
  ) {
    let latencySumMs = 0;
    let latencyCount = 0;
    let inFlightCount = 0;
    for (const load of loads) {
      inFlightCount += load.inFlightCount;
      if (load.latencyMs !== undefined) {
        latencySumMs += load.latencyMs;
        latencyCount++;
      }
    }
    this.meanLatencyMs = latencySumMs / Math.max(1, latencyCount);
    this.otherCount = ((routerCount - 1) * inFlightCount) / Math.max(1, loads.length);
  }

  /**
   * Returns the expected time until a server has answered one more request, in milliseconds; 0 before its first response.
   * @param load - What this router knows of the server.
   */
  getExpectedDelayMs({ latencyMs, latencyAtMs, inFlightCount, slotCount }: PlainServerLoad): number {
    if (latencyMs === undefined) {
      return 0;
    }
    const { meanLatencyMs, otherCount } = this;
    const certainty = 2 ** (-(this.nowMs - latencyAtMs) / HALF_LIFE_MS);
    const currentMs = meanLatencyMs + (latencyMs - meanLatencyMs) * certainty;
    const turnCount = (inFlightCount + otherCount + 1) / Math.max(1, slotCount);
    return currentMs * Math.max(1, turnCount);
  }
}
