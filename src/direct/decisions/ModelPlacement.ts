import { hashToFraction } from '../../kernel/rendezvous.js';
import type { KnownServer } from './FleetView.js';
import { getHeldModel } from './FleetView.js';
import type { AgentReport, ModelUse } from './ServerEntry.js';
import type { EngineProfile, ModelFootprint } from './ServingConfiguration.js';

/**
 * Maximum total duration of the concurrent loads from the weight store if it served them one after the other, in
 * milliseconds. The number of loads that it serves at full speed is not published on the wire: it is four where a load
 * takes 6 s and one where it takes 13 s. A slow load blocks all other orders to its engine.
 */
const MAX_TOTAL_STORE_LOAD_MS = 24_000;
/**
 * Factor by which urgent loads may exceed the number of concurrent loads from the weight store: each one slows all others down,
 * and keeps its engine from other loads meanwhile.
 */
const URGENT_STORE_LOAD_FACTOR = 2;
/** Estimated remaining time of an order in progress that is an unload or concerns an adapter, in milliseconds. */
const OTHER_ORDER_MS = 500;
/**
 * Estimated time that each model in an agent's queue takes, in milliseconds: the running requests end, one model is
 * unloaded and one is loaded from disk.
 */
const QUEUED_MODEL_MS = 2_000;
/**
 * Remaining time of a load, in milliseconds, from which it blocks the models queued behind it: a load from the store would
 * otherwise keep them from all other servers until it ends.
 */
const MAX_QUEUE_DELAY_MS = 3_000;
/** Estimated time to unload an idle model, in milliseconds. */
const UNLOAD_MS = 100;
/** Estimated time until a running request ends, in milliseconds: half the duration of a common request. */
const REMAINING_REQUEST_MS = 600;
/** Time after its last request for which an idle model has an eviction cost, in milliseconds. */
const RECENT_USE_MS = 4_000;
/** Eviction cost of a model that was just used, in milliseconds of waiting: it must probably be loaded again. */
const RECENT_USE_COST_MS = 600;
/** Penalty of a server with all slots in use, in milliseconds; scaled by the share of slots with running requests. */
const SLOT_USE_PENALTY_MS = 400;
/** Penalty of a server whose interactive models have adapters, in milliseconds: the load delays adapter loads. */
const ADAPTER_DELAY_PENALTY_MS = 400;
/** Penalty per rank, in milliseconds: interactive models gather on the first servers, others on the last. */
const RANK_PENALTY_MS = 20;
/** Minimum remaining time of a load that is not reported as done, in milliseconds. */
const MIN_REMAINING_LOAD_MS = 200;
/**
 * Remaining time of an overdue load as a share of its time so far: loads from the store slow each other down, so the
 * delay lasts.
 */
const OVERDUE_RATIO = 0.25;
/** Maximum hash-based score that breaks ties, in milliseconds; it is the same on all routers. */
const MAX_TIE_BREAK_MS = 100;

/** Values the models that servers hold, and the servers for a model. */
export interface EvictionPolicy {
  /** Whether evictions are planned for the whole fleet, and for the models that engines have in their queues. */
  readonly isFleetWide: boolean;
  /**
   * Returns what the fleet loses when a server evicts a model, in milliseconds of waiting; undefined if the server may not
   * evict it.
   * @param server - The server.
   * @param model - Name of the model that it holds.
   * @param requirements - Model that it is evicted for.
   */
  getCostMs(server: KnownServer, model: string, requirements: PlacementRequirements): number | undefined;
  /**
   * Returns the penalty of a server's speed for a model, in milliseconds of waiting.
   * @param server - The server.
   * @param requirements - Model that is to be loaded.
   */
  getPacePenaltyMs(server: KnownServer, requirements: PlacementRequirements): number;
}

/** Server that loads a model. */
export interface PlacementChoice {
  readonly server: KnownServer;
  /** Estimated time until the model can be used there, in milliseconds. */
  readonly readyInMs: number;
  /** Models that the server evicts for it. */
  readonly evictedModels: readonly string[];
  /** What the fleet loses with them, in milliseconds of waiting. */
  readonly evictionCostMs: number;
}

/** Load of a model that is in progress or queued. */
export interface PendingLoad extends Pick<PlacementChoice, 'server' | 'readyInMs'> {
  /** Whether it waits behind a load that takes long, so that another server may be ready sooner. */
  readonly isBlocked: boolean;
}

