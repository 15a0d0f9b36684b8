import { toDataCentreId, toServerId, toServiceId } from '../../src/domain/index.js';
import type {
  AgentReport,
  EngineProfile,
  EngineReport,
  HeldModel,
  ModelUse,
  Route,
  ServerEntry,
  ServingConfiguration,
} from '../../src/direct/index.js';

export const ENGINES = toServiceId('engines');
export const ORDERS = toServiceId('orders');

/** Creates a route of a streaming service; tests override the fields that matter to them. */
export function makeRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: 'drafts',
    host: 'a.example',
    pathPrefix: '/drafts/',
    kind: 'stream',
    targets: [{ serviceId: ENGINES, weight: 1 }],
    timeoutMs: 2_000,
    latencyTargetMs: 500,
    maxGapMs: 150,
    priority: 1,
    maxAttempts: 2,
    isResumable: true,
    ...overrides,
  };
}

/** Route to plain servers whose requests must not run twice. */
export const ONCE_ROUTE = makeRoute({
  pathPrefix: '/once/',
  kind: 'nonIdempotent',
  isResumable: false,
  maxAttempts: 1,
  targets: [{ serviceId: ORDERS, weight: 1 }],
});

/** Creates the profile of engines with memory for two models of 100 MB and two adapters. */
export function makeProfile(models: readonly string[] = ['a', 'b', 'c', 'd']): EngineProfile {
  const footprint = {
    weightsMb: 100,
    adapterMb: 1,
    adapterCount: 2,
    storeLoadMs: 6_000,
    diskLoadMs: 1_000,
    memoryLoadMs: 500,
  };
  return {
    batchSlotCount: 48,
    weightsMb: 205,
    adapterSlotCount: 2,
    loadsPerSecond: 3,
    models: new Map(models.map((model) => [model, footprint])),
  };
}

/** Creates a configuration with the given routes, an engine service and a plain one. */
export function makeConfiguration(version: number, routes: readonly Route[] = []): ServingConfiguration {
  return {
    version,
    routes,
    services: new Map([
      [ENGINES, { serviceId: ENGINES, maxConnections: 300, engine: makeProfile() }],
      [ORDERS, { serviceId: ORDERS, maxConnections: 100 }],
    ]),
    callerLimits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Creates an engine's entry in the platform's list. */
export function makeEntry(id: string, overrides: Partial<ServerEntry> = {}): ServerEntry {
  return {
    serverId: toServerId(id),
    serviceId: ENGINES,
    address: `10.0.0.1:${id.length}`,
    dataCentre: toDataCentreId('here'),
    softwareVersion: 'v1',
    slotCount: 48,
    isLeaving: false,
    bornAtMs: 1,
    heldModels: [],
    modelsInMemory: [],
    modelsOnDisk: [],
    ...overrides,
  };
}

/** Creates a held model, by default without adapters. */
export function makeHeldModel(name: string, adapters: readonly string[] = []): HeldModel {
  return { name, adapters };
}

/** State of an engine without requests, orders or models. */
export const IDLE_ENGINE: EngineReport = {
  bornAtMs: 1,
  heldModels: [],
  comingAdapters: [],
  isBusy: false,
  orderCount: 0,
  waitingCount: 0,
  runningCount: 0,
  usedCacheTokens: 0,
  cacheTokens: 1_000,
  modelsInMemory: [],
  modelsOnDisk: [],
};

/** Creates a report of an engine's agent. */
export function makeReport(entry: ServerEntry, overrides: Partial<AgentReport> = {}): AgentReport {
  const idle: ModelUse = { runningCount: 0, idleForMs: 10_000, isProtected: false };
  const heldModels = overrides.heldModels ?? entry.heldModels;
  return {
    ...IDLE_ENGINE,
    bornAtMs: entry.bornAtMs,
    heldModels,
    address: entry.address,
    uses: Object.fromEntries(heldModels.map(({ name }) => [name, idle])),
    loadingForMs: 0,
    queuedModels: [],
    routerCount: 1,
    crashCounts: {},
    ...overrides,
  };
}
