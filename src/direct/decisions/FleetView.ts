import { toServerId, type ServerId, type ServiceId } from '../../domain/index.js';
import type { ConfigurationKnowledge } from '../../organisations/index.js';
import { PaceEstimator, readModelPaces, type ServerPaces } from '../../pace/decisions/index.js';
import { RouterCounts } from '../../domain/RouterCounts.js';
import { RouteTable } from './RouteTable.js';
import { ServerDirectory } from './ServerDirectory.js';
import type { AgentReport, HeldModel, ServerEntry } from './ServerEntry.js';
import {
  getMaxInteractiveTargetsMs,
  MIN_INTERACTIVE_TARGET_MS,
  type ServingConfiguration,
} from './ServingConfiguration.js';

/** Time after which an agent's report is outdated, in milliseconds; an agent sends four reports in this time. */
const REPORT_LIFETIME_MS = 2_500;
/** Time for which a model refused by a server counts as not loaded, in milliseconds; a new report arrives sooner. */
const REFUSAL_LIFETIME_MS = 400;
/** Minimum time between two estimates of the servers' paces, in milliseconds. */
const MIN_PACE_INTERVAL_MS = 1_000;
/** Time between two estimates for each server with a known pace, in milliseconds: an estimate takes about 2 µs a server. */
const PACE_INTERVAL_PER_SERVER_MS = 1;

/** Backend server with the combined information from its list entry and the reports of its agent. */
export interface KnownServer {
  readonly entry: ServerEntry;
  /** Rank among the servers of its service, the same on all routers; interactive requests prefer low ranks. */
  readonly rank: number;
  /** The rank as a share of the number of those servers, from 0 up to, but not including, 1. */
  readonly rankShare: number;
  /** Models loaded on the server; its agent's report takes precedence over the platform's list, which lags. */
  readonly heldModels: readonly HeldModel[];
  /** Latest report of its agent; undefined when it is outdated. */
  readonly report: AgentReport | undefined;
  /** When the latest report was received, also if its agent is no longer connected; -Infinity if none ever was. */
  readonly reportedAtMs: number;
  /** Number of requests per second that the server accepts from all routers together; undefined without a limit. */
  readonly maxRequestsPerSecond: number | undefined;
  /** Version of the server's software; undefined if it is not known of the process that runs now. */
  readonly softwareVersion: string | undefined;
}

/** A router's view of the fleet: the configuration and the backend servers. */
export class FleetView extends ServerDirectory {
  /** How fast the servers are, by the reports of their agents. */
  readonly pace = new PaceEstimator();
  private paceUpdatedAtMs = -Infinity;
  private readonly reports = new Map<string, { report: AgentReport; atMs: number }>();
  /** Process and time of the latest report of each agent, including agents that are no longer connected. */
  private readonly lastReports = new Map<string, { readonly bornAtMs: number; readonly atMs: number }>();
  /** Addresses of the agents whose reports contain crashed requests. */
  private readonly crashReporters = new Set<string>();
  private readonly routerCounts = new RouterCounts();
  /** Time until which a model counts as not loaded on a server, by server and model. */
  private readonly refusedUntilMs = new Map<string, number>();
  private currentConfiguration: ServingConfiguration | undefined;
  private currentRouteTable = new RouteTable([]);
  private maxInteractiveTargetsMs = new Map<ServiceId, number>();
  private confirmedAtMs = -Infinity;
  private reportedVersion = -Infinity;

  /** Newest configuration that was applied. */
  get configuration(): ServingConfiguration | undefined {
    return this.currentConfiguration;
  }

  /** What this router knows of the configuration that is in force; undefined before the first one. */
  get configurationKnowledge(): ConfigurationKnowledge | undefined {
    const { currentConfiguration, confirmedAtMs, reportedVersion } = this;
    return currentConfiguration && { ...currentConfiguration, confirmedAtMs, reportedVersion };
  }

  /** Routes of the newest configuration. */
  get routeTable(): RouteTable {
    return this.currentRouteTable;
  }

  /** Whether both a configuration and a server list are known, so that requests can be routed. */
  get isComplete(): boolean {
    return this.currentConfiguration !== undefined && this.hasList;
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
    this.markChanged();
    this.currentRouteTable = new RouteTable(configuration.routes);
    this.maxInteractiveTargetsMs = getMaxInteractiveTargetsMs(configuration.routes);
    return true;
  }

  /**
   * Records that the store has just stated that there is no newer configuration than the applied one.
   * @param nowMs - Current time.
   */
  confirmConfiguration(nowMs: number): void {
    this.confirmedAtMs = nowMs;
  }

