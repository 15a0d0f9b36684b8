import type { ServerId, ServiceId } from '../../domain/index.js';
import { rankByHash } from '../../kernel/rendezvous.js';
import type { ServerEntry } from './ServerEntry.js';
import { ServerHolds } from './ServerHolds.js';
import { ServerRateLimits } from './ServerRateLimits.js';
import { ServerRetirements, type ServerIncarnation } from './ServerRetirements.js';

/**
 * Grace period after the store has recovered, in milliseconds. A server whose entry expired during the outage stays in
 * use until then; a running server is listed again within about two seconds.
 */
const EXPIRY_GRACE_MS = 2_000;
/**
 * Time after which a server counts as running because a reachable store still lists it, in milliseconds; the platform
 * removes silent servers sooner, after three heartbeats.
 */
const LISTED_ALIVE_AFTER_MS = 8_000;

/**
 * Backend servers that a router knows from the platform's list, and which of them accept new requests: not those that
 * are leaving, asked for a pause, or were removed and are shown only by the list of a restored store.
 */
export class ServerDirectory {
  private readonly entries = new Map<ServerId, ServerEntry>();
  /** End of the grace period of each server whose list entry expired around an outage of the store. */
  private readonly graceEndsAtMsByServer = new Map<ServerId, number>();
  private readonly retirements = new ServerRetirements();
  private readonly holds = new ServerHolds();
  private readonly rateLimits = new ServerRateLimits();
  /** Servers that only the list of a restored store shows although they were removed before, and since when. */
  private readonly unconfirmedSinceMs = new Map<ServerId, number>();
  /** Cached ranks of the servers; undefined after the list has changed. */
  private ranks: Map<string, number> | undefined;
  /** Numbers of staying servers by service, computed with the ranks. */
  private readonly stayingCounts = new Map<ServiceId, number>();
  private currentChangeCount = 0;
  private hasServerList = false;
  private storeUnavailableSinceMs: number | undefined;
  private storeRecoveredAtMs = -Infinity;

  /** Number of changes of the servers, of those that stay or of their services so far. */
  get changeCount(): number {
    return this.currentChangeCount;
  }

  /** Whether a complete list was applied. */
  get hasList(): boolean {
    return this.hasServerList;
  }

  /**
   * Applies a complete list of servers.
   * @param entries - All servers that the platform lists.
   * @param nowMs - Current time.
   */
  applyList(entries: readonly ServerEntry[], nowMs: number): void {
    this.hasServerList = true;
    const listedIds = new Set<ServerId>();
    for (const entry of entries) {
      listedIds.add(entry.serverId);
      this.storeEntry(entry);
    }
    for (const serverId of [...this.entries.keys()]) {
      if (!listedIds.has(serverId)) {
        this.removeEntry(serverId, nowMs);
      }
    }
  }

  /**
   * Applies the complete list of a store that was restored from a copy. The copy may lack the newest changes, so servers
   * that are known to be leaving stay so, servers that were removed are used only after a sign of life, and servers
   * that are missing stay in use for the grace period, in which running ones are listed again.
   * @param entries - All servers that the platform lists.
   * @param nowMs - Current time.
   */
  applyRestoredList(entries: readonly ServerEntry[], nowMs: number): void {
    this.storeRecoveredAtMs = nowMs;
    const listed: ServerEntry[] = [];
    for (const entry of entries) {
      const current = this.entries.get(entry.serverId);
      if (current?.isLeaving === true) {
        this.retirements.recordLeaving(current);
      }
      if (!current && this.retirements.isGone(entry)) {
        this.unconfirmedSinceMs.set(entry.serverId, nowMs);
      }
      listed.push(current && current.bornAtMs > entry.bornAtMs ? current : entry);
    }
    this.applyList(listed, nowMs);
  }

