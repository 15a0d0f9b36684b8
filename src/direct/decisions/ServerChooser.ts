import type { DataCentreId, ServerId, ServiceId } from '../../domain/index.js';
import {
  getPacePenalty,
  getRoomPenalty,
  PlainDelays,
  type PacePenalty,
  type PlainServerLoad,
} from '../../pace/decisions/index.js';
import { ArrivalRates } from './ArrivalRates.js';
import { drawByRoom, type ScoredCandidate } from './drawByRoom.js';
import type { FleetView, KnownServer } from './FleetView.js';
import { getHeldModel, isRequiredVersion } from './FleetView.js';
import type { ServerEntry } from './ServerEntry.js';

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
/** Penalty of each 100 ms of expected delay on a server without models. */
const LATENCY_PENALTY = 0.3;

/** A request that was sent to a server. */
interface Send {
  readonly atMs: number;
  readonly tokenCount: number;
}

/** Locally observed load, failures and latency of one server. */
interface LocalServerStats {
  inFlightCount: number;
  /** Recent requests in their order, of which the latest report may not show all. */
  readonly sends: Send[];
  failureShare: number;
  failureUpdatedAtMs: number;
  latencyMs: number | undefined;
  latencyAtMs: number;
  /** When the server last sent a part of a response. */
  heardAtMs: number;
}

/** What the scores of all candidates for a request are based on. */
interface Knowledge {
  readonly nowMs: number;
  readonly usesPace: boolean;
  /** Tokens that the other routers are expected to send to each candidate, per millisecond. */
  readonly otherTokensPerMs: number;
  /** Expected delays of a plain service; undefined for requests for a model. */
  readonly plainDelays: PlainDelays | undefined;
}

/** Candidate for a request. */
interface Candidate extends ScoredCandidate<KnownServer> {
  /** By how much the expected pauses raise the score for each further request. */
  readonly paceRise: number;
}

/** Penalty where no pace is known or taken into account. */
const NO_PENALTY: PacePenalty = { penalty: 0, risePerRequest: 0 };

