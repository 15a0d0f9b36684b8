import type { EngineReport } from './ServerEntry.js';
import { setNewest } from './setNewest.js';

/** Maximum number of recorded adapters, whose names callers choose; the least recently used one is discarded first. */
const MAX_ADAPTERS = 1_000;

/** Adapter that is loaded on an engine, with its model. */
export interface HeldAdapter {
  readonly model: string;
  readonly adapter: string;
}

/** Records when the adapters of one engine were last used, to choose the one to evict. */
export class AdapterUsage {
  private readonly usedAtMs = new Map<string, number>();

  /**
   * Records the use of an adapter by a request.
   * @param model - Model of the adapter.
   * @param adapter - The adapter.
   * @param nowMs - Current time.
   */
  recordUse(model: string, adapter: string, nowMs: number): void {
    setNewest(this.usedAtMs, getKey(model, adapter), nowMs, MAX_ADAPTERS);
  }

  /**
   * Returns the least recently used adapter other than the requested one.
   * @param report - Report of the engine.
   * @param requestedModel - Model of the requested adapter.
   * @param requestedAdapter - Adapter that is to be loaded.
   */
  getLeastRecentlyUsed(
    report: EngineReport,
    requestedModel: string,
    requestedAdapter: string,
  ): HeldAdapter | undefined {
    let leastRecent: HeldAdapter | undefined;
    let leastRecentUseAtMs = Infinity;
    for (const { name, adapters } of report.heldModels) {
      for (const adapter of adapters) {
        const usedAtMs = this.usedAtMs.get(getKey(name, adapter)) ?? 0;
        const isRequested = name === requestedModel && adapter === requestedAdapter;
        if (!isRequested && usedAtMs < leastRecentUseAtMs) {
          leastRecent = { model: name, adapter };
          leastRecentUseAtMs = usedAtMs;
        }
      }
    }
    return leastRecent;
  }
}

/**
 * Counts the adapters that an engine holds or is loading.
 * @param report - Report of the engine.
 */
export function countAdapters(report: EngineReport): number {
  let count = report.comingAdapters.length;
  for (const { adapters } of report.heldModels) {
    count += adapters.length;
  }
  return count;
}

function getKey(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}