  /**
   * Adds or updates a server that has changed its entry.
   * @param entry - Entry of the server.
   */
  applyEntry(entry: ServerEntry): void {
    this.unconfirmedSinceMs.delete(entry.serverId);
    this.storeEntry(entry);
  }

  /**
   * Records that a server has stated that it is leaving; returns false if that was known.
   * @param server - Incarnation of the server.
   */
  recordLeaving(server: ServerIncarnation): boolean {
    const isNew = this.retirements.recordLeaving(server);
    if (isNew) {
      this.markChanged();
    }
    return isNew;
  }

  /**
   * Records that a server wants no requests from this router for a time.
   * @param serverId - The server.
   * @param forMs - The time, in milliseconds.
   * @param nowMs - Current time.
   */
  holdServer(serverId: ServerId, forMs: number, nowMs: number): void {
    this.holds.hold(serverId, forMs, nowMs);
  }

  /**
   * Records the limit that a server names for its requests; returns whether that is a change.
   * @param serverId - The server.
   * @param maxRequestsPerSecond - Number of requests per second from all routers together; infinite if it names no limit.
   */
  recordRateLimit(serverId: ServerId, maxRequestsPerSecond: number): boolean {
    return this.rateLimits.record(serverId, maxRequestsPerSecond);
  }

  /**
   * Returns the limit that a server names, in requests per second; undefined if it names none.
   * @param serverId - The server.
   */
  getRateLimit(serverId: ServerId): number | undefined {
    return this.rateLimits.get(serverId);
  }

  /**
   * Removes a server that is no longer listed, or starts its grace period around an outage of the store.
   * @param serverId - The server.
   * @param nowMs - Current time.
   */
  removeEntry(serverId: ServerId, nowMs: number): void {
    const entry = this.entries.get(serverId);
    if (!entry) {
      return;
    }
    const graceEndsAtMs = this.storeRecoveredAtMs + EXPIRY_GRACE_MS;
    if (nowMs >= graceEndsAtMs || entry.isLeaving) {
      this.deleteEntry(entry);
      return;
    }
    if (!this.graceEndsAtMsByServer.has(serverId)) {
      this.graceEndsAtMsByServer.set(serverId, graceEndsAtMs);
    }
  }

  /** Marks the store as not responding. */
  markStoreUnavailable(nowMs: number): void {
    this.storeUnavailableSinceMs ??= nowMs;
  }

  /** Marks the store as responding. */
  markStoreAvailable(nowMs: number): void {
    if (this.storeUnavailableSinceMs !== undefined) {
      this.storeUnavailableSinceMs = undefined;
      this.storeRecoveredAtMs = nowMs;
    }
  }

  /**
   * Removes servers whose grace period is over and returns their ids; accepts restored servers that stay listed.
   * @param nowMs - Current time.
   */
  expire(nowMs: number): ServerId[] {
    this.confirmStillListed(nowMs);
    const removedIds: ServerId[] = [];
    for (const [serverId, untilMs] of this.graceEndsAtMsByServer) {
      if (nowMs >= untilMs) {
        const entry = this.entries.get(serverId);
        if (entry) {
          this.deleteEntry(entry);
        }
        removedIds.push(serverId);
      }
    }
    return removedIds;
  }

  /** Returns the entries of all servers. */
  getEntries(): IterableIterator<ServerEntry> {
    return this.entries.values();
  }

  /**
   * Returns the entry of a server.
   * @param serverId - The server.
   */
  getEntry(serverId: ServerId): ServerEntry | undefined {
    return this.entries.get(serverId);
  }

  /**
   * Whether new requests may be sent to a server.
   * @param entry - Entry of the server, which may no longer be listed.
   * @param nowMs - Current time.
   */
  acceptsRequests(entry: ServerEntry, nowMs: number): boolean {
    return (
      this.entries.get(entry.serverId)?.bornAtMs === entry.bornAtMs &&
      this.isStaying(entry) &&
      this.holds.getRemainingMs(entry.serverId, nowMs) === 0
    );
  }

