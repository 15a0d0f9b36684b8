import type { ServerId, ServiceId } from '../../domain/index.js';
import { rankByHash } from './rendezvous.js';
import { RouteTable } from './RouteTable.js';
import type { AgentReport, HeldModel, ServerEntry } from './ServerEntry.js';
import type { ServingConfiguration } from './ServingConfiguration.js';

/**
 * Grace period after the store has recovered, in milliseconds. A server whose entry expired during the outage stays in
 * use until then; a running server is listed again within about two seconds.
 */
const EXPIRY_GRACE_MS = 2_000;
/** Time after which an agent's report is outdated, in milliseconds; an agent sends four reports in this time. */
const REPORT_LIFETIME_MS = 2_500;
/** Time for which a model refused by a server counts as not loaded, in milliseconds; a new report arrives sooner. */
const REFUSAL_LIFETIME_MS = 400;

/** Backend server with the combined information from its list entry and the reports of its agent. */
export interface KnownServer {
  readonly entry: ServerEntry;
  /** Rank among the servers of its service, the same on all routers; interactive requests prefer low ranks. */
  readonly rank: number;
  /** Models loaded on the server; its agent's report takes precedence over the platform's list, which lags. */
  readonly heldModels: readonly HeldModel[];
  /** Latest report of its agent; undefined when it is outdated. */
  readonly report: AgentReport | undefined;
  /** When the latest report was received. */
  readonly reportedAtMs: number;
}

/** A router's view of the fleet: the configuration and the backend servers. */
export class FleetView {
  private readonly servers = new Map<ServerId, ServerEntry>();
  private readonly reports = new Map<string, { report: AgentReport; atMs: number }>();
  /** End of the grace period of each server whose list entry expired around an outage of the store. */
  private readonly graceEndsAtMsByServer = new Map<ServerId, number>();
  /** Time until which a model counts as not loaded on a server, by server and model. */
  private readonly refusedUntilMs = new Map<string, number>();
  /** Cached ranks of the servers; undefined after the list has changed. */
  private ranks: Map<string, number> | undefined;
  private currentConfiguration: ServingConfiguration | undefined;
  private currentRouteTable = new RouteTable([]);
  private hasServerList = false;
  private storeUnavailableSinceMs: number | undefined;
  private storeRecoveredAtMs = -Infinity;

  /** Newest configuration that was applied. */
  get configuration(): ServingConfiguration | undefined {
    return this.currentConfiguration;
  }

  /** Routes of the newest configuration. */
  get routeTable(): RouteTable {
    return this.currentRouteTable;
  }

  /** Whether both a configuration and a server list are known, so that requests can be routed. */
  get isComplete(): boolean {
    return this.currentConfiguration !== undefined && this.hasServerList;
  }

