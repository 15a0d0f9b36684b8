import { delay, type Clock } from '../kernel/index.js';
import type { ServerId } from '../domain/index.js';
import type { AgentConnections } from './AgentConnections.js';
import {
  getHeldModel,
  ServerHolds,
  type FleetView,
  type KnownServer,
  type RequestLimits,
  type ServerChooser,
  type ServerRequirements,
} from './decisions/index.js';
import type { CallerRequest } from './CallerRequest.js';
import type { ModelLoader } from './ModelLoader.js';
import type { RequestPermits } from './RequestPermits.js';

/** Delay before servers that did not accept a request are tried again, in milliseconds. */
const RETRY_DELAY_MS = 120;
/** Longest wait for the permit of the last server that could run a request, in milliseconds. */
const MAX_PERMIT_WAIT_MS = 250;

/** Dependencies of {@link ServerSearch}. */
export interface ServerSearchDependencies {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly chooser: ServerChooser;
  readonly modelLoader: ModelLoader;
  readonly agentConnections: AgentConnections;
  readonly permits: RequestPermits;
}

/** Options of one search. */
export interface SearchOptions {
  /** When a wait for a model or a server must end; absent if the search must not wait. */
  readonly waitUntilMs: number | undefined;
  /** Whether servers that did not accept the request may be tried again. */
  readonly mayRetryServers: boolean;
}

/** Result of a search. */
export type SearchResult =
  | { readonly kind: 'found'; readonly server: KnownServer }
  /** No server can accept the request in time. */
  | { readonly kind: 'refused'; readonly detail: string; readonly retryAfterMs?: number };

/** Whether a request can be sent to a chosen server. */
type Usability =
  | 'usable'
  /** The server lacks the adapter, or accepts no requests any more. */
  | 'unusable'
  /** The server is at its limit. */
  | 'limited';

/** Finds servers for one request, one at a time, and keeps the set of excluded servers. */
export class ServerSearch {
  private readonly excluded = new Set<ServerId>();
  /** Periods in which servers at their limits permit no request. */
  private readonly limitHolds = new ServerHolds();
  private requiredVersion: string | undefined;

  /**
   * @param deps - Dependencies.
   * @param request - Request to find servers for.
   * @param limits - Limits of the request.
   * @param isOver - Returns whether the request has ended, which ends the search.
   */
  constructor(
    private readonly deps: ServerSearchDependencies,
    private readonly request: CallerRequest,
    private readonly limits: RequestLimits,
    private readonly isOver: () => boolean,
  ) {}

  /**
   * Excludes a server from further results until the next retry delay.
   * @param serverId - Server to exclude.
   */
  exclude(serverId: ServerId): void {
    this.excluded.add(serverId);
  }

  /** Software version that servers must have; undefined if any will do. */
  get softwareVersion(): string | undefined {
    return this.requiredVersion;
  }

  /**
   * Restricts further results to servers of one software version.
   * @param softwareVersion - The version.
   */
  requireVersion(softwareVersion: string): void {
    this.requiredVersion = softwareVersion;
  }

  /**
   * Whether another server can accept the request now.
   * @param serverId - Server to leave out of the search.
   */
  hasOther(serverId: ServerId): boolean {
    const requirements = {
      ...this.toRequirements(),
      isInteractive: false,
      excludedServerIds: this.getExcludedIds(serverId),
    };
    return this.deps.chooser.hasServer(requirements, this.deps.clock.nowMs());
  }

  /**
   * Finds a server that can run the request now; waits for one as long as the options allow it.
   * @param options - Options of this search.
   */
  async find(options: SearchOptions): Promise<SearchResult> {
    const { chooser, clock } = this.deps;
    while (!this.isOver()) {
      const server = chooser.chooseServer(this.toRequirements(), clock.nowMs());
      if (!server) {
        const refusal = await this.wait(options);
        if (refusal) {
          return refusal;
        }
        continue;
      }
      const usability = await this.checkUsable(server, this.getMaxPermitWaitMs(server, options));
      if (usability === 'usable') {
        return { kind: 'found', server };
      }
      if (usability === 'unusable') {
        this.excluded.add(server.entry.serverId);
      }
    }
    return { kind: 'refused', detail: 'the request has ended' };
  }

