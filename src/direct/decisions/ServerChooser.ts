import type { DataCentreId, ServerId, ServiceId } from '../../domain/index.js';
import { ArrivalRates } from './ArrivalRates.js';
import { drawByRoom, type ScoredCandidate } from './drawByRoom.js';
import type { FleetView, KnownServer } from './FleetView.js';
import { getHeldModel, isRequiredVersion } from './FleetView.js';

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
/**
 * Penalty of the last rank for interactive requests, in proportion for the others: breaks ties the same way on all
 * routers.
 */
const LAST_RANK_PENALTY = 0.16;
/** Age of an engine's state when a report of it arrives, in milliseconds. */
const REPORT_LAG_MS = 200;
/** Time in which routers place requests with the same knowledge: a report's age and the interval to the next, in seconds. */
const SAME_KNOWLEDGE_S = 0.7;
/** Time for which a request is remembered as possibly missing in a report, in milliseconds. */
const SEND_MEMORY_MS = 3_000;
/**
 * Time since its last sign of life after which a server with requests in progress counts as unresponsive, in milliseconds;
 * agents report twice a second.
 */
const UNRESPONSIVE_AFTER_MS = 800;
/** Weight of a new measurement in the moving average of a server's latency. */
const LATENCY_SMOOTHING = 0.2;
/** Penalty of each 100 ms of average latency on a server without models. */
const LATENCY_PENALTY = 0.3;

/** A request that was sent to a server. */
interface Send {
  readonly atMs: number;
  readonly tokenCount: number;
}

/** Locally observed load, failures and latency of one server. */
interface LocalServerStats {
  inFlightCount: number;
  /** Recent requests, of which the latest report may not show all. */
  sends: Send[];
  failureShare: number;
  failureUpdatedAtMs: number;
  latencyMs: number | undefined;
  /** When the server last sent a part of a response. */
  heardAtMs: number;
}

/** Requirements of a request on its server. */
export interface ServerRequirements {
  readonly serviceId: ServiceId;
  readonly model?: string;
  readonly adapter?: string;
  /** Whether the request is interactive and needs a model. */
  readonly isInteractive: boolean;
  /** Number of tokens that the request takes in the memory of an engine. */
  readonly tokenCount?: number;
  readonly excludedServerIds: ReadonlySet<ServerId>;
  /** Version that the server's software must have; absent if any will do. */
  readonly softwareVersion?: string;
}

/** Chooses the backend server of a request by load, locally observed failures and latency, and data centre. */
export class ServerChooser {
  private readonly statsByServer = new Map<ServerId, LocalServerStats>();
  private readonly arrivalRates = new ArrivalRates();

  /**
   * @param fleet - View of the servers.
   * @param dataCentre - Data centre of this router.
   * @param drawFraction - Returns a random number in [0, 1).
   */
  constructor(
    private readonly fleet: FleetView,
    private readonly dataCentre: DataCentreId,
    private readonly drawFraction: () => number,
  ) {}

  /**
   * Records the arrival of a request, from which the number of requests on the way to the same servers is estimated.
   * @param requirements - Requirements of the request.
   * @param nowMs - Current time.
   */
  recordArrival({ serviceId, model }: Pick<ServerRequirements, 'serviceId' | 'model'>, nowMs: number): void {
    this.arrivalRates.record(getArrivalKey(serviceId, model), nowMs);
  }

  /**
   * Returns the recent number of requests per second for a model that have arrived at this router.
   * @param serviceId - Service of the model.
   * @param model - Name of the model.
   * @param nowMs - Current time.
   */
  getArrivalsPerSecond(serviceId: ServiceId, model: string, nowMs: number): number {
    return this.arrivalRates.getPerSecond(getArrivalKey(serviceId, model), nowMs);
  }

  /**
   * Draws one of the best servers that can run a request now; undefined when there is none.
   * @param requirements - Requirements of the request.
   * @param nowMs - Current time.
   */
  chooseServer(requirements: ServerRequirements, nowMs: number): KnownServer | undefined {
    const candidates = this.scoreCandidates(requirements, nowMs);
    return candidates.length === 0
      ? undefined
      : drawByRoom(candidates, this.getExpectedRise(candidates, requirements, nowMs), this.drawFraction());
  }

