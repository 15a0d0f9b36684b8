import { murmur } from './rendezvous.js';
import type { KnownServer } from './FleetView.js';
import { getHeldModel } from './FleetView.js';
import type { AgentReport, ModelUse } from './ServerEntry.js';
import type { EngineProfile, ModelFootprint } from './ServingConfiguration.js';

/**
 * Longest time that all loads from the weight store may take together if it serves them one after the other, in
 * milliseconds. How many run at once at full speed is not published on the wire; it is four where a load takes 6 s and one
 * where it takes 13 s, and a load that crawls keeps its engine from all other orders.
 */
const STORE_HORIZON_MS = 24_000;
/** Time that an order under way still takes, in milliseconds, where it is no load of a model: an adapter or an unload. */
const BUSY_MS = 500;
/** Time that one more model in an agent's queue takes, in milliseconds: those that run end, an unload and a load from disk. */
const QUEUED_MODEL_MS = 2_000;
/** Time to drop an idle model, in milliseconds. */
const UNLOAD_MS = 100;
/** Time until a model that is in use can be dropped, in milliseconds: half of a common run for each that runs. */
const RUN_MS = 600;
/** Time after its last request up to which giving up a model counts as a loss, in milliseconds. */
const RECENT_USE_MS = 4_000;
/** Loss of a model that was used a moment ago, in milliseconds of waiting: it must probably be loaded again. */
const RECENT_USE_LOSS_MS = 600;
/** Time that live requests on a server count for when a batch model looks for a place, in milliseconds. */
const LIVE_LOAD_MS = 400;
/** Time that a load counts for on a server whose live models have adapters, in milliseconds: it holds adapters up. */
const HELD_UP_ADAPTERS_MS = 400;
/** Time that each rank counts for, in milliseconds: live models gather on the first servers, others on the last. */
const RANK_MS = 20;
/** Time that a load still takes at least while it is not reported as done, in milliseconds. */
const ALMOST_DONE_MS = 200;
/** The same as a share of its time so far: loads from the store slow each other down, so one that is late stays so. */
const OVERDUE_SHARE = 0.25;
/** Time that ties are broken by, in milliseconds; all routers break them the same way. */
const TIE_MS = 100;

/** Where a model is to be loaded. */
export interface PlacementChoice {
  readonly server: KnownServer;
  /** Time until the model can be used there, in milliseconds. */
  readonly readyInMs: number;
}

/** Model that needs a place. */
export interface PlacementRequirements {
  readonly model: string;
  readonly footprint: ModelFootprint;
  readonly isInteractive: boolean;
  /**
   * Longest time until the load may begin, in milliseconds. While it is 0 the model goes only where a place is idle, and
   * stays unbound otherwise, so that it gets whichever place is idle first.
   */
  readonly maxStartMs: number;
  /** Whether it may be loaded from the weight store although some server has it on its disk. */
  readonly mayFetchCopy: boolean;
}

/**
 * Chooses the server that loads a model.
 *
 * All routers choose from the same reports in the same way, so that those who need a model at the same moment ask the
 * same agent for it.
 * @param need - What needs a place.
 * @param servers - Servers of the service that take work.
 * @param profile - What their engines hold at most.
 */
export function choosePlacement(
  need: PlacementRequirements,
  servers: readonly KnownServer[],
  profile: EngineProfile,
): PlacementChoice | undefined {
  const isOnSomeDisk = servers.some((server) => loadTimeMs(need, server) < need.footprint.storeLoadMs);
  const mayUseStore =
    need.isInteractive ||
    ((!isOnSomeDisk || need.mayFetchCopy) && countStoreLoads(servers) < countLoadsAtOnce(profile));
  let best: PlacementChoice | undefined;
  let bestScoreMs = Infinity;
  for (const server of servers) {
    const { report } = server;
    if (!report || getHeldModel(server, need.model)) {
      continue;
    }
    const loadMs = loadTimeMs(need, server);
    if (loadMs === need.footprint.storeLoadMs && !mayUseStore) {
      continue;
    }
    const room = makeRoom(need, server, profile);
    if (!room) {
      continue;
    }
    const startMs = busyLeftMs(server, profile) + report.queuedModels.length * QUEUED_MODEL_MS + room.startMs;
    if (startMs > need.maxStartMs) {
      continue;
    }
    const readyInMs = loadMs + startMs + UNLOAD_MS;
    const liveShare = report.runningCount / Math.max(1, server.entry.slotCount);
    const heldUpMs = servesAdapters(report) ? HELD_UP_ADAPTERS_MS : 0;
    const rank = need.isInteractive ? server.rank : servers.length - server.rank;
    const scoreMs =
      readyInMs +
      room.lossMs +
      heldUpMs +
      RANK_MS * rank +
      LIVE_LOAD_MS * liveShare +
      TIE_MS * murmur(need.model, server.entry.serverId);
    if (scoreMs < bestScoreMs) {
      best = { server, readyInMs };
      bestScoreMs = scoreMs;
    }
  }
  return best;
}

/**
 * Finds the server whose agent loads a model or is about to, the soonest one first; undefined when none does.
 * @param need - The model.
 * @param servers - Servers of the service that take work.
 * @param profile - What their engines hold at most.
 */
export function findPendingLoad(
  need: PlacementRequirements,
  servers: readonly KnownServer[],
  profile: EngineProfile,
): PlacementChoice | undefined {
  let best: PlacementChoice | undefined;
  for (const server of servers) {
    const { report } = server;
    const queueIndex = report?.queuedModels.indexOf(need.model) ?? -1;
    const isLoading = report?.loadingModel === need.model;
    if (isLoading || queueIndex >= 0) {
      const queuedMs = loadTimeMs(need, server) + Math.max(0, queueIndex) * QUEUED_MODEL_MS;
      const readyInMs = busyLeftMs(server, profile) + (isLoading ? 0 : queuedMs);
      if (readyInMs < (best?.readyInMs ?? Infinity)) {
        best = { server, readyInMs };
      }
    }
  }
  return best;
}