  /**
   * Returns the longest latency target of interactive requests to a service, in milliseconds.
   * @param serviceId - The service.
   */
  getMaxInteractiveTargetMs(serviceId: ServiceId): number {
    return this.maxInteractiveTargetsMs.get(serviceId) ?? MIN_INTERACTIVE_TARGET_MS;
  }

  /**
   * Applies a report of an agent.
   * @param report - The report.
   * @param nowMs - Current time.
   */
  applyReport(report: AgentReport, nowMs: number): void {
    const previous = this.reports.get(report.address)?.report;
    this.routerCounts.record(report.address, report.routerCount, nowMs);
    this.reportedVersion = Math.max(this.reportedVersion, report.configurationVersion ?? -Infinity);
    this.applyReportedLimit(previous, report);
    this.reports.set(report.address, { report, atMs: nowMs });
    this.lastReports.set(report.address, { bornAtMs: report.bornAtMs, atMs: nowMs });
    this.crashReporters[Object.keys(report.crashCounts).length > 0 ? 'add' : 'delete'](report.address);
    this.applyLeavingServers(report);
    this.confirm(report.address, report.bornAtMs);
    this.updatePace(nowMs);
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
    this.crashReporters.delete(address);
    this.routerCounts.discard(address);
  }

  /**
   * Returns the servers of a service that accept new requests.
   * @param serviceId - The service.
   * @param nowMs - Current time.
   */
  *getReadyServers(serviceId: ServiceId, nowMs: number): IterableIterator<KnownServer> {
    yield* this.getHolders(serviceId, undefined, nowMs);
  }

  /**
   * Returns the servers of a service that accept new requests for a model, or for any if there is none.
   * @param serviceId - The service.
   * @param model - Name of the model, if any.
   * @param nowMs - Current time.
   */
  *getHolders(serviceId: ServiceId, model: string | undefined, nowMs: number): IterableIterator<KnownServer> {
    for (const entry of this.getEntries()) {
      if (entry.serviceId !== serviceId || !this.acceptsRequests(entry, nowMs)) {
        continue;
      }
      if (model === undefined || this.isHolder(entry, model, nowMs)) {
        yield this.toKnownServer(entry, nowMs);
      }
    }
  }