/** Model that is to be loaded, and the requirements on its server. */
export interface PlacementRequirements {
  readonly model: string;
  readonly footprint: ModelFootprint;
  readonly isInteractive: boolean;
  /**
   * Maximum time until the load starts, in milliseconds. With 0 only a server that can start it at once is chosen, so
   * that the model goes to whichever server becomes idle first.
   */
  readonly maxStartMs: number;
  /** Whether the model may be loaded from the weight store although a server has it on disk. */
  readonly mayFetchCopy: boolean;
  /** Whether another server holds the model already, so that its load must not slow others from the store down. */
  readonly isReplica?: boolean;
  /** Values the evictions over all servers; absent if each server's own use decides. */
  readonly evictionPolicy?: EvictionPolicy;
  /** Whether it may take the slot of a live model's replica that is only kept in case a server is lost. */
  readonly mayEvictSpares?: boolean;
  /** Maximum cost of the evictions, in milliseconds of waiting; no limit if absent. */
  readonly maxEvictionCostMs?: number;
}

/**
 * Chooses the server that loads a model.
 *
 * All routers choose from the same reports in the same way, so that routers that need a model at the same time request
 * it from the same agent.
 * @param requirements - Model to load.
 * @param servers - Servers of the service that accept new requests.
 * @param profile - Engine profile of the service.
 */
export function choosePlacement(
  requirements: PlacementRequirements,
  servers: readonly KnownServer[],
  profile: EngineProfile,
): PlacementChoice | undefined {
  const isOnSomeDisk = servers.some(
    (server) => getLoadTimeMs(requirements, server) < requirements.footprint.storeLoadMs,
  );
  const isUrgent = requirements.isInteractive && requirements.isReplica !== true;
  const maxStoreLoads = getMaxConcurrentStoreLoads(profile) * (isUrgent ? URGENT_STORE_LOAD_FACTOR : 1);
  const mayUseStore =
    (isUrgent || !isOnSomeDisk || requirements.mayFetchCopy) && countStoreLoads(servers) < maxStoreLoads;
  let best: PlacementChoice | undefined;
  let bestScoreMs = Infinity;
  for (const server of servers) {
    const { report } = server;
    if (!report || getHeldModel(server, requirements.model)) {
      continue;
    }
    const loadMs = getLoadTimeMs(requirements, server);
    if (loadMs === requirements.footprint.storeLoadMs && !mayUseStore) {
      continue;
    }
    const busyMs = getRemainingBusyMs(server, profile) + report.queuedModels.length * QUEUED_MODEL_MS;
    if (loadMs + busyMs + UNLOAD_MS >= bestScoreMs) {
      continue;
    }
    const evictionPlan = planEviction(requirements, server, profile);
    if (!evictionPlan || evictionPlan.costMs > (requirements.maxEvictionCostMs ?? Infinity)) {
      continue;
    }
    const startMs = busyMs + evictionPlan.startMs;
    if (startMs > requirements.maxStartMs) {
      continue;
    }
    const readyInMs = loadMs + startMs + UNLOAD_MS;
    const slotUseShare = report.runningCount / Math.max(1, server.entry.slotCount);
    const adapterDelayMs = hasInteractiveAdapterUse(report) ? ADAPTER_DELAY_PENALTY_MS : 0;
    const { model, isInteractive, evictionPolicy } = requirements;
    const rank = isInteractive ? server.rank : servers.length - server.rank;
    const scoreMs =
      readyInMs +
      evictionPlan.costMs +
      (evictionPolicy?.getPacePenaltyMs(server, requirements) ?? 0) +
      adapterDelayMs +
      RANK_PENALTY_MS * rank +
      SLOT_USE_PENALTY_MS * slotUseShare +
      MAX_TIE_BREAK_MS * hashToFraction(model, server.entry.serverId);
    if (scoreMs < bestScoreMs) {
      const { evictedModels, costMs } = evictionPlan;
      best = { server, readyInMs, evictedModels, evictionCostMs: costMs };
      bestScoreMs = scoreMs;
    }
  }
  return best;
}

/**
 * Returns the server that is expected to finish a running or queued load of a model first; undefined if there is none.
 * @param requirements - The model.
 * @param servers - Servers of the service that accept new requests.
 * @param profile - Engine profile of the service.
 */