  /**
   * Applies a configuration and returns true, unless the current one is as new or newer.
   * @param configuration - The configuration.
   */
  applyConfiguration(configuration: ServingConfiguration): boolean {
    if (this.currentConfiguration && configuration.version <= this.currentConfiguration.version) {
      return false;
    }
    this.currentConfiguration = configuration;
    this.currentRouteTable = new RouteTable(configuration.routes);
    return true;
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
      this.applyEntry(entry);
    }
    for (const serverId of [...this.servers.keys()]) {
      if (!listedIds.has(serverId)) {
        this.removeEntry(serverId, nowMs);
      }
    }
  }

  /**
   * Adds or updates a server.
   * @param entry - Entry of the server.
   */
  applyEntry(entry: ServerEntry): void {
    this.graceEndsAtMsByServer.delete(entry.serverId);
    this.servers.set(entry.serverId, entry);
    this.ranks = undefined;
  }

  /**
   * Removes a server that is no longer listed, or starts its grace period around an outage of the store.
   * @param serverId - The server.
   * @param nowMs - Current time.
   */
  removeEntry(serverId: ServerId, nowMs: number): void {
    const entry = this.servers.get(serverId);
    if (!entry) {
      return;
    }
    const graceEndsAtMs = this.storeRecoveredAtMs + EXPIRY_GRACE_MS;
    if (nowMs >= graceEndsAtMs || entry.isLeaving) {
      this.servers.delete(serverId);
      this.ranks = undefined;
      this.graceEndsAtMsByServer.delete(serverId);
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
   * Removes servers whose grace period is over and returns their ids.
   * @param nowMs - Current time.
   */
  expire(nowMs: number): ServerId[] {
    const removedIds: ServerId[] = [];
    for (const [serverId, untilMs] of this.graceEndsAtMsByServer) {
      if (nowMs >= untilMs) {
        this.graceEndsAtMsByServer.delete(serverId);
        this.servers.delete(serverId);
        this.ranks = undefined;
        removedIds.push(serverId);
      }
    }
    return removedIds;
  }

  /**
   * Applies a report of an agent.
   * @param report - The report.
   * @param nowMs - Current time.
   */
  applyReport(report: AgentReport, nowMs: number): void {
    this.reports.set(report.address, { report, atMs: nowMs });
  }

  /**
   * Records that a server refused a request because the model is not loaded there.
   * @param serverId - The server.
   * @param model - The model.
   * @param nowMs - Current time.
   */
  recordModelRefusal(serverId: ServerId, model: string, nowMs: number): void {
    this.refusedUntilMs.set(`${serverId}|${model}`, nowMs + REFUSAL_LIFETIME_MS);
  }

  /**
   * Discards the report of an agent that is no longer connected.
   * @param address - Host and port of its engine.
   */
  discardReport(address: string): void {
    this.reports.delete(address);
  }

  /**
   * Returns the servers of a service that accept new requests.
   * @param serviceId - The service.
   * @param nowMs - Current time.
   */
  *getReadyServers(serviceId: ServiceId, nowMs: number): IterableIterator<KnownServer> {
    for (const entry of this.servers.values()) {
      if (entry.serviceId === serviceId && !entry.isLeaving) {
        yield this.toKnownServer(entry, nowMs);
      }
    }
  }

  /** Returns the entries of all servers. */
  getEntries(): IterableIterator<ServerEntry> {
    return this.servers.values();
  }

  /**
   * Returns the entry of a server.
   * @param serverId - The server.
   */
  getEntry(serverId: ServerId): ServerEntry | undefined {
    return this.servers.get(serverId);
  }

  /** Number of routers, as the largest number of connected routers that an agent reports; at least 1. */
  get routerCount(): number {
    let count = 1;
    for (const { report } of this.reports.values()) {
      count = Math.max(count, report.routerCount);
    }
    return count;
  }

  /**
   * Returns the largest number of crashes that any agent reports for a request.
   * @param fingerprint - Fingerprint of a request.
   */
  getCrashCount(fingerprint: string): number {
    let count = 0;
    for (const { report } of this.reports.values()) {
      count = Math.max(count, report.crashCounts[fingerprint] ?? 0);
    }
    return count;
  }

  private toKnownServer(entry: ServerEntry, nowMs: number): KnownServer {
    const latest = this.reports.get(entry.address);
    const isCurrent =
      latest !== undefined &&
      nowMs - latest.atMs < REPORT_LIFETIME_MS &&
      latest.report.bornAtMs >= entry.bornAtMs;
    const report = isCurrent ? latest.report : undefined;
    const heldModels = this.excludeRefusedModels(
      entry.serverId,
      report?.heldModels ?? entry.heldModels,
      nowMs,
    );
    const rank = this.getRanks().get(entry.serverId) ?? 0;
    return { entry, rank, heldModels, report, reportedAtMs: latest?.atMs ?? -Infinity };
  }

  private getRanks(): Map<string, number> {
    if (!this.ranks) {
      this.ranks = new Map();
      const entriesByService = new Map<ServiceId, { id: string; dataCentre: string }[]>();
      for (const { serviceId, serverId, dataCentre, isLeaving } of this.servers.values()) {
        if (!isLeaving) {
          const entries = entriesByService.get(serviceId) ?? [];
          entriesByService.set(serviceId, [...entries, { id: serverId, dataCentre }]);
        }
      }
      for (const entries of entriesByService.values()) {
        for (const [serverId, rank] of rankByHash(entries)) {
          this.ranks.set(serverId, rank);
        }
      }
    }
    return this.ranks;
  }

  private excludeRefusedModels(
    serverId: ServerId,
    heldModels: readonly HeldModel[],
    nowMs: number,
  ): readonly HeldModel[] {
    if (this.refusedUntilMs.size === 0) {
      return heldModels;
    }
    return heldModels.filter(({ name }) => {
      const key = `${serverId}|${name}`;
      const untilMs = this.refusedUntilMs.get(key);
      if (untilMs !== undefined && nowMs >= untilMs) {
        this.refusedUntilMs.delete(key);
        return true;
      }
      return untilMs === undefined;
    });
  }
}

/**
 * Returns a model that is loaded on a server; undefined when it is not.
 * @param server - The server.
 * @param model - Name of the model.
 */
export function getHeldModel(server: KnownServer, model: string): HeldModel | undefined {
  for (const held of server.heldModels) {
    if (held.name === model) {
      return held;
    }
  }
  return undefined;
}
