import type { KnownServer } from './FleetView.js';
import { hashToFraction } from './rendezvous.js';

/** Mean load of a model's servers, as a fraction of their slots, from which another replica is loaded. */
export const MAX_REPLICA_LOAD = 0.45;

/** Minimum replicas of a model in interactive use, so that it stays available when one server is lost. */
export const MIN_INTERACTIVE_REPLICAS = 2;

/** Models in interactive use that each server may evict, by its address. */
export type SurplusReplicas = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Returns the models that each server may evict although they are in interactive use, by address: their other replicas
 * carry the load without it.
 *
 * All routers get the same result from the same reports, so that routers which evict at the same time leave enough. Each
 * server keeps as few models as possible: one that kept all of its models could load no other.
 * @param servers - Servers of one service that accept new requests.
 */
export function findSurplusReplicas(servers: readonly KnownServer[]): SurplusReplicas {
  const holdersByModel = new Map<string, KnownServer[]>();
  for (const server of servers) {
    for (const [model, { isProtected }] of Object.entries(server.report?.uses ?? {})) {
      if (isProtected) {
        holdersByModel.set(model, [...(holdersByModel.get(model) ?? []), server]);
      }
    }
  }
  const surplusByAddress = new Map<string, Set<string>>();
  const keptCounts = new Map<KnownServer, number>();
  const models = [...holdersByModel].sort(
    ([left, leftHolders], [right, rightHolders]) =>
      leftHolders.length - rightHolders.length || (left < right ? -1 : 1),
  );
  for (const [model, holders] of models) {
    const order = (server: KnownServer) =>
      (keptCounts.get(server) ?? 0) + hashToFraction(model, server.entry.serverId);
    holders.sort((left, right) => order(left) - order(right));
    const requiredCount = Math.max(MIN_INTERACTIVE_REPLICAS, getRequiredCount(model, holders));
    for (const server of holders.slice(0, requiredCount)) {
      keptCounts.set(server, (keptCounts.get(server) ?? 0) + 1);
    }
    for (const { entry } of holders.slice(requiredCount)) {
      const surplusModels = surplusByAddress.get(entry.address) ?? new Set();
      surplusByAddress.set(entry.address, surplusModels.add(model));
    }
  }
  return surplusByAddress;
}

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
