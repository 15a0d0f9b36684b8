import { hashToFraction } from '../../kernel/index.js';
import {
  getRequiredCount,
  type EngineProfile,
  type EvictionPolicy,
  type KnownServer,
  type ModelUse,
  type PlacementRequirements,
} from '../../direct/decisions/index.js';
import type { ServerPace } from './ServerPace.js';

/** Replicas that a model in interactive use keeps, so that one remains if a server is lost. */
const LIVE_COPY_COUNT = 2;
/**
 * Lost servers after which a live model must still be loadable from a disk for batch work to take its spare replica. With one,
 * six servers of 31 that were lost at once took both of one model, whose requests were refused for the 30 s of a load from a
 * busy weight store.
 */
const MAX_LOST_COUNT = 2;
/**
 * Memory of all engines as a share of that of all models, from which the models without demand make enough room for those in
 * demand.
 */
const MIN_ROOM_SHARE = 0.88;
/** Estimated duration of a request, in seconds. */
const REQUEST_S = 1;
/** Shortest idle time that is told apart, in seconds. */
const MIN_IDLE_S = 1;
/** Estimated time until a running request ends, in milliseconds. */
const REMAINING_REQUEST_MS = 600;
/** Cost of the eviction of a replica that only replaces a lost one, as a share of that of the last copy. */
const SPARE_COST_SHARE = 0.1;
/** Preference for keeping a live model on a server that is fast enough for it, in kept models of the server. */
const SLOW_SERVER_RANK = 10;

/**
 * Use of one copy: `needed` copies carry the model's load, a `spare` one replaces the other one if its server is lost, and
 * the `surplus` ones have no use.
 */
export type CopyKind = 'needed' | 'spare' | 'surplus';

/** Copies of one model over all servers, and its demand. */
export interface ModelCopies {
  readonly model: string;
  /** Servers that hold it according to their agents, those that keep it first. */
  readonly holders: KnownServer[];
  /** Number of servers that load it or have it in their queue. */
  pendingCount: number;
  /** Number of servers without a fresh report whose list entry names it. */
  silentCount: number;
  isLive: boolean;
  /** Estimated number of requests per second. */
  demandPerSecond: number;
  /** Number of servers that have the weights on their disk or in their memory. */
  weightsCount: number;
  /** Number of holders that carry its load. */
  requiredCount: number;
}

/**
 * Values each copy of a model by what its eviction costs the fleet. Routers with the same reports get the same values, except
 * that each one adds its own arrivals as a lower bound of the demand.
 */
export class CopyValues implements EvictionPolicy {
  readonly isFleetWide = true;
  /** Whether the engines together can hold nearly all models of their profile. */
  readonly hasRoom: boolean;
  private readonly copiesByModel = new Map<string, ModelCopies>();

  /**
   * @param servers - Servers of one service that accept new requests.
   * @param profile - Engine profile of the service.
   * @param getArrivalsPerSecond - Returns the number of requests per second for a model that arrive at this router.
   * @param pace - Speed of the servers.
   */
  constructor(
    servers: readonly KnownServer[],
    private readonly profile: EngineProfile,
    private readonly getArrivalsPerSecond: (model: string) => number,
    readonly pace: ServerPace,
  ) {
    let modelsMb = 0;
    for (const { weightsMb } of profile.models.values()) {
      modelsMb += weightsMb;
    }
    this.hasRoom = servers.length * profile.weightsMb >= MIN_ROOM_SHARE * modelsMb;
    this.collect(servers);
    this.assignKeepers();
  }

  /**
   * Returns the copies of a model; undefined if no server is known to have one.
   * @param model - Name of the model.
   */
  getCopies(model: string): ModelCopies | undefined {
    return this.copiesByModel.get(model);
  }

  /**
   * Returns the estimated number of requests per second for a model.
   * @param model - Name of the model.
   */
  getDemandPerSecond(model: string): number {
    return Math.max(this.getArrivalsPerSecond(model), this.copiesByModel.get(model)?.demandPerSecond ?? 0);
  }

  /**
   * Returns the use of a copy; undefined if the server's agent does not report it as usable.
   * @param server - The server.
   * @param model - Name of the model.
   */
  getKind(server: KnownServer, model: string): CopyKind | undefined {
    const copies = this.copiesByModel.get(model);
    const { address } = server.entry;
    const index = copies?.holders.findIndex(({ entry }) => entry.address === address) ?? -1;
    if (!copies || index < 0) {
      return undefined;
    }
    if (index < copies.requiredCount) {
      return 'needed';
    }
    return copies.isLive && index < LIVE_COPY_COUNT ? 'spare' : 'surplus';
  }

  getCostMs(server: KnownServer, model: string, requirements: PlacementRequirements): number | undefined {
    const use = server.report?.uses[model];
    const kind = this.getKind(server, model);
    if (!use || !kind || !this.isEvictable(model, use, kind, requirements)) {
      return undefined;
    }
    return use.runningCount * REMAINING_REQUEST_MS + this.getLossMs(model, kind);
  }

  getPacePenaltyMs(server: KnownServer, { model, isInteractive }: PlacementRequirements): number {
    return this.pace.getPenaltyMs(server, model, isInteractive);
  }

