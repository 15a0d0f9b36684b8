import type { KnownServer } from './FleetView.js';

/** Numbers of the models that are loaded on the servers of a service, by use. */
export interface PlaceCounts {
  /** Models with interactive use. */
  readonly protectedCount: number;
  /** Those of them that one other server at least holds too. */
  readonly replicatedCount: number;
  /** Models without interactive use that run requests. */
  readonly batchCount: number;
  /** Models that can be evicted at once. */
  readonly idleCount: number;
  /** Servers that load a model or carry out another order. */
  readonly busyCount: number;
}

/**
 * Counts the loaded models by use, which shows why a model gets no place.
 * @param servers - Servers of one service.
 */
export function countPlaces(servers: readonly KnownServer[]): PlaceCounts {
  const protectedCounts = new Map<string, number>();
  let batchCount = 0;
  let idleCount = 0;
  let busyCount = 0;
  for (const { report } of servers) {
    busyCount += Number(report?.isBusy === true);
    for (const [model, use] of Object.entries(report?.uses ?? {})) {
      if (use.isProtected) {
        protectedCounts.set(model, (protectedCounts.get(model) ?? 0) + 1);
      } else if (use.runningCount > 0) {
        batchCount++;
      } else {
        idleCount++;
      }
    }
  }
  let protectedCount = 0;
  let replicatedCount = 0;
  for (const count of protectedCounts.values()) {
    protectedCount += count;
    replicatedCount += count > 1 ? count : 0;
  }
  return { protectedCount, replicatedCount, batchCount, idleCount, busyCount };
}
