import { murmur } from './rendezvous.js';
import type { KnownServer } from './FleetView.js';
import { getHeldModel } from './FleetView.js';
import type { ModelFootprint } from './ServingConfiguration.js';

/** Loads from the weight store that run at once at full speed on the deployments served; more slow each other down. */
const STORE_LOADS_AT_ONCE = 4;
/** Time that an order under way still takes, in milliseconds, where nothing better is known: half a load from disk. */
const BUSY_MS = 500;
/** Time that one more model in an agent's queue takes, in milliseconds: an unload and a load from disk. */
const QUEUED_MODEL_MS = 1_200;
/** Time that live requests on a server count for when a batch model looks for a place, in milliseconds. */
const LIVE_LOAD_MS = 400;
/** Time that ties are broken by, in milliseconds; all routers break them the same way. */
const TIE_MS = 150;

/** Where a model is to be loaded. */
export interface PlacementChoice {
  readonly server: KnownServer;
  /** Time until the model can be used there, in milliseconds. */
  readonly readyInMs: number;
}

/** Model that needs a place. */
export interface PlacementNeed {
  readonly model: string;
  readonly footprint: ModelFootprint;
  readonly isInteractive: boolean;
}

/**
 * Chooses the server that loads a model.
 *
 * All routers choose from the same reports in the same way, so that those who need a model at the same moment ask the
 * same agent for it.
 * @param need - What needs a place.
 * @param servers - Servers of the service that take work.
 */
export function choosePlacement(
  need: PlacementNeed,
  servers: readonly KnownServer[],
): PlacementChoice | undefined {
  const mayUseStore = need.isInteractive || countStoreLoads(servers) < STORE_LOADS_AT_ONCE;
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
    if (!need.isInteractive && report.reclaimableMb < need.footprint.weightsMb) {
      continue;
    }
    const readyInMs =
      loadMs + (report.isBusy ? BUSY_MS : 0) + report.queuedModels.length * QUEUED_MODEL_MS;
    const liveShare = report.runningCount / Math.max(1, server.entry.slotCount);
    const scoreMs = readyInMs + LIVE_LOAD_MS * liveShare + TIE_MS * murmur(need.model, server.entry.serverId);
    if (scoreMs < bestScoreMs) {
      best = { server, readyInMs };
      bestScoreMs = scoreMs;
    }
  }
  return best;
}

/**
 * Time until a model that some agent loads or is about to load can be used, in milliseconds; undefined when none does.
 * @param need - The model.
 * @param servers - Servers of the service that take work.
 */
export function readyOnTheWayMs(need: PlacementNeed, servers: readonly KnownServer[]): number | undefined {
  let bestMs: number | undefined;
  for (const server of servers) {
    const { report } = server;
    const queueIndex = report?.queuedModels.indexOf(need.model) ?? -1;
    const isLoading = report?.loadingModel === need.model;
    if (isLoading || queueIndex >= 0) {
      const readyMs = loadTimeMs(need, server) + Math.max(0, queueIndex) * QUEUED_MODEL_MS;
      bestMs = Math.min(bestMs ?? Infinity, readyMs);
    }
  }
  return bestMs;
}

/**
 * Time that a server takes to load a model, in milliseconds.
 * @param need - The model.
 * @param server - The server.
 */
export function loadTimeMs(need: PlacementNeed, server: KnownServer): number {
  const { footprint, model } = need;
  const source = server.report ?? server.entry;
  if (source.modelsInMemory.includes(model)) {
    return footprint.memoryLoadMs;
  }
  return source.modelsOnDisk.includes(model) ? footprint.diskLoadMs : footprint.storeLoadMs;
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