export function findPendingLoad(
  requirements: PlacementRequirements,
  servers: readonly KnownServer[],
  profile: EngineProfile,
): PendingLoad | undefined {
  let best: PendingLoad | undefined;
  for (const server of servers) {
    const { report } = server;
    const queueIndex = report?.queuedModels.indexOf(requirements.model) ?? -1;
    const isLoading = report?.loadingModel === requirements.model;
    const busyMs = getRemainingBusyMs(server, profile);
    if (isLoading || queueIndex >= 0) {
      const queuedMs = getLoadTimeMs(requirements, server) + Math.max(0, queueIndex) * QUEUED_MODEL_MS;
      const readyInMs = busyMs + (isLoading ? 0 : queuedMs);
      if (readyInMs < (best?.readyInMs ?? Infinity)) {
        best = { server, readyInMs, isBlocked: !isLoading && busyMs > MAX_QUEUE_DELAY_MS };
      }
    }
  }
  return best;
}

/** Estimates the time until a server has completed the order in progress, in milliseconds. */
function getRemainingBusyMs({ report }: KnownServer, profile: EngineProfile): number {
  if (report?.isBusy !== true && report?.loadingModel === undefined) {
    return 0;
  }
  const { loadingModel, loadingForMs } = report;
  const footprint = loadingModel === undefined ? undefined : profile.models.get(loadingModel);
  if (loadingModel === undefined || !footprint) {
    return OTHER_ORDER_MS;
  }
  const totalMs = getLoadTimeFromSource(loadingModel, footprint, report);
  const remainingMs = totalMs > loadingForMs ? totalMs - loadingForMs : OVERDUE_RATIO * loadingForMs;
  return Math.max(MIN_REMAINING_LOAD_MS, remainingMs);
}

/**
 * Returns the time that a server takes to load a model, in milliseconds.
 * @param requirements - The model.
 * @param server - The server.
 */
export function getLoadTimeMs(requirements: PlacementRequirements, server: KnownServer): number {
  return getLoadTimeFromSource(requirements.model, requirements.footprint, server.report ?? server.entry);
}

function getLoadTimeFromSource(
  model: string,
  footprint: ModelFootprint,
  source: { readonly modelsInMemory: readonly string[]; readonly modelsOnDisk: readonly string[] },
): number {
  if (source.modelsInMemory.includes(model)) {
    return footprint.memoryLoadMs;
  }
  return source.modelsOnDisk.includes(model) ? footprint.diskLoadMs : footprint.storeLoadMs;
}

/** Whether a protected model on the engine has adapters loaded. */
function hasInteractiveAdapterUse(report: AgentReport): boolean {
  for (const { name, adapters } of report.heldModels) {
    if (adapters.length > 0 && report.uses[name]?.isProtected === true) {
      return true;
    }
  }
  return false;
}

/**
 * Returns the models that too few servers have on disk or in memory, limited to the number that the store can load now.
 * @param servers - Servers of the service that accept new requests.
 * @param profile - Engine profile of the service.
 * @param targetCopyCount - Number of servers that should have a copy of each model.
 * @param getDemandPerSecond - Returns the number of requests per second for a model; those with more go first.
 */
export function findUnderReplicatedModels(
  servers: readonly KnownServer[],
  profile: EngineProfile,
  targetCopyCount: number,
  getDemandPerSecond: (model: string) => number = () => 0,
): string[] {
  const copyCounts = new Map<string, number>();
  for (const { report, entry } of servers) {
    // A server without a fresh report counts as having what its list entry names.
    const { modelsOnDisk, modelsInMemory } = report ?? entry;
    const availableModels = new Set([
      ...modelsOnDisk,
      ...modelsInMemory,
      ...(report?.queuedModels ?? entry.heldModels.map(({ name }) => name)),
    ]);
    availableModels.add(report?.loadingModel ?? '');
    for (const model of availableModels) {
      copyCounts.set(model, (copyCounts.get(model) ?? 0) + 1);
    }
  }
  const underReplicatedModels = [...profile.models.keys()].filter(
    (model) => (copyCounts.get(model) ?? 0) < targetCopyCount,
  );
  // Among models in equal demand, those with adapters go first: only interactive requests name adapters, and those can't wait for the store.
  underReplicatedModels.sort(
    (left, right) =>
      (copyCounts.get(left) ?? 0) - (copyCounts.get(right) ?? 0) ||
      getDemandPerSecond(right) - getDemandPerSecond(left) ||
      getAdapterCount(profile, right) - getAdapterCount(profile, left),
  );
  const maxLoadCount = Math.min(getMaxConcurrentStoreLoads(profile), Math.ceil(profile.loadsPerSecond));
  return underReplicatedModels.slice(0, Math.max(0, maxLoadCount - countStoreLoads(servers)));
}

function getAdapterCount(profile: EngineProfile, model: string): number {
  return profile.models.get(model)?.adapterCount ?? 0;
}

