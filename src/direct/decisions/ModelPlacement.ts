import type { SurplusReplicas } from './findSurplusReplicas.js';
import { hashToFraction } from './rendezvous.js';
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

/** Server that loads a model. */
export interface PlacementChoice {
  readonly server: KnownServer;
  /** Estimated time until the model can be used there, in milliseconds. */
  readonly readyInMs: number;
}

/** Load of a model that is in progress or queued. */
export interface PendingLoad extends PlacementChoice {
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
  /** Models that may be evicted although they are in interactive use, by address of the server. */
  readonly surplusReplicas?: SurplusReplicas;
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
  const mayUseStore =
    isUrgent ||
    ((!isOnSomeDisk || requirements.mayFetchCopy) &&
      countStoreLoads(servers) < getMaxConcurrentStoreLoads(profile));
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
    const evictionPlan = planEviction(requirements, server, profile);
    if (!evictionPlan) {
      continue;
    }
    const startMs =
      getRemainingBusyMs(server, profile) +
      report.queuedModels.length * QUEUED_MODEL_MS +
      evictionPlan.startMs;
    if (startMs > requirements.maxStartMs) {
      continue;
    }
    const readyInMs = loadMs + startMs + UNLOAD_MS;
    const slotUseShare = report.runningCount / Math.max(1, server.entry.slotCount);
    const adapterDelayMs = hasInteractiveAdapterUse(report) ? ADAPTER_DELAY_PENALTY_MS : 0;
    const rank = requirements.isInteractive ? server.rank : servers.length - server.rank;
    const scoreMs =
      readyInMs +
      evictionPlan.costMs +
      adapterDelayMs +
      RANK_PENALTY_MS * rank +
      SLOT_USE_PENALTY_MS * slotUseShare +
      MAX_TIE_BREAK_MS * hashToFraction(requirements.model, server.entry.serverId);
    if (scoreMs < bestScoreMs) {
      best = { server, readyInMs };
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
 */
export function findUnderReplicatedModels(
  servers: readonly KnownServer[],
  profile: EngineProfile,
  targetCopyCount: number,
): string[] {
  const copyCounts = new Map<string, number>();
  for (const { report } of servers) {
    if (!report) {
      // The models of this server are unknown, so the copies can't be counted.
      return [];
    }
    const availableModels = new Set([
      ...report.modelsOnDisk,
      ...report.modelsInMemory,
      ...report.queuedModels,
    ]);
    availableModels.add(report.loadingModel ?? '');
    for (const model of availableModels) {
      copyCounts.set(model, (copyCounts.get(model) ?? 0) + 1);
    }
  }
  const underReplicatedModels = [...profile.models.keys()].filter(
    (model) => (copyCounts.get(model) ?? 0) < targetCopyCount,
  );
  // Models with adapters go first: only interactive requests name adapters, and those can't wait for the store.
  underReplicatedModels.sort(
    (left, right) =>
      (copyCounts.get(left) ?? 0) - (copyCounts.get(right) ?? 0) ||
      getAdapterCount(profile, right) - getAdapterCount(profile, left),
  );
  return underReplicatedModels.slice(
    0,
    Math.max(0, getMaxConcurrentStoreLoads(profile) - countStoreLoads(servers)),
  );
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

/** Delay and cost of the evictions that free memory for a model. */
interface EvictionPlan {
  /** Estimated time until the requests on the evicted models have ended, in milliseconds. */
  readonly startMs: number;
  /** Total eviction cost, in milliseconds of waiting. */
  readonly costMs: number;
}

/** Plans the evictions that free memory for a model; undefined when not enough memory can be freed. */
function planEviction(
  requirements: PlacementRequirements,
  server: KnownServer,
  profile: EngineProfile,
): EvictionPlan | undefined {
  const { report } = server;
  const surplusModels = requirements.surplusReplicas?.get(server.entry.address);
  let freeMb = profile.weightsMb;
  const candidates: { use: ModelUse; sizeMb: number }[] = [];
  for (const { name, adapters } of report?.heldModels ?? []) {
    const footprint = profile.models.get(name);
    if (!footprint) {
      return undefined;
    }
    const sizeMb = footprint.weightsMb + adapters.length * footprint.adapterMb;
    freeMb -= sizeMb;
    const use = report?.uses[name];
    const isEvictable = use?.isProtected !== true || surplusModels?.has(name) === true;
    if (use && (isEvictable || (requirements.isInteractive && use.runningCount === 0))) {
      candidates.push({ use, sizeMb });
    }
  }
  candidates.sort((left, right) => getEvictionCostMs(left.use) - getEvictionCostMs(right.use));
  let startMs = 0;
  let totalCostMs = 0;
  for (const { use, sizeMb } of candidates) {
    if (freeMb >= requirements.footprint.weightsMb) {
      break;
    }
    freeMb += sizeMb;
    startMs = Math.max(startMs, use.runningCount * REMAINING_REQUEST_MS);
    totalCostMs += getEvictionCostMs(use);
  }
  return freeMb >= requirements.footprint.weightsMb ? { startMs, costMs: totalCostMs } : undefined;
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
