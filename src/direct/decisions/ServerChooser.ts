import type { DataCentreId, ServerId, ServiceId } from '../../domain/index.js';
import type { FleetView, KnownServer } from './FleetView.js';
import { getHeldModel } from './FleetView.js';

/** Weight of a new outcome in a server's failure share. */
const FAILURE_WEIGHT = 0.2;
/** Half-life of a server's failure share without new outcomes, in milliseconds: it is tried again after some seconds. */
const FAILURE_HALF_LIFE_MS = 3_000;
/** Load, as a share of the slots, that a failure share of one counts for. */
const FAILURE_PENALTY = 4;
/** Load, as a share of the slots, that another data centre counts for: its bytes are priced, its latency is small. */
const REMOTE_PENALTY = 0.04;
/** Load that a missing adapter counts for: it must be loaded first and takes a place. */
const ADAPTER_PENALTY = 0.15;
/** The same where a model is being loaded: adapters can't be until that is over. */
const BUSY_ADAPTER_PENALTY = 1;
/** Load that each rank counts for when a live request looks for a server: a tie-break that all routers share. */
const RANK_PENALTY = 0.02;
/** Weight of a new measurement in a server's typical latency. */
const LATENCY_WEIGHT = 0.2;
/** Load that each 100 ms of typical latency counts for on a server without models. */
const SLOWNESS_PENALTY = 0.3;

/** What one router has seen of one server. */
interface OwnExperience {
  inFlightCount: number;
  failureShare: number;
  failureAtMs: number;
  latencyMs: number | undefined;
}

/** What a request needs of its server. */
export interface ServerRequirements {
  readonly serviceId: ServiceId;
  readonly model?: string;
  readonly adapter?: string;
  /** Whether the caller waits live for a model. */
  readonly isInteractive: boolean;
  readonly excludedServerIds: ReadonlySet<ServerId>;
}

/** Chooses the backend server for one request from load, own experience and distance. */
export class ServerChooser {
  private readonly experiences = new Map<ServerId, OwnExperience>();

  /**
   * @param fleet - What is known of the servers.
   * @param dataCentre - Data centre of this router.
   * @param drawFraction - Random number from 0 up to, but without, 1, to break ties.
   */
  constructor(
    private readonly fleet: FleetView,
    private readonly dataCentre: DataCentreId,
    private readonly drawFraction: () => number,
  ) {}

  /**
   * Chooses a server that can run the request now.
   * @param need - What the request needs.
   * @param nowMs - Time now.
   */
  chooseServer(need: ServerRequirements, nowMs: number): KnownServer | undefined {
    let best: KnownServer | undefined;
    let bestScore = Infinity;
    for (const server of this.fleet.getReadyServers(need.serviceId, nowMs)) {
      if (need.excludedServerIds.has(server.entry.serverId)) {
        continue;
      }
      const held = need.model === undefined ? undefined : getHeldModel(server, need.model);
      if (need.model !== undefined && !held) {
        continue;
      }
      const lacksAdapter = need.adapter !== undefined && held?.adapters.includes(need.adapter) !== true;
      const adapterPenalty = server.report?.isBusy === true ? BUSY_ADAPTER_PENALTY : ADAPTER_PENALTY;
      const rankPenalty = need.isInteractive ? RANK_PENALTY * server.rank : 0;
      const score = this.scoreOf(server, nowMs) + rankPenalty + (lacksAdapter ? adapterPenalty : 0);
      if (score < bestScore) {
        best = server;
        bestScore = score;
      }
    }
    return best;
  }

  /**
   * Load of a server as a share of its slots: what its agent reports, or this router's own requests.
   * @param server - The server.
   */
  getLoad(server: KnownServer): number {
    const own = this.experienceOf(server.entry.serverId).inFlightCount;
    const { report } = server;
    const inFlightCount = report ? Math.max(report.runningCount + report.waitingCount, own) : own;
    return inFlightCount / Math.max(1, server.entry.slotCount);
  }

  /** @param serverId - Server to which a request is sent. */
  recordSent(serverId: ServerId): void {
    this.experienceOf(serverId).inFlightCount++;
  }

  /**
   * Notes how a request ended.
   * @param serverId - The server.
   * @param isFailure - Whether the server failed.
   * @param nowMs - Time now.
   * @param latencyMs - Time to the first piece of the answer, where there was one.
   */
  recordEnded(serverId: ServerId, isFailure: boolean, nowMs: number, latencyMs?: number): void {
    const experience = this.experienceOf(serverId);
    experience.inFlightCount = Math.max(0, experience.inFlightCount - 1);
    this.noteOutcome(serverId, isFailure, nowMs);
    if (latencyMs !== undefined) {
      const before = experience.latencyMs ?? latencyMs;
      experience.latencyMs = before + (latencyMs - before) * LATENCY_WEIGHT;
    }
  }

  /**
   * Notes a success or failure of a server without a request that ended.
   * @param serverId - The server.
   * @param isFailure - Whether the server failed.
   * @param nowMs - Time now.
   */
  noteOutcome(serverId: ServerId, isFailure: boolean, nowMs: number): void {
    const experience = this.experienceOf(serverId);
    const share = decayed(experience, nowMs);
    experience.failureShare = share + ((isFailure ? 1 : 0) - share) * FAILURE_WEIGHT;
    experience.failureAtMs = nowMs;
  }

  /** Forgets servers that are no longer listed and have no requests of this router. */
  prune(): void {
    for (const [serverId, experience] of this.experiences) {
      if (experience.inFlightCount === 0 && !this.fleet.getEntry(serverId)) {
        this.experiences.delete(serverId);
      }
    }
  }

  private scoreOf(server: KnownServer, nowMs: number): number {
    const experience = this.experienceOf(server.entry.serverId);
    const { report } = server;
    const cacheShare = report ? report.usedCacheTokens / Math.max(1, report.cacheTokens) : 0;
    const queueShare = report ? report.waitingCount / Math.max(1, server.entry.slotCount) : 0;
    const ownShare = experience.inFlightCount / Math.max(1, server.entry.slotCount);
    return (
      this.getLoad(server) +
      ownShare +
      cacheShare +
      2 * queueShare +
      FAILURE_PENALTY * decayed(experience, nowMs) +
      this.slownessOf(experience, server) +
      (server.entry.dataCentre === this.dataCentre ? 0 : REMOTE_PENALTY) +
      this.drawFraction() * 0.02
    );
  }

  private slownessOf(experience: OwnExperience, server: KnownServer): number {
    if (experience.latencyMs === undefined || server.entry.heldModels.length > 0) {
      return 0;
    }
    return (SLOWNESS_PENALTY * experience.latencyMs) / 100;
  }

  private experienceOf(serverId: ServerId): OwnExperience {
    let experience = this.experiences.get(serverId);
    if (!experience) {
      experience = { inFlightCount: 0, failureShare: 0, failureAtMs: 0, latencyMs: undefined };
      this.experiences.set(serverId, experience);
    }
    return experience;
  }
}

function decayed(experience: OwnExperience, nowMs: number): number {
  return experience.failureShare * 2 ** (-(nowMs - experience.failureAtMs) / FAILURE_HALF_LIFE_MS);
}
