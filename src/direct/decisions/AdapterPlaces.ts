import type { EngineReport } from './ServerEntry.js';

/** Adapter of a model. */
export interface HeldAdapter {
  readonly model: string;
  readonly adapter: string;
}

/** Remembers when the adapters of one engine were used, to choose which of them makes room. */
export class AdapterPlaces {
  private readonly usedAtMs = new Map<string, number>();

  /**
   * Notes that a request uses an adapter.
   * @param model - Its model.
   * @param adapter - The adapter.
   * @param nowMs - Time now.
   */
  noteUse(model: string, adapter: string, nowMs: number): void {
    this.usedAtMs.set(keyOf(model, adapter), nowMs);
  }

  /**
   * Gives the adapter that was not used for longest, apart from the wanted one.
   * @param report - State of the engine.
   * @param wantedModel - Model of the wanted adapter.
   * @param wantedAdapter - Adapter that needs room.
   */
  getLeastRecent(report: EngineReport, wantedModel: string, wantedAdapter: string): HeldAdapter | undefined {
    let best: HeldAdapter | undefined;
    let bestUsedAtMs = Infinity;
    for (const { name, adapters } of report.heldModels) {
      for (const adapter of adapters) {
        const usedAtMs = this.usedAtMs.get(keyOf(name, adapter)) ?? 0;
        const isWanted = name === wantedModel && adapter === wantedAdapter;
        if (!isWanted && usedAtMs < bestUsedAtMs) {
          best = { model: name, adapter };
          bestUsedAtMs = usedAtMs;
        }
      }
    }
    return best;
  }
}

/**
 * Counts the adapters that an engine holds or is loading.
 * @param report - State of the engine.
 */
export function countAdapters(report: EngineReport): number {
  let count = report.comingAdapters.length;
  for (const { adapters } of report.heldModels) {
    count += adapters.length;
  }
  return count;
}

function keyOf(model: string, adapter: string): string {
  return `${model}/${adapter}`;
}
