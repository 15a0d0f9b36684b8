import { setNewest } from '../kernel/index.js';
import type { ServerId } from '../domain/index.js';
import type { Clock } from '../kernel/index.js';
import type { Metrics } from '../telemetry/index.js';
import type { PeerConnection, PeerMethods } from '../transport/index.js';
import { PermitBuckets, type PermitDecision } from './decisions/index.js';
import { PERMIT_METHODS, type TakePermitParams } from './messages.js';

/** Time after its last request for a permit for which a router counts as one that this agent serves, in milliseconds. */
const ASKER_LIFETIME_MS = 5_000;
/** Maximum number of servers for which routers are counted. */
const MAX_SERVERS = 2_000;
/** Time after which a caller may return whose router sends parameters that cannot be read, in milliseconds. */
const UNREADABLE_RETRY_MS = 1_000;

/** Dependencies of {@link PermitIssuer}. */
export interface PermitIssuerDependencies {
  readonly clock: Clock;
  /** Host and port of the engine beside this agent. */
  readonly engineAddress: string;
  /** Returns the number of routers that are connected to this agent. */
  readonly getRouterCount: () => number;
  readonly metrics: Metrics;
}

/**
 * Issues permits for requests to servers that limit them, at the agent beside the server. It also stands in for an agent
 * that some routers have lost, or that a server does not have. The rate is the share of the limit that belongs to the
 * routers that depend on this agent, so that routers that ask different agents stay within the limit together.
 */
export class PermitIssuer {
  private readonly buckets = new PermitBuckets();
  /** When routers last asked for a permit, by server. */
  private readonly askedAtMs = new Map<ServerId, Map<PeerConnection, number>>();

  /** @param deps - Dependencies. */
  constructor(private readonly deps: PermitIssuerDependencies) {}

  /** Returns the methods that routers call. */
  getMethods(): PeerMethods {
    return {
      [PERMIT_METHODS.take]: (params: TakePermitParams, from: PeerConnection) => this.take(params, from),
    } as PeerMethods;
  }

  private take(params: TakePermitParams, from: PeerConnection): PermitDecision {
    const { serverId, address, maxRequestsPerSecond, maxWaitMs, routerCount } = params;
    const { clock, engineAddress, getRouterCount, metrics } = this.deps;
    if (![maxRequestsPerSecond, maxWaitMs, routerCount].every((value) => Number.isFinite(value))) {
      return { isGranted: false, retryInMs: UNREADABLE_RETRY_MS };
    }
    const nowMs = clock.nowMs();
    const dependentCount =
      address === engineAddress ? getRouterCount() : this.countAskers(serverId, from, nowMs);
    const share = Math.min(1, dependentCount / Math.max(1, routerCount));
    const decision = this.buckets.take(serverId, share * maxRequestsPerSecond, maxWaitMs, nowMs);
    metrics.count(decision.isGranted ? 'permits_granted' : 'permits_refused');
    return decision;
  }

  /** Returns the number of routers that have asked for permits for a server lately. */
  private countAskers(serverId: ServerId, from: PeerConnection, nowMs: number): number {
    const askedAtMs = this.askedAtMs.get(serverId) ?? new Map<PeerConnection, number>();
    setNewest(this.askedAtMs, serverId, askedAtMs, MAX_SERVERS);
    askedAtMs.set(from, nowMs);
    for (const [router, atMs] of askedAtMs) {
      if (nowMs - atMs >= ASKER_LIFETIME_MS || !router.isOpen) {
        askedAtMs.delete(router);
      }
    }
    return askedAtMs.size;
  }
}