  /**
   * Whether any server can run a request now.
   * @param requirements - Requirements of the request.
   * @param nowMs - Current time.
   */
  hasServer(requirements: ServerRequirements, nowMs: number): boolean {
    for (const server of this.fleet.getHolders(requirements.serviceId, requirements.model, nowMs)) {
      if (isCandidate(server, requirements)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the load of a server as a share of its slots, from its agent's report and the requests of this router.
   * @param server - The server.
   */
  getLoad(server: KnownServer): number {
    const stats = this.getOrCreateStats(server.entry.serverId);
    const { report } = server;
    const reportedCount = report
      ? report.runningCount + report.waitingCount + getUnseen(stats, server).count
      : 0;
    const inFlightCount = Math.max(reportedCount, stats.inFlightCount);
    return inFlightCount / Math.max(1, server.entry.slotCount);
  }

  /**
   * Records that a request is sent to a server.
   * @param serverId - The server.
   * @param nowMs - Current time.
   * @param tokenCount - Number of tokens that it takes in the memory of an engine.
   */
  recordSent(serverId: ServerId, nowMs: number, tokenCount = 0): void {
    const stats = this.getOrCreateStats(serverId);
    stats.inFlightCount++;
    stats.sends = stats.sends.filter(({ atMs }) => nowMs - atMs < SEND_MEMORY_MS);
    stats.sends.push({ atMs: nowMs, tokenCount });
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
   * Records that a server has sent a part of a response.
   * @param serverId - The server.
   * @param nowMs - Current time.
   */
  recordHeard(serverId: ServerId, nowMs: number): void {
    this.getOrCreateStats(serverId).heardAtMs = nowMs;
  }

  /**
   * Whether a server has shown lately that it responds, or is idle and has no agent whose reports would show it.
   * @param server - The server.
   * @param nowMs - Current time.
   * @param sinceMs - Time since which it must have responded; absent if any recent sign of life will do.
   */
  isResponsive({ entry, reportedAtMs }: KnownServer, nowMs: number, sinceMs = -Infinity): boolean {
    const { inFlightCount, heardAtMs } = this.getOrCreateStats(entry.serverId);
    const isIdle = reportedAtMs === -Infinity && inFlightCount === 0;
    const signAtMs = Math.max(heardAtMs, reportedAtMs);
    return isIdle || (signAtMs > sinceMs && nowMs - signAtMs < UNRESPONSIVE_AFTER_MS);
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

  private scoreCandidates(requirements: ServerRequirements, nowMs: number): ScoredCandidate<KnownServer>[] {
    const candidates: ScoredCandidate<KnownServer>[] = [];
    for (const server of this.fleet.getHolders(requirements.serviceId, requirements.model, nowMs)) {
      if (!isCandidate(server, requirements)) {
        continue;
      }
      const held = requirements.model === undefined ? undefined : getHeldModel(server, requirements.model);
      const lacksAdapter =
        requirements.adapter !== undefined && held?.adapters.includes(requirements.adapter) !== true;
      const adapterPenalty = server.report?.isBusy === true ? BUSY_ADAPTER_PENALTY : ADAPTER_PENALTY;
      const rankPenalty = requirements.isInteractive ? LAST_RANK_PENALTY * server.rankShare : 0;
      const score = this.getScore(server, nowMs) + rankPenalty + (lacksAdapter ? adapterPenalty : 0);
      candidates.push({ item: server, score });
    }
    return candidates;
  }

  /** Returns the sum by which requests placed with the same knowledge raise the scores. */
  protected getExpectedRise(
    candidates: readonly ScoredCandidate<KnownServer>[],
    { serviceId, model, tokenCount = 0 }: ServerRequirements,
    nowMs: number,
  ): number {
    const perSecond = this.arrivalRates.getPerSecond(getArrivalKey(serviceId, model), nowMs);
    const requestCount = Math.max(1, perSecond * this.fleet.routerCount * SAME_KNOWLEDGE_S);
    let risePerRequest = 0;
    for (const { item } of candidates) {
      const cacheTokens = item.report?.cacheTokens ?? Infinity;
      risePerRequest += 1 / Math.max(1, item.entry.slotCount) + tokenCount / Math.max(1, cacheTokens);
    }
    return (requestCount * risePerRequest) / candidates.length;
  }

  private getScore(server: KnownServer, nowMs: number): number {
    const stats = this.getOrCreateStats(server.entry.serverId);
    const { report } = server;
    const usedTokens = report ? report.usedCacheTokens + getUnseen(stats, server).tokenCount : 0;
    const cacheShare = report ? usedTokens / Math.max(1, report.cacheTokens) : 0;
    const queueShare = report ? report.waitingCount / Math.max(1, server.entry.slotCount) : 0;
    return (
      this.getLoad(server) +
      cacheShare +
      2 * queueShare +
      FAILURE_PENALTY * getDecayedFailureShare(stats, nowMs) +
      this.getLatencyPenalty(stats, server) +
      (server.entry.dataCentre === this.dataCentre ? 0 : REMOTE_PENALTY)
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
      stats = {
        inFlightCount: 0,
        sends: [],
        failureShare: 0,
        failureUpdatedAtMs: 0,
        latencyMs: undefined,
        heardAtMs: -Infinity,
      };
      this.statsByServer.set(serverId, stats);
    }
    return stats;
  }
}

function isCandidate(
  { entry, softwareVersion }: KnownServer,
  { excludedServerIds, softwareVersion: requiredVersion }: ServerRequirements,
): boolean {
  return !excludedServerIds.has(entry.serverId) && isRequiredVersion(softwareVersion, requiredVersion);
}

/** Returns the requests to a server that its latest report can't show yet. */
function getUnseen(
  { sends }: LocalServerStats,
  { reportedAtMs }: KnownServer,
): { readonly count: number; readonly tokenCount: number } {
  let count = 0;
  let tokenCount = 0;
  for (const send of sends) {
    if (send.atMs > reportedAtMs - REPORT_LAG_MS) {
      count++;
      tokenCount += send.tokenCount;
    }
  }
  return { count, tokenCount };
}

function getArrivalKey(serviceId: ServiceId, model: string | undefined): string {
  return `${serviceId}|${model ?? ''}`;
}

function getDecayedFailureShare(stats: LocalServerStats, nowMs: number): number {
  return stats.failureShare * 2 ** (-(nowMs - stats.failureUpdatedAtMs) / FAILURE_HALF_LIFE_MS);
}
