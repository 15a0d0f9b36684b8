import murmurhash from 'murmurhash';
import type { InstanceEntry, RouterId } from '../../domain/index.js';
import { toRouterId } from '../../domain/index.js';

/** Time for which a router that could not be reached is passed over, in milliseconds. */
const SUSPECT_MS = 3_000;

/** Routers that are kept for a key: its home and those that stand in for it. */
const RANKED_COUNT = 8;

/** Says which instances there are and which router is the home of what. */
export class Membership {
  private instances = new Map<string, InstanceEntry>();
  private listRevision = 0;
  /** Best routers of each key asked for since the list last changed. */
  private readonly rankedByKey = new Map<string, RouterId[]>();
  private readonly suspectUntilMs = new Map<string, number>();
  private readonly listeners: (() => void)[] = [];

  /** @param selfId - This router; always a member of its own view. */
  constructor(private readonly selfId: RouterId) {}

  /** Revision of the list last taken. */
  get revision(): number {
    return this.listRevision;
  }

  /** @param listener - Called after each change. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Takes the platform's list.
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

  /** @param id - Instance to look for. */
  get(id: string): InstanceEntry | undefined {
    return this.instances.get(id);
  }

  /** All instances in the list. */
  getAll(): InstanceEntry[] {
    return [...this.instances.values()];
  }

  /** @param pool - Pool of backend servers. */
  getPool(pool: string): InstanceEntry[] {
    return [...this.instances.values()].filter(
      (instance) => instance.role === 'agent' && instance.pool === pool,
    );
  }

  /** Live routers, this one included. */
  getRouterIds(): RouterId[] {
    const ids = [this.selfId];
    for (const instance of this.instances.values()) {
      if (instance.role === 'router' && instance.state === 'live' && instance.id !== this.selfId) {
        ids.push(toRouterId(instance.id));
      }
    }
    return ids;
  }

  /** Whether the platform lists this very router as leaving. */
  get isSelfLeaving(): boolean {
    return this.instances.get(this.selfId)?.state === 'leaving';
  }

  /**
   * Notes that a router could not be reached.
   * @param routerId - The router.
   * @param nowMs - Time now.
   */
  markSuspect(routerId: string, nowMs: number): void {
    this.suspectUntilMs.set(routerId, nowMs + SUSPECT_MS);
  }

  /**
   * Gives the routers for a key, its home first.
   *
   * Rendezvous hashing after Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
   * @param key - What is looked for.
   * @param nowMs - Time now.
   */
  rankOwners(key: string, nowMs: number): RouterId[] {
    const ranked = this.rank(key);
    const reachable = ranked.filter((id) => (this.suspectUntilMs.get(id) ?? 0) <= nowMs);
    return reachable.length > 0 ? reachable : ranked;
  }

  private rank(key: string): RouterId[] {
    const known = this.rankedByKey.get(key);
    if (known) {
      return known;
    }
    const others = this.isSelfLeaving ? this.getRouterIds().slice(1) : this.getRouterIds();
    const ranked = rankByHash(key, others.length > 0 ? others : [this.selfId]).slice(0, RANKED_COUNT);
    this.rankedByKey.set(key, ranked);
    return ranked;
  }

  /**
   * Whether this router is the home of a key.
   * @param key - What is looked for.
   * @param nowMs - Time now.
   */
  isOwnerOf(key: string, nowMs: number): boolean {
    return this.rankOwners(key, nowMs)[0] === this.selfId;
  }
}

/**
 * Ranks ids for a key by rendezvous hashing.
 * @param key - The key.
 * @param ids - The ids.
 */
export function rankByHash<T extends string>(key: string, ids: readonly T[]): T[] {
  const seed = murmurhash.v3(key);
  const weighed = ids.map((id) => ({ id, weight: murmurhash.v3(id, seed) }));
  weighed.sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1));
  return weighed.map((entry) => entry.id);
}
