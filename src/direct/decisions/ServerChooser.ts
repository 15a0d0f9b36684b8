import type { DataCentreId, ServerId, ServiceId } from '../../domain/index.js';
import type { FleetView, KnownServer } from './FleetView.js';
import { getHeldModel } from './FleetView.js';

/** Weight of a new outcome in the moving average of a server's failure share. */
const FAILURE_SMOOTHING = 0.2;
/**
 * Half-life of a server's failure share without new outcomes, in milliseconds: the server is tried again after some
 * seconds.
 */
const FAILURE_HALF_LIFE_MS = 3_000;
/** Penalty of a failure share of 1. Penalties are added to the load, which is a share of the slots. */
const FAILURE_PENALTY = 4;
/** Penalty of a server in another data centre: traffic to it has a price, its latency is small. */
const REMOTE_PENALTY = 0.04;
/** Penalty of a missing adapter: it must be loaded first and takes an adapter slot. */
const ADAPTER_PENALTY = 0.15;
/** Penalty of a missing adapter on a busy engine: no adapter can be loaded until the order in progress has ended. */
const BUSY_ADAPTER_PENALTY = 1;
/** Penalty of each rank for interactive requests: breaks ties the same way on all routers. */
const RANK_PENALTY = 0.02;
/** Weight of a new measurement in the moving average of a server's latency. */
const LATENCY_SMOOTHING = 0.2;
/** Penalty of each 100 ms of average latency on a server without models. */
const LATENCY_PENALTY = 0.3;

/** Locally observed load, failures and latency of one server. */
interface LocalServerStats {
  inFlightCount: number;
  failureShare: number;
  failureUpdatedAtMs: number;
  latencyMs: number | undefined;
}

/** Requirements of a request on its server. */
export interface ServerRequirements {
  readonly serviceId: ServiceId;
  readonly model?: string;
  readonly adapter?: string;
  /** Whether the request is interactive and needs a model. */
  readonly isInteractive: boolean;
  readonly excludedServerIds: ReadonlySet<ServerId>;
}

/** Chooses the backend server of a request by load, locally observed failures and latency, and data centre. */
export class ServerChooser {
  private readonly statsByServer = new Map<ServerId, LocalServerStats>();

  /**
   * @param fleet - View of the servers.
   * @param dataCentre - Data centre of this router.
   * @param drawFraction - Returns a random number in [0, 1) that breaks ties.
   */
  constructor(
    private readonly fleet: FleetView,
    private readonly dataCentre: DataCentreId,
    private readonly drawFraction: () => number,
  ) {}

  /**
   * Returns the best server that can run a request now; undefined when there is none.
   * @param requirements - Requirements of the request.
   * @param nowMs - Current time.
   */
  chooseServer(requirements: ServerRequirements, nowMs: number): KnownServer | undefined {
    let best: KnownServer | undefined;
    let bestScore = Infinity;
    for (const server of this.fleet.getReadyServers(requirements.serviceId, nowMs)) {
      if (requirements.excludedServerIds.has(server.entry.serverId)) {
        continue;
      }
      const held = requirements.model === undefined ? undefined : getHeldModel(server, requirements.model);
      if (requirements.model !== undefined && !held) {
        continue;
      }
      const lacksAdapter =
        requirements.adapter !== undefined && held?.adapters.includes(requirements.adapter) !== true;
      const adapterPenalty = server.report?.isBusy === true ? BUSY_ADAPTER_PENALTY : ADAPTER_PENALTY;
      const rankPenalty = requirements.isInteractive ? RANK_PENALTY * server.rank : 0;
      const score = this.getScore(server, nowMs) + rankPenalty + (lacksAdapter ? adapterPenalty : 0);
      if (score < bestScore) {
        best = server;
        bestScore = score;
      }
    }
    return best;
  }

