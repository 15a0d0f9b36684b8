import { toDataCentreId, toServerId, toServiceId } from '../src/domain/index.js';
import type { AgentReport, ServerEntry } from '../src/direct/index.js';

/** Service of the measured engines. */
export const ENGINE_SERVICE = toServiceId('engines');

/** Properties of an engine that differ between measurements. */
export interface EngineOptions {
  readonly index: number;
  readonly models: readonly string[];
  readonly slotCount: number;
}

/**
 * Creates the list entry of an engine; every third one is in the same data centre.
 * @param options - Properties of the engine.
 */
export function makeEngineEntry({ index, models, slotCount }: EngineOptions): ServerEntry {
  return {
    serverId: toServerId(`s${index}`),
    serviceId: ENGINE_SERVICE,
    address: `10.0.${index >> 8}.${index & 255}:80`,
    dataCentre: toDataCentreId(`d${index % 3}`),
    slotCount,
    isLeaving: false,
    bornAtMs: 1,
    heldModels: models.map((name) => ({ name, adapters: [] })),
    modelsInMemory: [],
    modelsOnDisk: [],
  };
}

/**
 * Creates the report of an engine's agent.
 * @param entry - List entry of the engine.
 * @param overrides - Fields that replace those of an idle engine.
 */
export function makeEngineReport(
  { address, bornAtMs, heldModels }: ServerEntry,
  overrides: Partial<AgentReport>,
): AgentReport {
  return {
    bornAtMs,
    address,
    heldModels,
    comingAdapters: [],
    isBusy: false,
    orderCount: 2,
    waitingCount: 0,
    runningCount: 0,
    usedCacheTokens: 0,
    cacheTokens: 60_000,
    modelsInMemory: [],
    modelsOnDisk: [],
    uses: {},
    loadingForMs: 0,
    queuedModels: [],
    routerCount: 1,
    crashCounts: {},
    ...overrides,
  };
}