  /**
   * Finds another server that can take the request over now; undefined if there is none.
   * @param serverId - Server that has the request.
   * @param silentSinceMs - When that server fell silent; others that were not heard since may be silent for the same reason.
   */
  async findReplacement(serverId: ServerId, silentSinceMs: number): Promise<KnownServer | undefined> {
    const { chooser, clock } = this.deps;
    const excludedServerIds = this.getExcludedIds(serverId);
    while (!this.isOver()) {
      const server = chooser.chooseServer({ ...this.toRequirements(), excludedServerIds }, clock.nowMs());
      if (!server) {
        return undefined;
      }
      // A server that is silent too would not take the request any sooner.
      const isResponsive = chooser.isResponsive(server, clock.nowMs(), silentSinceMs);
      if (isResponsive && (await this.checkUsable(server, 0)) === 'usable') {
        return server;
      }
      excludedServerIds.add(server.entry.serverId);
    }
    return undefined;
  }

  /** Waits until a new search may succeed; returns the refusal if none can in time. */
  private async wait(options: SearchOptions): Promise<SearchResult | undefined> {
    const { headers, serviceId } = this.request;
    const { softwareVersion } = this;
    const untilMs = options.waitUntilMs;
    const { view, clock } = this.deps;
    if (softwareVersion !== undefined && !view.hasVersion(serviceId, softwareVersion, clock.nowMs())) {
      return { kind: 'refused', detail: `no server of the software version ${softwareVersion} is left` };
    }
    const holdMs = this.getHoldMs();
    const limitMs = this.getShortestLimitMs();
    if (untilMs === undefined) {
      const detail = 'no server takes the rest of the stream';
      return { kind: 'refused', detail, retryAfterMs: holdMs ?? limitMs };
    }
    if (limitMs !== undefined) {
      return this.isLoadedInTime(untilMs)
        ? this.delayRetry(options, untilMs)
        : { kind: 'refused', detail: 'all servers are at their limits', retryAfterMs: limitMs };
    }
    if (holdMs !== undefined && !this.isLoadedInTime(untilMs)) {
      return { kind: 'refused', detail: 'all servers asked for a pause', retryAfterMs: holdMs };
    }
    if (headers.model === undefined || (this.excluded.size > 0 && holdMs === undefined)) {
      return this.delayRetry(options, untilMs);
    }
    const result = await this.deps.modelLoader.waitFor({
      requestId: headers.requestId,
      serviceId,
      model: headers.model,
      isInteractive: this.limits.isInteractive,
      softwareVersion,
      untilMs,
    });
    switch (result.kind) {
      case 'ready':
        return undefined;
      case 'tooLate':
        return {
          kind: 'refused',
          detail: 'the model is not ready in time',
          retryAfterMs: result.readyInMs,
        };
      case 'noPlace':
        return { kind: 'refused', detail: 'no server has room for the model' };
    }
  }

  /** Whether another server is loading the request's model and will have it in time. */
  private isLoadedInTime(untilMs: number): boolean {
    const { modelLoader, clock } = this.deps;
    const { headers, serviceId } = this.request;
    const pendingMs =
      headers.model === undefined
        ? undefined
        : modelLoader.getPendingLoadMs(serviceId, headers.model, this.softwareVersion);
    return pendingMs !== undefined && clock.nowMs() + pendingMs < untilMs;
  }