  /**
   * Whether a model can be loaded without the weight store after any servers of a given number are lost.
   * @param model - Name of the model.
   * @param lostCount - Number of lost servers.
   */
  survivesLoss(model: string, lostCount: number): boolean {
    return (this.copiesByModel.get(model)?.weightsCount ?? 0) > lostCount;
  }

  /**
   * Returns what a second replica of a model is worth, in milliseconds of waiting, in case the server of the first is lost.
   * @param model - Name of the model.
   */
  getSpareValueMs(model: string): number {
    const footprint = this.profile.models.get(model);
    const reloadMs = this.survivesLoss(model, 1) ? footprint?.diskLoadMs : footprint?.storeLoadMs;
    return SPARE_COST_SHARE * this.getDemandPerSecond(model) * (reloadMs ?? 0);
  }

  /** Returns what the fleet loses with a copy: its share of the demand times the time to load it again. */
  private getLossMs(model: string, kind: CopyKind): number {
    const copies = this.copiesByModel.get(model);
    const footprint = this.profile.models.get(model);
    if (!copies || !footprint || kind === 'surplus') {
      return 0;
    }
    const reloadMs = copies.weightsCount > 0 ? footprint.diskLoadMs : footprint.storeLoadMs;
    return kind === 'spare'
      ? this.getSpareValueMs(model)
      : (this.getDemandPerSecond(model) * reloadMs) / copies.requiredCount;
  }

  /**
   * Whether a copy may be evicted: batch work and further replicas take no copy that a live model needs, other interactive work
   * none that runs requests.
   */
  private isEvictable(
    model: string,
    { isProtected, runningCount }: ModelUse,
    kind: CopyKind,
    { isInteractive, isReplica, mayEvictSpares }: PlacementRequirements,
  ): boolean {
    if (!isProtected || kind === 'surplus') {
      return true;
    }
    if (isInteractive && isReplica !== true && runningCount === 0) {
      return true;
    }
    return kind === 'spare' && mayEvictSpares === true && this.survivesLoss(model, MAX_LOST_COUNT);
  }

  private collect(servers: readonly KnownServer[]): void {
    for (const server of servers) {
      const { report, entry } = server;
      if (!report) {
        for (const { name } of entry.heldModels) {
          this.getOrCreate(name).silentCount++;
        }
      }
      for (const [model, use] of Object.entries(report?.uses ?? {})) {
        const copies = this.getOrCreate(model);
        copies.holders.push(server);
        copies.isLive ||= use.isProtected;
        copies.demandPerSecond += use.runningCount / REQUEST_S;
        const recentPerSecond = 1 / Math.max(MIN_IDLE_S, use.idleForMs / 1_000);
        copies.demandPerSecond = Math.max(copies.demandPerSecond, recentPerSecond);
      }
      const { queuedModels = [], loadingModel } = report ?? {};
      for (const model of queuedModels) {
        this.getOrCreate(model).pendingCount++;
      }
      if (loadingModel !== undefined && !queuedModels.includes(loadingModel)) {
        this.getOrCreate(loadingModel).pendingCount++;
      }
    }
    for (const { report, entry } of servers) {
      const { modelsOnDisk, modelsInMemory } = report ?? entry;
      for (const model of modelsOnDisk) {
        this.countWeights(model);
      }
      for (const model of modelsInMemory) {
        if (!modelsOnDisk.includes(model)) {
          this.countWeights(model);
        }
      }
    }
  }

  private countWeights(model: string): void {
    const copies = this.copiesByModel.get(model);
    if (copies) {
      copies.weightsCount++;
    }
  }

  /**
   * Decides which copies are kept. Each server keeps as few models as possible: one that kept all of its models could load no
   * other.
   */
  private assignKeepers(): void {
    const keptCounts = new Map<string, number>();
    const models = [...this.copiesByModel.values()].sort(
      (left, right) => left.holders.length - right.holders.length || (left.model < right.model ? -1 : 1),
    );
    for (const copies of models) {
      const { model, holders, isLive } = copies;
      if (holders.length > 1) {
        const order = new Map(
          holders.map((server) => {
            const { address, serverId } = server.entry;
            const slowRank = isLive && this.pace.isTooSlow(server, model) ? SLOW_SERVER_RANK : 0;
            return [server, slowRank + (keptCounts.get(address) ?? 0) + hashToFraction(model, serverId)];
          }),
        );
        holders.sort((left, right) => (order.get(left) ?? 0) - (order.get(right) ?? 0));
        copies.requiredCount = getRequiredCount(model, holders);
      }
      const keptCount = isLive ? Math.max(LIVE_COPY_COUNT, copies.requiredCount) : copies.requiredCount;
      for (const { entry } of holders.slice(0, keptCount)) {
        keptCounts.set(entry.address, (keptCounts.get(entry.address) ?? 0) + 1);
      }
    }
  }

  private getOrCreate(model: string): ModelCopies {
    let copies = this.copiesByModel.get(model);
    if (!copies) {
      copies = {
        model,
        holders: [],
        pendingCount: 0,
        silentCount: 0,
        isLive: false,
        demandPerSecond: 0,
        weightsCount: 0,
        requiredCount: 1,
      };
      this.copiesByModel.set(model, copies);
    }
    return copies;
  }
}
