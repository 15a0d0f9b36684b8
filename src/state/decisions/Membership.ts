import murmurhash from 'murmurhash';
import type { InstanceEntry, RouterId } from '../../domain/index.js';
import { toRouterId } from '../../domain/index.js';

/** Time for which an unreachable router is excluded from ownership, in milliseconds. */
const SUSPECT_MS = 3_000;

/** Routers cached per key: its owner and the fallbacks. */
const MAX_RANKED_ROUTERS = 8;

/** Tracks the instances of the fleet and determines the owner router of each key. */
export class Membership {
  private instances = new Map<string, InstanceEntry>();
  private listRevision = 0;
  /** Ranked routers of each key that was queried since the last change of the list. */
  private readonly rankedByKey = new Map<string, RouterId[]>();
  private readonly suspectUntilMs = new Map<string, number>();
  private readonly listeners: (() => void)[] = [];

  /** @param selfId - Id of this router, which counts as live even when it is not listed. */
  constructor(private readonly selfId: RouterId) {}

  /** Revision of the last applied list. */
  get revision(): number {
    return this.listRevision;
  }

  /** @param listener - Called after each applied list. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Applies the platform's instance list.
   * @param instances - All instances.
   * @param revision - Revision of the list.
   */
  applyList(instances: readonly InstanceEntry[], revision: number): void {
    this.instances = new Map(instances.map((instance) => [instance.id, instance]));
    this.listRevision = revision;
    this.rankedByKey.clear();
    for (const listener of this.listeners) {
      listener();
    }
  }

  /** @param id - Id of the instance. */
  get(id: string): InstanceEntry | undefined {
    return this.instances.get(id);
  }

  /** Returns all listed instances. */
  getAll(): InstanceEntry[] {
    return [...this.instances.values()];
  }

  /** @param pool - Pool whose agents are returned. */
  getPoolAgents(pool: string): InstanceEntry[] {
    return [...this.instances.values()].filter(
      (instance) => instance.role === 'agent' && instance.pool === pool,
    );
  }

  /** Returns the live routers; this one comes first. */
  getRouterIds(): RouterId[] {
    const ids = [this.selfId];
    for (const instance of this.instances.values()) {
      if (instance.role === 'router' && instance.state === 'live' && instance.id !== this.selfId) {
        ids.push(toRouterId(instance.id));
      }
    }
    return ids;
  }

  /** Whether the platform lists this router as leaving. */
  get isSelfLeaving(): boolean {
    return this.instances.get(this.selfId)?.state === 'leaving';
  }

  /**
   * Marks a router as suspected unreachable.
   * @param routerId - Id of the router.
   * @param nowMs - Current time.
   */
  markSuspect(routerId: string, nowMs: number): void {
    this.suspectUntilMs.set(routerId, nowMs + SUSPECT_MS);
  }

  /**
   * Returns the routers for a key, its owner first; suspected ones are excluded unless all are.
   *
   * Rendezvous hashing after Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
   * @param key - Key to find the owner of, such as a model id or a claim shard.
   * @param nowMs - Current time.
   */
  rankOwners(key: string, nowMs: number): RouterId[] {
    const ranked = this.rank(key);
    const reachable = ranked.filter((id) => (this.suspectUntilMs.get(id) ?? 0) <= nowMs);
    return reachable.length > 0 ? reachable : ranked;
  }

  private rank(key: string): RouterId[] {
    const cached = this.rankedByKey.get(key);
    if (cached) {
      return cached;
    }
    const candidates = this.isSelfLeaving ? this.getRouterIds().slice(1) : this.getRouterIds();
    const ranked = rankByHash(key, candidates.length > 0 ? candidates : [this.selfId]).slice(
      0,
      MAX_RANKED_ROUTERS,
    );
    this.rankedByKey.set(key, ranked);
    return ranked;
  }

  /**
   * Whether this router owns a key.
   * @param key - Key to check.
   * @param nowMs - Current time.
   */
  isOwnerOf(key: string, nowMs: number): boolean {
    return this.rankOwners(key, nowMs)[0] === this.selfId;
  }
}

/**
 * Ranks ids for a key by rendezvous hashing, highest weight first.
 * @param key - Key to rank for.
 * @param ids - Ids to rank.
 */
export function rankByHash<T extends string>(key: string, ids: readonly T[]): T[] {
  const seed = murmurhash.v3(key);
  const weighted = ids.map((id) => ({ id, weight: murmurhash.v3(id, seed) }));
  weighted.sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1));
  return weighted.map((entry) => entry.id);
}
