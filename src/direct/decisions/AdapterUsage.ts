import type { EngineReport } from './ServerEntry.js';
import { setNewest } from '../../kernel/setNewest.js';

/** Maximum number of recorded adapters, whose names callers choose; the least recently used one is discarded first. */
const MAX_ADAPTERS = 1_000;

/**
 * Time after its last use for which an adapter is not evicted, in milliseconds: a request that was told that it is ready is
 * on its way to the engine for a few milliseconds.
 */
const KEEP_MS = 30;
/**
 * Time for which an adapter counts as being unloaded after its unload was ordered, in milliseconds; an engine waits for
 * the requests that use it. Then the unload may be ordered again.
 */
const UNLOAD_TIMEOUT_MS = 2_000;

/** Adapter that is loaded on an engine, with its model. */
export interface HeldAdapter {
  readonly model: string;
  readonly adapter: string;
}

/** Records when the adapters of one engine were last used, to choose the one to evict. */
export class AdapterUsage {
  private readonly usedAtMs = new Map<string, number>();
  /** When the unload of adapters that the reports still contain was ordered. */
  private readonly unloadingSinceMs = new Map<string, number>();

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
   * Records that the unload of an adapter is ordered.
   * @param model - Model of the adapter.
   * @param adapter - The adapter.
   * @param nowMs - Current time.
   */
  markUnloading(model: string, adapter: string, nowMs: number): void {
    this.unloadingSinceMs.set(getKey(model, adapter), nowMs);
  }

  /**
   * Withdraws that record, if the engine has not accepted the unload.
   * @param model - Model of the adapter.
   * @param adapter - The adapter.
   */
  unmarkUnloading(model: string, adapter: string): void {
    this.unloadingSinceMs.delete(getKey(model, adapter));
  }

  /**
   * Whether an adapter is being unloaded, so that it accepts no requests although reports may contain it.
   * @param model - Model of the adapter.
   * @param adapter - The adapter.
   */
  isUnloading(model: string, adapter: string): boolean {
    return this.unloadingSinceMs.has(getKey(model, adapter));
  }

  /**
   * Forgets unloads that a report shows to be over, and those that take too long.
   * @param report - Report of the engine.
   * @param isRestarted - Whether the report is the first one of another process.
   * @param nowMs - Current time.
   */
  applyReport(report: EngineReport, isRestarted: boolean, nowMs: number): void {
    for (const [key, sinceMs] of this.unloadingSinceMs) {
      const isHeld = report.heldModels.some(({ name, adapters }) =>
        adapters.some((adapter) => getKey(name, adapter) === key),
      );
      if (!isHeld || isRestarted || nowMs - sinceMs > UNLOAD_TIMEOUT_MS) {
        this.unloadingSinceMs.delete(key);
      }
    }
  }

  /**
   * Returns the least recently used adapter other than the requested one; undefined if all were used just now, or while the
   * engine still unloads another one, which frees a slot.
   * @param report - Report of the engine.
   * @param requestedModel - Model of the requested adapter.
   * @param requestedAdapter - Adapter that is to be loaded.
   * @param nowMs - Current time.
   */
  getLeastRecentlyUsed(
    report: EngineReport,
    requestedModel: string,
    requestedAdapter: string,
    nowMs: number,
  ): HeldAdapter | undefined {
    if (this.unloadingSinceMs.size > 0) {
      return undefined;
    }
    let leastRecent: HeldAdapter | undefined;
    let leastRecentUseAtMs = nowMs - KEEP_MS;
    for (const { name, adapters } of report.heldModels) {
      for (const adapter of adapters) {
        const usedAtMs = this.usedAtMs.get(getKey(name, adapter)) ?? -Infinity;
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
