import murmurhash from 'murmurhash';
import type { InstanceEntry, RouterId } from '../../domain/index.js';
import { toRouterId } from '../../domain/index.js';

/** Time for which a router that could not be reached is passed over, in milliseconds. */
const SUSPECT_MS = 3_000;

/** Says which instances there are and which router is the home of what. */
export class Membership {
  private instances = new Map<string, InstanceEntry>();
  private listRevision = 0;
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
  suspect(routerId: string, nowMs: number): void {
    this.suspectUntilMs.set(routerId, nowMs + SUSPECT_MS);
  }

  /**
   * Gives the routers for a key, its home first.
   *
   * Rendezvous hashing after Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
   * @param key - What is looked for.
   * @param nowMs - Time now.
   */
  homesOf(key: string, nowMs: number): RouterId[] {
    const reachable = this.getRouterIds().filter((id) => (this.suspectUntilMs.get(id) ?? 0) <= nowMs);
    const routerIds =
      this.isSelfLeaving && reachable.length > 1 ? reachable.filter((id) => id !== this.selfId) : reachable;
    return rankByHash(key, routerIds);
  }

  /**
   * Whether this router is the home of a key.
   * @param key - What is looked for.
   * @param nowMs - Time now.
   */
  isHomeOf(key: string, nowMs: number): boolean {
    return this.homesOf(key, nowMs)[0] === this.selfId;
  }
}

/**
 * Ranks ids for a key by rendezvous hashing.
 * @param key - The key.
 * @param ids - The ids.
 */
export function rankByHash<T extends string>(key: string, ids: readonly T[]): T[] {
  const weighed = ids.map((id) => ({ id, weight: murmurhash.v3(`${key}|${id}`) }));
  weighed.sort((left, right) => right.weight - left.weight || (left.id < right.id ? -1 : 1));
  return weighed.map((entry) => entry.id);
}