/** Requests to a server that its latest report can't show yet. */
interface UnseenRequests {
  readonly count: number;
  readonly tokenCount: number;
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
  /** Number of tokens of its prompt. */
  readonly promptTokens?: number;
  /** Longest time between two events that its route allows, in milliseconds; absent if it is not limited. */
  readonly maxGapMs?: number;
  /** Longest time to the first event that its route allows, in milliseconds. */
  readonly latencyTargetMs?: number;
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
   * @param usesPace - Returns whether the paces of servers and their room for requests are taken into account.
   */
  constructor(
    private readonly fleet: FleetView,
    private readonly dataCentre: DataCentreId,
    private readonly drawFraction: () => number,
    private readonly usesPace: () => boolean = () => true,
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
    return getInFlightCount(stats, server, getUnseen(stats, server)) / Math.max(1, server.entry.slotCount);
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
    const oldCount = stats.sends.findIndex(({ atMs }) => nowMs - atMs < SEND_MEMORY_MS);
    stats.sends.splice(0, oldCount < 0 ? stats.sends.length : oldCount);
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
      stats.latencyAtMs = nowMs;
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

  private scoreCandidates(requirements: ServerRequirements, nowMs: number): Candidate[] {
    const servers: KnownServer[] = [];
    for (const server of this.fleet.getHolders(requirements.serviceId, requirements.model, nowMs)) {
      if (isCandidate(server, requirements)) {
        servers.push(server);
      }
    }
    const knowledge = this.getKnowledge(servers, requirements, nowMs);
    return servers.map((server) => this.scoreCandidate(server, requirements, knowledge));
  }

  /** Returns what the scores of all candidates for a request are based on. */
  private getKnowledge(
    servers: readonly KnownServer[],
    { serviceId, model, tokenCount = 0 }: ServerRequirements,
    nowMs: number,
  ): Knowledge {
    if (!this.usesPace()) {
      return { nowMs, usesPace: false, otherTokensPerMs: 0, plainDelays: undefined };
    }
    const { routerCount } = this.fleet;
    if (model === undefined) {
      const loads = servers.map(({ entry }) => this.getPlainLoad(entry));
      const plainDelays = new PlainDelays(loads, routerCount, nowMs);
      return { nowMs, usesPace: true, otherTokensPerMs: 0, plainDelays };
    }
    const perMs = this.arrivalRates.getPerSecond(getArrivalKey(serviceId, model), nowMs) / 1_000;
    const otherTokensPerMs = (perMs * (routerCount - 1) * tokenCount) / Math.max(1, servers.length);
    return { nowMs, usesPace: true, otherTokensPerMs, plainDelays: undefined };
  }

  /** Returns the sum by which requests placed with the same knowledge raise the scores. */
  protected getExpectedRise(
    candidates: readonly Candidate[],
    { serviceId, model, tokenCount = 0 }: ServerRequirements,
    nowMs: number,
  ): number {
    const perSecond = this.arrivalRates.getPerSecond(getArrivalKey(serviceId, model), nowMs);
    const requestCount = Math.max(1, perSecond * this.fleet.routerCount * SAME_KNOWLEDGE_S);
    let risePerRequest = 0;
    for (const { item, paceRise } of candidates) {
      const cacheTokens = item.report?.cacheTokens ?? Infinity;
      risePerRequest +=
        1 / Math.max(1, item.entry.slotCount) + tokenCount / Math.max(1, cacheTokens) + paceRise;
    }
    return (requestCount * risePerRequest) / candidates.length;
  }

  private scoreCandidate(
    server: KnownServer,
    requirements: ServerRequirements,
    knowledge: Knowledge,
  ): Candidate {
    const { entry, report } = server;
    const { nowMs } = knowledge;
    const stats = this.getOrCreateStats(entry.serverId);
    const unseen = getUnseen(stats, server);
    const inFlightCount = getInFlightCount(stats, server, unseen);
    const slotCount = Math.max(1, entry.slotCount);
    const usedTokens = report ? report.usedCacheTokens + unseen.tokenCount : 0;
    const cacheShare = report ? usedTokens / Math.max(1, report.cacheTokens) : 0;
    const queueShare = report ? report.waitingCount / slotCount : 0;
    const { penalty, risePerRequest } = knowledge.usesPace
      ? this.getPacePenalty(server, requirements, inFlightCount)
      : NO_PENALTY;
    const score =
      inFlightCount / slotCount +
      cacheShare +
      2 * queueShare +
      FAILURE_PENALTY * getDecayedFailureShare(stats, nowMs) +
      this.getLatencyPenalty(stats, server, knowledge) +
      (entry.dataCentre === this.dataCentre ? 0 : REMOTE_PENALTY) +
      (requirements.isInteractive ? LAST_RANK_PENALTY * server.rankShare : 0) +
      getAdapterPenalty(server, requirements) +
      penalty +
      getExpectedRoomPenalty(server, requirements, usedTokens, knowledge);
    return { item: server, score, paceRise: risePerRequest };
  }

  private getPacePenalty(
    { entry, report }: KnownServer,
    { model, isInteractive, promptTokens = 0, maxGapMs, latencyTargetMs }: ServerRequirements,
    inFlightCount: number,
  ): PacePenalty {
    const { pace } = this.fleet;
    if (model === undefined || maxGapMs === undefined || pace.serverCount === 0) {
      return NO_PENALTY;
    }
    const gapMs = pace.getExpectedGapMs(entry.serverId, model);
    const waitingCount = report?.waitingCount ?? 0;
    return gapMs === undefined
      ? NO_PENALTY
      : getPacePenalty({
          gapMs,
          paceFactor: pace.getPaceFactor(entry.serverId),
          runningCount: inFlightCount - waitingCount + 1,
          waitingCount,
          promptTokens,
          isInteractive,
          maxGapMs,
          latencyTargetMs,
        });
  }

  private getLatencyPenalty(
    stats: LocalServerStats,
    { entry }: KnownServer,
    { plainDelays }: Knowledge,
  ): number {
    if (stats.latencyMs === undefined || entry.heldModels.length > 0) {
      return 0;
    }
    const delayMs = plainDelays?.getExpectedDelayMs(this.getPlainLoad(entry)) ?? stats.latencyMs;
    return (LATENCY_PENALTY * delayMs) / 100;
  }

  private getPlainLoad({ serverId, slotCount }: ServerEntry): PlainServerLoad {
    const { latencyMs, latencyAtMs, inFlightCount } = this.getOrCreateStats(serverId);
    return { latencyMs, latencyAtMs, inFlightCount, slotCount };
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
        latencyAtMs: -Infinity,
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
function getUnseen({ sends }: LocalServerStats, { reportedAtMs }: KnownServer): UnseenRequests {
  let count = 0;
  let tokenCount = 0;
  for (let index = sends.length - 1; index >= 0; index--) {
    const send = sends[index];
    if (!send || send.atMs <= reportedAtMs - REPORT_LAG_MS) {
      break;
    }
    count++;
    tokenCount += send.tokenCount;
  }
  return { count, tokenCount };
}

function getInFlightCount(
  { inFlightCount }: LocalServerStats,
  { report }: KnownServer,
  unseen: UnseenRequests,
): number {
  const reportedCount = report ? report.runningCount + report.waitingCount + unseen.count : 0;
  return Math.max(reportedCount, inFlightCount);
}

function getAdapterPenalty(server: KnownServer, { model, adapter }: ServerRequirements): number {
  if (adapter === undefined) {
    return 0;
  }
  const held = model === undefined ? undefined : getHeldModel(server, model);
  if (held?.adapters.includes(adapter) === true) {
    return 0;
  }
  return server.report?.isBusy === true ? BUSY_ADAPTER_PENALTY : ADAPTER_PENALTY;
}

/** Returns the penalty for the room that a request and the unseen ones of all routers leave on an engine. */
function getExpectedRoomPenalty(
  { report, reportedAtMs }: KnownServer,
  { tokenCount = 0 }: ServerRequirements,
  usedTokens: number,
  { nowMs, usesPace, otherTokensPerMs }: Knowledge,
): number {
  if (!report || !usesPace) {
    return 0;
  }
  const otherTokens = otherTokensPerMs * (nowMs - reportedAtMs + REPORT_LAG_MS);
  return getRoomPenalty(usedTokens + tokenCount + otherTokens, report.cacheTokens);
}

function getArrivalKey(serviceId: ServiceId, model: string | undefined): string {
  return `${serviceId}|${model ?? ''}`;
}

function getDecayedFailureShare(stats: LocalServerStats, nowMs: number): number {
  return stats.failureShare * 2 ** (-(nowMs - stats.failureUpdatedAtMs) / FAILURE_HALF_LIFE_MS);
}