  /**
   * Whether a server of a service has a software version and stays, also if it has asked for a pause.
   * @param serviceId - The service.
   * @param softwareVersion - The version.
   * @param nowMs - Current time.
   */
  hasVersion(serviceId: ServiceId, softwareVersion: string, nowMs: number): boolean {
    for (const entry of this.getEntries()) {
      if (
        entry.serviceId === serviceId &&
        this.isStaying(entry) &&
        this.getSoftwareVersion(entry, nowMs) === softwareVersion
      ) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the shortest remaining hold among servers that hold a model, or among all servers of a service without
   * models, in milliseconds; undefined if none of them is on hold.
   * @param serviceId - The service.
   * @param model - Name of the model, if any.
   * @param nowMs - Current time.
   * @param softwareVersion - Version that the server must have, if any.
   */
  getShortestHoldMs(
    serviceId: ServiceId,
    model: string | undefined,
    nowMs: number,
    softwareVersion?: string,
  ): number | undefined {
    let shortestMs: number | undefined;
    for (const entry of this.getEntries()) {
      const isCandidate =
        entry.serviceId === serviceId &&
        isRequiredVersion(this.getSoftwareVersion(entry, nowMs), softwareVersion);
      const holdMs = isCandidate ? this.getHoldMs(entry, nowMs) : 0;
      if (holdMs > 0 && (model === undefined || this.isHolder(entry, model, nowMs))) {
        shortestMs = Math.min(shortestMs ?? Infinity, holdMs);
      }
    }
    return shortestMs;
  }

  /** Number of routers as far as is known, 1 before the first report. */
  get routerCount(): number {
    return this.knownRouterCount ?? 1;
  }

  /**
   * Number of routers, as the largest number of connected routers that an agent reports; the last known number if no agent
   * is connected, undefined before the first report.
   */
  get knownRouterCount(): number | undefined {
    return this.routerCounts.latest;
  }

  /**
   * Returns the largest number of routers that was known since a time, the number at that time included; undefined before
   * the first report.
   * @param sinceMs - The time.
   */
  getLargestRouterCount(sinceMs: number): number | undefined {
    return this.routerCounts.getLargest(sinceMs);
  }

  /**
   * Returns the largest number of crashes that any agent reports for a request.
   * @param fingerprint - Fingerprint of a request.
   */
  getCrashCount(fingerprint: string): number {
    let count = 0;
    for (const address of this.crashReporters) {
      count = Math.max(count, this.reports.get(address)?.report.crashCounts[fingerprint] ?? 0);
    }
    return count;
  }

  private updatePace(nowMs: number): void {
    const intervalMs = Math.max(MIN_PACE_INTERVAL_MS, PACE_INTERVAL_PER_SERVER_MS * this.pace.serverCount);
    if (nowMs - this.paceUpdatedAtMs >= intervalMs) {
      this.paceUpdatedAtMs = nowMs;
      this.pace.update(this.getReportedPaces(nowMs), nowMs);
    }
  }

  private *getReportedPaces(nowMs: number): IterableIterator<ServerPaces> {
    for (const entry of this.getEntries()) {
      const report = this.getCurrentReport(entry, nowMs);
      if (report?.paces !== undefined) {
        yield { serverId: entry.serverId, paces: readModelPaces(report.paces) };
      }
    }
  }

  private applyLeavingServers({ address, bornAtMs, isLeaving, leavingServers }: AgentReport): void {
    for (const [serverId, leavingBornAtMs] of Object.entries(leavingServers ?? {})) {
      this.recordLeaving({ serverId: toServerId(serverId), bornAtMs: leavingBornAtMs });
    }
    for (const entry of isLeaving === true ? this.getEntriesOfProcess(address, bornAtMs) : []) {
      this.recordLeaving(entry);
    }
  }

  /**
   * Applies the limit that an agent reads from its engine. Where the engine named none before either, the report does not
   * contradict what the engine names in its responses.
   */
  private applyReportedLimit(previous: AgentReport | undefined, report: AgentReport): void {
    const { address, bornAtMs, maxRequestsPerSecond } = report;
    if (maxRequestsPerSecond === undefined) {
      return;
    }
    if (maxRequestsPerSecond === null && (previous?.maxRequestsPerSecond ?? null) === null) {
      return;
    }
    for (const { serverId } of this.getEntriesOfProcess(address, bornAtMs)) {
      this.recordRateLimit(serverId, maxRequestsPerSecond ?? Infinity);
    }
  }

  private *getEntriesOfProcess(address: string, bornAtMs: number): IterableIterator<ServerEntry> {
    for (const entry of this.getEntries()) {
      if (entry.address === address && entry.bornAtMs === bornAtMs) {
        yield entry;
      }
    }
  }

  private isHolder(entry: ServerEntry, model: string, nowMs: number): boolean {
    const heldModels = this.getCurrentReport(entry, nowMs)?.heldModels ?? entry.heldModels;
    const isHeld = heldModels.some(({ name }) => name === model);
    return (
      isHeld &&
      this.excludeRefusedModels(entry.serverId, heldModels, nowMs).some(({ name }) => name === model)
    );
  }

  /** Returns the latest report about a server's incarnation; undefined when it is outdated. */
  private getCurrentReport(entry: ServerEntry, nowMs: number): AgentReport | undefined {
    const latest = this.reports.get(entry.address);
    const isCurrent =
      latest !== undefined &&
      nowMs - latest.atMs < REPORT_LIFETIME_MS &&
      latest.report.bornAtMs >= entry.bornAtMs;
    return isCurrent ? latest.report : undefined;
  }

  private toKnownServer(entry: ServerEntry, nowMs: number): KnownServer {
    const report = this.getCurrentReport(entry, nowMs);
    const reportedAtMs = this.lastReports.get(entry.address)?.atMs ?? -Infinity;
    const heldModels = this.excludeRefusedModels(
      entry.serverId,
      report?.heldModels ?? entry.heldModels,
      nowMs,
    );
    const rank = this.getRank(entry.serverId);
    const rankShare = rank / this.getStayingCount(entry.serviceId);
    const maxRequestsPerSecond = this.getRateLimit(entry.serverId);
    const softwareVersion = this.getSoftwareVersion(entry, nowMs);
    return {
      entry,
      rank,
      rankShare,
      heldModels,
      report,
      reportedAtMs,
      maxRequestsPerSecond,
      softwareVersion,
    };
  }

  /**
   * Returns the version of a server's software; undefined if a later process than the listed one runs there, or may run there
   * because its agent has not been heard lately. A server may start again under its ID.
   */
  private getSoftwareVersion(
    { address, bornAtMs, softwareVersion }: ServerEntry,
    nowMs: number,
  ): string | undefined {
    const last = this.lastReports.get(address);
    const isOutdated = last?.bornAtMs === bornAtMs && nowMs - last.atMs >= REPORT_LIFETIME_MS;
    return isOutdated || (last && last.bornAtMs > bornAtMs) ? undefined : softwareVersion;
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
 * Whether a software version is the required one, or none is required.
 * @param softwareVersion - Version of a server's software, if known.
 * @param requiredVersion - Version that it must have, if any.
 */
export function isRequiredVersion(
  softwareVersion: string | undefined,
  requiredVersion: string | undefined,
): boolean {
  return requiredVersion === undefined || softwareVersion === requiredVersion;
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