  /** Returns the shortest pause that servers asked for if all servers that could run the request did; else undefined. */
  private getHoldMs(): number | undefined {
    const { view, chooser, clock } = this.deps;
    const { headers, serviceId } = this.request;
    const nowMs = clock.nowMs();
    const requirements = { ...this.toRequirements(), excludedServerIds: new Set<ServerId>() };
    return chooser.hasServer(requirements, nowMs)
      ? undefined
      : view.getShortestHoldMs(serviceId, headers.model, nowMs, this.softwareVersion);
  }

  /** Waits and then clears the excluded servers, or returns a refusal if no time is left for that. */
  private async delayRetry(options: SearchOptions, untilMs: number): Promise<SearchResult | undefined> {
    const { clock } = this.deps;
    if (!options.mayRetryServers || clock.nowMs() + RETRY_DELAY_MS >= untilMs) {
      return { kind: 'refused', detail: 'the servers did not take the request' };
    }
    await delay(clock, RETRY_DELAY_MS);
    this.excluded.clear();
    return undefined;
  }

  /** Returns the time for which the request may wait for a server's permit; 0 while another server can run it. */
  private getMaxPermitWaitMs({ entry }: KnownServer, { waitUntilMs }: SearchOptions): number {
    if (waitUntilMs === undefined || this.hasOther(entry.serverId)) {
      return 0;
    }
    return Math.max(0, Math.min(MAX_PERMIT_WAIT_MS, waitUntilMs - this.deps.clock.nowMs()));
  }

  /** Returns the time until the first of the servers that are at their limits accepts a request; undefined if none is. */
  private getShortestLimitMs(): number | undefined {
    const held = this.limitHolds.getHeld(this.deps.clock.nowMs());
    return held.size === 0 ? undefined : Math.min(...held.values());
  }

  /**
   * Whether a server has the request's adapter, which is loaded there if necessary, permits the request and still accepts
   * requests.
   */
  private async checkUsable(server: KnownServer, maxPermitWaitMs: number): Promise<Usability> {
    const { view, clock, permits } = this.deps;
    const { entry } = server;
    if (!(await this.ensureAdapter(server))) {
      return 'unusable';
    }
    const permit = await permits.take(server, this.request.headers.requestId, maxPermitWaitMs);
    if (!permit.isGranted) {
      this.limitHolds.hold(entry.serverId, permit.retryInMs, clock.nowMs());
      return 'limited';
    }
    if (permit.waitMs > 0) {
      await delay(clock, permit.waitMs);
    }
    // The server may have stated meanwhile that it is leaving, or asked for a pause.
    return view.acceptsRequests(entry, clock.nowMs()) ? 'usable' : 'unusable';
  }

  private async ensureAdapter(server: KnownServer): Promise<boolean> {
    const { model, adapter } = this.request.headers;
    return (
      model === undefined ||
      adapter === undefined ||
      getHeldModel(server, model)?.adapters.includes(adapter) === true ||
      this.deps.agentConnections.ensureAdapter(server.entry.address, model, adapter)
    );
  }

  /** Returns the servers that cannot be used now, and the given one. */
  private getExcludedIds(serverId: ServerId): Set<ServerId> {
    return new Set([...this.toRequirements().excludedServerIds, serverId]);
  }

  private toRequirements(): ServerRequirements {
    const { headers, serviceId, route } = this.request;
    const { model, adapter, promptTokens } = headers;
    return {
      serviceId,
      model,
      adapter,
      isInteractive: this.limits.isInteractive && model !== undefined,
      tokenCount: promptTokens + headers.maxOutputTokens,
      promptTokens,
      maxGapMs: route.maxGapMs,
      latencyTargetMs: route.latencyTargetMs,
      excludedServerIds: this.excludeLimited(),
      softwareVersion: this.softwareVersion,
    };
  }

  private excludeLimited(): ReadonlySet<ServerId> {
    const held = this.limitHolds.getHeld(this.deps.clock.nowMs());
    return held.size === 0 ? this.excluded : new Set([...this.excluded, ...held.keys()]);
  }
}
