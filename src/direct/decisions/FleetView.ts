import type { ServerId, ServiceId } from '../../domain/index.js';
import { rankPlaces } from './rendezvous.js';
import { RouteTable } from './RouteTable.js';
import type { AgentReport, HeldModel, ServerEntry } from './ServerEntry.js';
import type { ServingConfiguration } from './ServingConfiguration.js';

/**
 * Time after the store's return for which a server that lapsed meanwhile stays in use, in milliseconds; a server that
 * lives is listed again within about two seconds.
 */
const LAPSE_GRACE_MS = 2_000;
/** Time after which an agent's report no longer counts, in milliseconds; agents report four times in it. */
const REPORT_LIFETIME_MS = 2_500;
/** Time for which a server that refused a model is taken not to hold it, in milliseconds; a report comes before. */
const REFUSAL_LIFETIME_MS = 400;

/** A backend server with what is known of it from all sources. */
export interface KnownServer {
  readonly entry: ServerEntry;
  /** Place among the servers of its service, the same for all routers; live work goes to the first ones. */
  readonly rank: number;
  /** Models that it holds: its agent's word goes before the platform's list, which lags. */
  readonly heldModels: readonly HeldModel[];
  /** Latest report of its agent, while it is current. */
  readonly report: AgentReport | undefined;
  /** When the report came. */
  readonly reportedAtMs: number;
}

/** Everything a router knows of the fleet: the configuration and the backend servers. */
export class FleetView {
  private readonly servers = new Map<ServerId, ServerEntry>();
  private readonly reports = new Map<string, { report: AgentReport; atMs: number }>();
  /** Servers that lapsed around an outage, and when they are given up. */
  private readonly lapsedUntilMs = new Map<ServerId, number>();
  /** Until when a server is taken not to hold a model, by server and model. */
  private readonly refusedUntilMs = new Map<string, number>();
  /** Ranks of servers, computed again after the list changed. */
  private ranks: Map<string, number> | undefined;
  private current: ServingConfiguration | undefined;
  private table = new RouteTable([]);
  private hasListed = false;
  private storeLostAtMs: number | undefined;
  private storeBackAtMs = -Infinity;

  /** Newest configuration. */
  get configuration(): ServingConfiguration | undefined {
    return this.current;
  }

  /** Routes of the newest configuration. */
  get routeTable(): RouteTable {
    return this.table;
  }

  /** Whether requests can be routed. */
  get isComplete(): boolean {
    return this.current !== undefined && this.hasListed;
  }

  /**
   * Takes a configuration unless a newer one is held; true when it came into force.
   * @param configuration - The configuration.
   */
  applyConfiguration(configuration: ServingConfiguration): boolean {
    if (this.current && configuration.version <= this.current.version) {
      return false;
    }
    this.current = configuration;
    this.table = new RouteTable(configuration.routes);
    return true;
  }

  /**
   * Takes a whole list of servers.
   * @param entries - All servers that the platform lists.
   * @param nowMs - Time now.
   */
  applyList(entries: readonly ServerEntry[], nowMs: number): void {
    this.hasListed = true;
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

  /** @param entry - Server that appeared or changed. */
  applyEntry(entry: ServerEntry): void {
    this.lapsedUntilMs.delete(entry.serverId);
    this.servers.set(entry.serverId, entry);
    this.ranks = undefined;
  }

  /**
   * Takes the news that a server is no longer listed.
   * @param serverId - The server.
   * @param nowMs - Time now.
   */
  removeEntry(serverId: ServerId, nowMs: number): void {
    const entry = this.servers.get(serverId);
    if (!entry) {
      return;
    }
    const graceEndsAtMs = this.storeBackAtMs + LAPSE_GRACE_MS;
    if (nowMs >= graceEndsAtMs || entry.isLeaving) {
      this.servers.delete(serverId);
      this.ranks = undefined;
      this.lapsedUntilMs.delete(serverId);
      return;
    }
    if (!this.lapsedUntilMs.has(serverId)) {
      this.lapsedUntilMs.set(serverId, graceEndsAtMs);
    }
  }

  /** Notes that the store does not answer. */
  markStoreUnavailable(nowMs: number): void {
    this.storeLostAtMs ??= nowMs;
  }

  /** Notes that the store answers. */
  markStoreAvailable(nowMs: number): void {
    if (this.storeLostAtMs !== undefined) {
      this.storeLostAtMs = undefined;
      this.storeBackAtMs = nowMs;
    }
  }

  /**
   * Gives up lapsed servers whose time is over.
   * @param nowMs - Time now.
   */
  expire(nowMs: number): ServerId[] {
    const gone: ServerId[] = [];
    for (const [serverId, untilMs] of this.lapsedUntilMs) {
      if (nowMs >= untilMs) {
        this.lapsedUntilMs.delete(serverId);
        this.servers.delete(serverId);
        this.ranks = undefined;
        gone.push(serverId);
      }
    }
    return gone;
  }

  /**
   * Takes a report of an agent.
   * @param report - The report.
   * @param nowMs - Time now.
   */
  applyReport(report: AgentReport, nowMs: number): void {
    this.reports.set(report.address, { report, atMs: nowMs });
  }

  /**
   * Notes that a server refused a request since it does not hold the model.
   * @param serverId - The server.
   * @param model - The model.
   * @param nowMs - Time now.
   */
  recordModelRefusal(serverId: ServerId, model: string, nowMs: number): void {
    this.refusedUntilMs.set(`${serverId}|${model}`, nowMs + REFUSAL_LIFETIME_MS);
  }

  /** @param address - Engine whose agent is no longer connected. */
  dropReport(address: string): void {
    this.reports.delete(address);
  }

  /**
   * Lists the servers of a service that take new work.
   * @param serviceId - The service.
   * @param nowMs - Time now.
   */
  *getReadyServers(serviceId: ServiceId, nowMs: number): IterableIterator<KnownServer> {
    for (const entry of this.servers.values()) {
      if (entry.serviceId === serviceId && !entry.isLeaving) {
        yield this.describe(entry, nowMs);
      }
    }
  }

  /** All listed servers. */
  getEntries(): IterableIterator<ServerEntry> {
    return this.servers.values();
  }

  /** @param serverId - Server to look for. */
  getEntry(serverId: ServerId): ServerEntry | undefined {
    return this.servers.get(serverId);
  }

  /** Routers that the agents see; at least this one. */
  get routerCount(): number {
    let count = 1;
    for (const { report } of this.reports.values()) {
      count = Math.max(count, report.routerCount);
    }
    return count;
  }

  /**
   * Largest number of crashes that any agent was told of.
   * @param fingerprint - Fingerprint of a request.
   */
  getCrashCount(fingerprint: string): number {
    let count = 0;
    for (const { report } of this.reports.values()) {
      count = Math.max(count, report.crashCounts[fingerprint] ?? 0);
    }
    return count;
  }

  private describe(entry: ServerEntry, nowMs: number): KnownServer {
    const latest = this.reports.get(entry.address);
    const isCurrent =
      latest !== undefined &&
      nowMs - latest.atMs < REPORT_LIFETIME_MS &&
      latest.report.bornAtMs >= entry.bornAtMs;
    const report = isCurrent ? latest.report : undefined;
    const heldModels = this.withoutRefused(entry.serverId, report?.heldModels ?? entry.heldModels, nowMs);
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
        for (const [serverId, rank] of rankPlaces(entries)) {
          this.ranks.set(serverId, rank);
        }
      }
    }
    return this.ranks;
  }

  private withoutRefused(
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
 * Finds a model on a server.
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