  /**
   * Returns the load of a server as a share of its slots, from its agent's report and the requests of this router.
   * @param server - The server.
   */
  getLoad(server: KnownServer): number {
    const localInFlightCount = this.getOrCreateStats(server.entry.serverId).inFlightCount;
    const { report } = server;
    const inFlightCount = report
      ? Math.max(report.runningCount + report.waitingCount, localInFlightCount)
      : localInFlightCount;
    return inFlightCount / Math.max(1, server.entry.slotCount);
  }

  /**
   * Records that a request is sent to a server.
   * @param serverId - The server.
   */
  recordSent(serverId: ServerId): void {
    this.getOrCreateStats(serverId).inFlightCount++;
  }

  /**
   * Records the end of a request.
   * @param serverId - The server.
   * @param isFailure - Whether the server failed.
   * @param nowMs - Current time.
   * @param latencyMs - Time to the first chunk of the response, if there was one.
   */
  recordEnded(serverId: ServerId, isFailure: boolean, nowMs: number, latencyMs?: number): void {
    const stats = this.getOrCreateStats(serverId);
    stats.inFlightCount = Math.max(0, stats.inFlightCount - 1);
    this.recordOutcome(serverId, isFailure, nowMs);
    if (latencyMs !== undefined) {
      const previousMs = stats.latencyMs ?? latencyMs;
      stats.latencyMs = previousMs + (latencyMs - previousMs) * LATENCY_SMOOTHING;
    }
  }

  /**
   * Records a success or failure of a server that is not the end of a request.
   * @param serverId - The server.
   * @param isFailure - Whether the server failed.
   * @param nowMs - Current time.
   */
  recordOutcome(serverId: ServerId, isFailure: boolean, nowMs: number): void {
    const stats = this.getOrCreateStats(serverId);
    const share = getDecayedFailureShare(stats, nowMs);
    stats.failureShare = share + ((isFailure ? 1 : 0) - share) * FAILURE_SMOOTHING;
    stats.failureUpdatedAtMs = nowMs;
  }

  /** Removes the statistics of servers that are no longer listed and run no requests of this router. */
  prune(): void {
    for (const [serverId, stats] of this.statsByServer) {
      if (stats.inFlightCount === 0 && !this.fleet.getEntry(serverId)) {
        this.statsByServer.delete(serverId);
      }
    }
  }

  private getScore(server: KnownServer, nowMs: number): number {
    const stats = this.getOrCreateStats(server.entry.serverId);
    const { report } = server;
    const cacheShare = report ? report.usedCacheTokens / Math.max(1, report.cacheTokens) : 0;
    const queueShare = report ? report.waitingCount / Math.max(1, server.entry.slotCount) : 0;
    const localShare = stats.inFlightCount / Math.max(1, server.entry.slotCount);
    return (
      this.getLoad(server) +
      localShare +
      cacheShare +
      2 * queueShare +
      FAILURE_PENALTY * getDecayedFailureShare(stats, nowMs) +
      this.getLatencyPenalty(stats, server) +
      (server.entry.dataCentre === this.dataCentre ? 0 : REMOTE_PENALTY) +
      this.drawFraction() * 0.02
    );
  }

  private getLatencyPenalty(stats: LocalServerStats, server: KnownServer): number {
    if (stats.latencyMs === undefined || server.entry.heldModels.length > 0) {
      return 0;
    }
    return (LATENCY_PENALTY * stats.latencyMs) / 100;
  }

  private getOrCreateStats(serverId: ServerId): LocalServerStats {
    let stats = this.statsByServer.get(serverId);
    if (!stats) {
      stats = { inFlightCount: 0, failureShare: 0, failureUpdatedAtMs: 0, latencyMs: undefined };
      this.statsByServer.set(serverId, stats);
    }
    return stats;
  }
}

function getDecayedFailureShare(stats: LocalServerStats, nowMs: number): number {
  return stats.failureShare * 2 ** (-(nowMs - stats.failureUpdatedAtMs) / FAILURE_HALF_LIFE_MS);
}