/** Returns the maximum number of concurrent loads from the weight store; at least 1. */
function getMaxConcurrentStoreLoads(profile: EngineProfile): number {
  let longestMs = 1;
  for (const { storeLoadMs } of profile.models.values()) {
    longestMs = Math.max(longestMs, storeLoadMs);
  }
  return Math.max(1, Math.floor(MAX_TOTAL_STORE_LOAD_MS / longestMs));
}

/** Counts the loads from the weight store that are in progress. */
function countStoreLoads(servers: readonly KnownServer[]): number {
  let count = 0;
  for (const { report } of servers) {
    const model = report?.loadingModel;
    if (report && model !== undefined && !report.modelsOnDisk.includes(model)) {
      count++;
    }
  }
  return count;
}

/** Evictions that free memory for a model, with their delay and cost. */
export interface EvictionPlan {
  /** Estimated time until the requests on the evicted models have ended, in milliseconds. */
  readonly startMs: number;
  /** Total eviction cost, in milliseconds of waiting. */
  readonly costMs: number;
  readonly evictedModels: readonly string[];
}

/**
 * Plans the evictions that free memory for a model, and for those that the server is to load before it; undefined when
 * not enough memory can be freed.
 * @param requirements - Model to load.
 * @param server - The server.
 * @param profile - Engine profile of the service.
 */
export function planEviction(
  requirements: PlacementRequirements,
  server: KnownServer,
  profile: EngineProfile,
): EvictionPlan | undefined {
  const { report } = server;
  const { model, isInteractive, evictionPolicy } = requirements;
  let freeMb = profile.weightsMb - getPendingMb(requirements, server, profile);
  const candidates: { name: string; use: ModelUse; sizeMb: number; costMs: number }[] = [];
  for (const { name, adapters } of report?.heldModels ?? []) {
    const footprint = profile.models.get(name);
    if (!footprint) {
      return undefined;
    }
    const sizeMb = footprint.weightsMb + adapters.length * footprint.adapterMb;
    freeMb -= sizeMb;
    const use = report?.uses[name];
    const costMs = evictionPolicy
      ? evictionPolicy.getCostMs(server, name, requirements)
      : use && getOwnCostMs(use, isInteractive);
    if (use && costMs !== undefined && name !== model) {
      candidates.push({ name, use, sizeMb, costMs });
    }
  }
  candidates.sort((left, right) => left.costMs - right.costMs);
  let startMs = 0;
  let totalCostMs = 0;
  const evictedModels: string[] = [];
  for (const { name, use, sizeMb, costMs } of candidates) {
    if (freeMb >= requirements.footprint.weightsMb) {
      break;
    }
    freeMb += sizeMb;
    startMs = Math.max(startMs, use.runningCount * REMAINING_REQUEST_MS);
    totalCostMs += costMs;
    evictedModels.push(name);
  }
  return freeMb >= requirements.footprint.weightsMb
    ? { startMs, costMs: totalCostMs, evictedModels }
    : undefined;
}

/** Returns the memory that the server's load in progress and its queue take, in MB, where evictions are planned for all. */
function getPendingMb(
  { model, evictionPolicy }: PlacementRequirements,
  { report }: KnownServer,
  profile: EngineProfile,
): number {
  if (
    evictionPolicy?.isFleetWide !== true ||
    !report ||
    (report.loadingModel === undefined && report.queuedModels.length === 0)
  ) {
    return 0;
  }
  let pendingMb = 0;
  for (const name of new Set([report.loadingModel, ...report.queuedModels])) {
    const isHeld = report.heldModels.some((held) => held.name === name) === true;
    pendingMb +=
      name === undefined || name === model || isHeld ? 0 : (profile.models.get(name)?.weightsMb ?? 0);
  }
  return pendingMb;
}

/** Returns the cost of an eviction by the server's own use of the model; undefined if it may not be evicted. */
function getOwnCostMs(use: ModelUse, isInteractive: boolean): number | undefined {
  const isEvictable = !use.isProtected || (isInteractive && use.runningCount === 0);
  return isEvictable ? getEvictionCostMs(use) : undefined;
}

/**
 * Returns the cost of the eviction of a model, in milliseconds of waiting.
 * @param use - Use of the model.
 */
export function getEvictionCostMs(use: ModelUse): number {
  const recency = Math.max(0, 1 - use.idleForMs / RECENT_USE_MS);
  return (
    use.runningCount * REMAINING_REQUEST_MS +
    recency * RECENT_USE_COST_MS +
    (use.isProtected ? RECENT_USE_COST_MS : 0)
  );
}
