import type { KnownServer } from './FleetView.js';

/** Mean load of a model's servers, as a fraction of their slots, from which another replica is loaded. */
export const MAX_REPLICA_LOAD = 0.45;

/** Minimum replicas of a model in interactive use, so that it stays available when one server is lost. */
export const MIN_INTERACTIVE_REPLICAS = 2;

/**
 * Returns the number of holders, from the first on, that carry the requests of all holders on a model.
 * @param model - Name of the model.
 * @param holders - Servers that hold it.
 */
export function getRequiredCount(model: string, holders: readonly KnownServer[]): number {
  let modelLoad = 0;
  for (const { report, entry } of holders) {
    modelLoad += (report?.uses[model]?.runningCount ?? 0) / Math.max(1, entry.slotCount);
  }
  let totalLoad = 0;
  for (const [index, { report, entry }] of holders.entries()) {
    const count = index + 1;
    totalLoad += (report?.runningCount ?? 0) / Math.max(1, entry.slotCount);
    modelLoad -= (report?.uses[model]?.runningCount ?? 0) / Math.max(1, entry.slotCount);
    if ((totalLoad + modelLoad) / count < MAX_REPLICA_LOAD) {
      return count;
    }
  }
  return holders.length;
}