  /**
   * Returns the remaining time for which a staying server wants no requests, in milliseconds.
   * @param entry - Entry of the server.
   * @param nowMs - Current time.
   */
  getHoldMs(entry: ServerEntry, nowMs: number): number {
    return this.isStaying(entry) ? this.holds.getRemainingMs(entry.serverId, nowMs) : 0;
  }

  /**
   * Returns the number of servers of a service that stay, at least 1.
   * @param serviceId - The service.
   */
  getStayingCount(serviceId: ServiceId): number {
    this.ranks ??= this.computeRanks();
    return Math.max(1, this.stayingCounts.get(serviceId) ?? 0);
  }

  /**
   * Returns the rank of a server among those of its service that stay.
   * @param serverId - The server.
   */
  getRank(serverId: ServerId): number {
    this.ranks ??= this.computeRanks();
    return this.ranks.get(serverId) ?? 0;
  }

  /**
   * Records a sign of life of a server: a report of the agent beside it.
   * @param address - Host and port of the server.
   * @param bornAtMs - Start time of the server's process, in milliseconds since the epoch.
   */
  confirm(address: string, bornAtMs: number): void {
    for (const serverId of this.unconfirmedSinceMs.keys()) {
      const entry = this.entries.get(serverId);
      if (entry?.address === address && entry.bornAtMs === bornAtMs) {
        this.unconfirmedSinceMs.delete(serverId);
        this.markChanged();
      }
    }
  }

  /**
   * Whether a listed server is neither leaving nor waiting for a sign of life.
   * @param entry - Entry of the server.
   */
  isStaying(entry: ServerEntry): boolean {
    return (
      !entry.isLeaving && !this.unconfirmedSinceMs.has(entry.serverId) && !this.retirements.isLeaving(entry)
    );
  }

  /** Discards what was computed from the servers. */
  protected markChanged(): void {
    this.ranks = undefined;
    this.currentChangeCount++;
  }

  private confirmStillListed(nowMs: number): void {
    if (this.storeUnavailableSinceMs !== undefined) {
      return;
    }
    for (const [serverId, sinceMs] of this.unconfirmedSinceMs) {
      if (nowMs - Math.max(sinceMs, this.storeRecoveredAtMs) >= LISTED_ALIVE_AFTER_MS) {
        this.unconfirmedSinceMs.delete(serverId);
        this.markChanged();
      }
    }
  }

  private storeEntry(entry: ServerEntry): void {
    if (!this.retirements.isGone(entry)) {
      this.unconfirmedSinceMs.delete(entry.serverId);
    }
    this.graceEndsAtMsByServer.delete(entry.serverId);
    this.entries.set(entry.serverId, entry);
    this.markChanged();
  }

  private deleteEntry(entry: ServerEntry): void {
    const { serverId } = entry;
    this.entries.delete(serverId);
    this.graceEndsAtMsByServer.delete(serverId);
    this.unconfirmedSinceMs.delete(serverId);
    this.retirements.recordGone(entry);
    if (entry.isLeaving) {
      this.retirements.recordLeaving(entry);
    }
    this.markChanged();
  }

  private computeRanks(): Map<string, number> {
    const ranks = new Map<string, number>();
    const entriesByService = new Map<ServiceId, { id: string; dataCentre: string }[]>();
    for (const entry of this.entries.values()) {
      const { serviceId, serverId, dataCentre } = entry;
      if (this.isStaying(entry)) {
        const entries = entriesByService.get(serviceId) ?? [];
        entries.push({ id: serverId, dataCentre });
        entriesByService.set(serviceId, entries);
      }
    }
    this.stayingCounts.clear();
    for (const [serviceId, entries] of entriesByService) {
      this.stayingCounts.set(serviceId, entries.length);
      for (const [serverId, rank] of rankByHash(entries)) {
        ranks.set(serverId, rank);
      }
    }
    return ranks;
  }
}
