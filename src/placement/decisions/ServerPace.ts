import type { KnownServer } from '../../direct/decisions/index.js';
import type { PaceSource } from '../PaceSource.js';

/** Factor by which a slow period of a server makes the time between two events longer. */
const SLOW_PERIOD_FACTOR = 2.5;
/** Penalty of a gap that exceeds the limit by half of it or more for live models, in milliseconds of waiting. */
const LIVE_GAP_PENALTY_MS = 2_000;
/** The same for batch models, which leave fast servers to live ones. */
const BATCH_GAP_PENALTY_MS = 600;
/** Penalty of each pace factor above 1 for live models, in milliseconds. */
const LIVE_PACE_PENALTY_MS = 400;
/** Penalty of each pace factor below the slowest usual one for batch models, in milliseconds. */
const BATCH_PACE_PENALTY_MS = 100;
/** Slowest usual pace factor: batch models prefer such servers where the gap allows it. */
const SLOW_PACE_FACTOR = 1.6;

/** Compares the expected gaps of streams with the limit of a service's routes; without a source no server is slow. */
export class ServerPace {
  /**
   * @param source - What is known of the servers' speed, if anything.
   * @param maxGapMs - Shortest limit of the routes to the service, in milliseconds; undefined without one.
   */
  constructor(
    private readonly source: PaceSource | undefined,
    private readonly maxGapMs: number | undefined,
  ) {}

  /**
   * Whether a pause of a stream would exceed the limit in a slow period of the server.
   * @param server - The server.
   * @param model - Name of the model.
   */
  isTooSlow(server: KnownServer, model: string): boolean {
    return this.getExcessShare(server, model) > 0;
  }

  /**
   * Returns the penalty of a server for a model, in milliseconds of waiting.
   * @param server - The server.
   * @param model - Name of the model.
   * @param isInteractive - Whether interactive requests use the model.
   */
  getPenaltyMs(server: KnownServer, model: string, isInteractive: boolean): number {
    if (!this.source) {
      return 0;
    }
    const excess = Math.min(1, 2 * this.getExcessShare(server, model));
    const factor = this.source.getPaceFactor(server.entry.serverId);
    return isInteractive
      ? LIVE_GAP_PENALTY_MS * excess + LIVE_PACE_PENALTY_MS * Math.max(0, factor - 1)
      : BATCH_GAP_PENALTY_MS * excess + BATCH_PACE_PENALTY_MS * Math.max(0, SLOW_PACE_FACTOR - factor);
  }

  /** Returns by which share of the limit the longest expected pause exceeds it; 0 if it does not or is not known. */
  private getExcessShare({ entry }: KnownServer, model: string): number {
    const gapMs = this.source?.getExpectedGapMs(entry.serverId, model);
    if (gapMs === undefined || this.maxGapMs === undefined) {
      return 0;
    }
    return Math.max(0, (gapMs * SLOW_PERIOD_FACTOR) / this.maxGapMs - 1);
  }
}
