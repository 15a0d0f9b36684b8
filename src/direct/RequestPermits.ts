import type { Clock, Random } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { AgentConnections } from './AgentConnections.js';
import {
  isPermitDecision,
  PermitBuckets,
  RandomPermits,
  type FleetView,
  type KnownServer,
  type PermitDecision,
  type ServerEntry,
} from './decisions/index.js';
import { isRouterCountKnown } from './engineEntries.js';
import { PERMIT_METHODS, type TakePermitParams } from './messages.js';

/** Timeout of a request for a permit, in milliseconds; an agent answers within a few milliseconds. */
const PERMIT_TIMEOUT_MS = 150;
/** Time after which a caller may return whose request got no answer of the agent that issues permits, in milliseconds. */
const SILENT_RETRY_MS = 500;
/**
 * Share of a limit from which on a router's permits come at even times, in requests per second. Each router keeps one permit for
 * its next request, and the permits of many small shares would be used together.
 */
const MIN_EVEN_SHARE_PER_SECOND = 0.5;
const UNLIMITED: PermitDecision = { isGranted: true, waitMs: 0 };

/** Dependencies of {@link RequestPermits}. */
export interface RequestPermitsDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly view: FleetView;
  readonly agentConnections: AgentConnections;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Obtains permits for requests to servers that limit the requests of all routers together. The agent beside the server
 * issues them; in its place, the first connected one in an order that is the same on all routers. A router that is
 * connected to no agent keeps to an equal share of the limit, and only tries the server now and then before it knows how many
 * routers there are.
 */
export class RequestPermits {
  /** Permits of this router's share, used without an agent. */
  private readonly shares = new PermitBuckets();
  /** The same for servers that accept less than a request a second of each router. */
  private readonly randomShares: RandomPermits;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: RequestPermitsDependencies) {
    this.randomShares = new RandomPermits(deps.random);
  }

  /**
   * Obtains a permit for one request to a server; at once if the server names no limit.
   * @param server - The server.
   * @param requestId - ID of the request, for the log.
   * @param maxWaitMs - Time that the request may wait before it is sent, in milliseconds.
   */
  async take(server: KnownServer, requestId: string, maxWaitMs: number): Promise<PermitDecision> {
    const { maxRequestsPerSecond, entry } = server;
    if (maxRequestsPerSecond === undefined) {
      return UNLIMITED;
    }
    const issuer = this.chooseIssuer(entry);
    const decision =
      issuer === undefined
        ? this.takeShare(entry, maxRequestsPerSecond, maxWaitMs)
        : await this.askIssuer(issuer, entry, maxRequestsPerSecond, maxWaitMs);
    if (!decision) {
      return this.take(server, requestId, maxWaitMs);
    }
    const { log, metrics } = this.deps;
    metrics.count(decision.isGranted ? 'limited_requests_permitted' : 'limited_requests_refused');
    log.decision('permit decided', {
      requestId,
      serverId: entry.serverId,
      maxRequestsPerSecond,
      issuer: issuer ?? 'share',
      isGranted: decision.isGranted,
      inMs: Math.round(decision.isGranted ? decision.waitMs : decision.retryInMs),
    });
    return decision;
  }

  /** Returns the address of the agent that issues permits for a server; undefined if none is connected. */
  private chooseIssuer({ serverId, address }: ServerEntry): string | undefined {
    const { agentConnections } = this.deps;
    const isUsable = (agent: string) => agentConnections.isInTouch(agent, PERMIT_METHODS.take);
    if (isUsable(address)) {
      return address;
    }
    return agentConnections.rankAgents(serverId).find((agent) => agent !== address && isUsable(agent));
  }

  /** Asks an agent for a permit; resolves with undefined if it issues none, as agents of older versions. */
  private async askIssuer(
    issuer: string,
    { serverId, address }: ServerEntry,
    maxRequestsPerSecond: number,
    maxWaitMs: number,
  ): Promise<PermitDecision | undefined> {
    const { agentConnections, view } = this.deps;
    const { routerCount } = view;
    const params: TakePermitParams = { serverId, address, maxRequestsPerSecond, maxWaitMs, routerCount };
    const result = await agentConnections.call(issuer, PERMIT_METHODS.take, params, PERMIT_TIMEOUT_MS);
    switch (result.kind) {
      case 'answered':
        return isPermitDecision(result.value)
          ? result.value
          : { isGranted: false, retryInMs: SILENT_RETRY_MS };
      case 'silent':
        return { isGranted: false, retryInMs: SILENT_RETRY_MS };
      case 'unsupported':
        return undefined;
    }
  }

  private takeShare(
    { serverId }: ServerEntry,
    maxRequestsPerSecond: number,
    maxWaitMs: number,
  ): PermitDecision {
    const { clock, view } = this.deps;
    const { routerCount } = view;
    // Until an agent has reported the number of routers, any number of them may have started together.
    const isKnown = isRouterCountKnown(view);
    const share = isKnown ? maxRequestsPerSecond / routerCount : 0;
    return isKnown && share < MIN_EVEN_SHARE_PER_SECOND
      ? this.randomShares.take(serverId, maxRequestsPerSecond, routerCount, maxWaitMs, clock.nowMs())
      : this.shares.take(serverId, share, maxWaitMs, clock.nowMs());
  }
}