/** Time until a server has carried out the order that is under way, in milliseconds. */
function busyLeftMs({ report }: KnownServer, profile: EngineProfile): number {
  if (report?.isBusy !== true && report?.loadingModel === undefined) {
    return 0;
  }
  const { loadingModel, loadingForMs } = report;
  const footprint = loadingModel === undefined ? undefined : profile.models.get(loadingModel);
  if (loadingModel === undefined || !footprint) {
    return BUSY_MS;
  }
  const totalMs = loadTimeOf(loadingModel, footprint, report);
  const leftMs = totalMs > loadingForMs ? totalMs - loadingForMs : OVERDUE_SHARE * loadingForMs;
  return Math.max(ALMOST_DONE_MS, leftMs);
}

/**
 * Time that a server takes to load a model, in milliseconds.
 * @param need - The model.
 * @param server - The server.
 */
export function loadTimeMs(need: PlacementRequirements, server: KnownServer): number {
  return loadTimeOf(need.model, need.footprint, server.report ?? server.entry);
}

function loadTimeOf(
  model: string,
  footprint: ModelFootprint,
  source: { readonly modelsInMemory: readonly string[]; readonly modelsOnDisk: readonly string[] },
): number {
  if (source.modelsInMemory.includes(model)) {
    return footprint.memoryLoadMs;
  }
  return source.modelsOnDisk.includes(model) ? footprint.diskLoadMs : footprint.storeLoadMs;
}

/** Whether live requests use adapters there. */
function servesAdapters(report: AgentReport): boolean {
  for (const { name, adapters } of report.heldModels) {
    if (adapters.length > 0 && report.uses[name]?.isProtected === true) {
      return true;
    }
  }
  return false;
}

/**
 * Finds models that few servers can load from their own disk, as long as few loads from the store are under way.
 * @param servers - Servers of the service that take work.
 * @param profile - What their engines hold at most.
 * @param wantedCopies - Servers that should have each model.
 */
export function findScarceModels(
  servers: readonly KnownServer[],
  profile: EngineProfile,
  wantedCopies: number,
): string[] {
  const copies = new Map<string, number>();
  for (const { report } of servers) {
    if (!report) {
      // What this server has is not known, so nothing can be said.
      return [];
    }
    const atHand = new Set([...report.modelsOnDisk, ...report.modelsInMemory, ...report.queuedModels]);
    atHand.add(report.loadingModel ?? '');
    for (const model of atHand) {
      copies.set(model, (copies.get(model) ?? 0) + 1);
    }
  }
  const missing = [...profile.models.keys()].filter((model) => (copies.get(model) ?? 0) < wantedCopies);
  // Only live requests name adapters, and those can't wait for the store.
  missing.sort(
    (left, right) =>
      (copies.get(left) ?? 0) - (copies.get(right) ?? 0) ||
      adapterCountOf(profile, right) - adapterCountOf(profile, left),
  );
  return missing.slice(0, Math.max(0, countLoadsAtOnce(profile) - countStoreLoads(servers)));
}

function adapterCountOf(profile: EngineProfile, model: string): number {
  return profile.models.get(model)?.adapterCount ?? 0;
}

/** Loads from the weight store that may be under way at once; one at least. */
function countLoadsAtOnce(profile: EngineProfile): number {
  let longestMs = 1;
  for (const { storeLoadMs } of profile.models.values()) {
    longestMs = Math.max(longestMs, storeLoadMs);
  }
  return Math.max(1, Math.floor(STORE_HORIZON_MS / longestMs));
}

/** Loads from the weight store that are under way. */
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

/** What it takes to make room for a model. */
interface Room {
  /** Time until those that must go have ended their runs, in milliseconds. */
  readonly startMs: number;
  /** What giving them up costs, in milliseconds of waiting. */
  readonly lossMs: number;
}

/** Finds out what it takes to make room for a model; undefined where there is none to be made. */
function makeRoom(
  need: PlacementRequirements,
  server: KnownServer,
  profile: EngineProfile,
): Room | undefined {
  const { report } = server;
  let freeMb = profile.weightsMb;
  const victims: { use: ModelUse; sizeMb: number }[] = [];
  for (const { name, adapters } of report?.heldModels ?? []) {
    const footprint = profile.models.get(name);
    if (!footprint) {
      return undefined;
    }
    const sizeMb = footprint.weightsMb + adapters.length * footprint.adapterMb;
    freeMb -= sizeMb;
    const use = report?.uses[name];
    if (use && (!use.isProtected || (need.isInteractive && use.runningCount === 0))) {
      victims.push({ use, sizeMb });
    }
  }
  victims.sort((left, right) => lossMs(left.use) - lossMs(right.use));
  let startMs = 0;
  let totalLossMs = 0;
  for (const { use, sizeMb } of victims) {
    if (freeMb >= need.footprint.weightsMb) {
      break;
    }
    freeMb += sizeMb;
    startMs = Math.max(startMs, use.runningCount * RUN_MS);
    totalLossMs += lossMs(use);
  }
  return freeMb >= need.footprint.weightsMb ? { startMs, lossMs: totalLossMs } : undefined;
}

/** What giving up a model costs, in milliseconds of waiting. */
export function lossMs(use: ModelUse): number {
  const recency = Math.max(0, 1 - use.idleForMs / RECENT_USE_MS);
  return (
    use.runningCount * RUN_MS + recency * RECENT_USE_LOSS_MS + (use.isProtected ? RECENT_USE_LOSS_MS : 0)
  );
}
