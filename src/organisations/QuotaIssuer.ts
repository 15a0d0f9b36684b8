import type { OrganisationId } from '../domain/index.js';
import type { Clock } from '../kernel/index.js';
import type { Metrics } from '../telemetry/index.js';
import type { PeerMethods } from '../transport/index.js';
import { QUOTA_GROUP_COUNT, QUOTA_LEASE_MS, QuotaPool } from './decisions/index.js';
import {
  QUOTA_METHODS,
  type GiveBackParams,
  type ReleaseShareParams,
  type ReleaseShareReply,
  type RenewShareParams,
  type RenewShareReply,
  type TakeCreditParams,
  type TakeCreditReply,
} from './messages.js';
import type { QuotaTolerance } from './Organisation.js';

/** Maximum number of requests in one call. */
const MAX_COSTS = 1_000;

/** Dependencies of {@link QuotaIssuer}. */
export interface QuotaIssuerDependencies {
  readonly clock: Clock;
  /** ID of this process, different after each start. */
  readonly issuerId: string;
  /** Returns the number of routers that are connected to this agent. */
  readonly getRouterCount: () => number;
  readonly getTolerance: () => QuotaTolerance;
  readonly metrics: Metrics;
}

/** Issues the credit of organisations' quotas at an agent, for the routers that have lent it their shares. */
export class QuotaIssuer {
  private readonly pools = new Map<number, QuotaPool>();
  private readonly startedAtMs: number;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: QuotaIssuerDependencies) {
    this.startedAtMs = deps.clock.nowMs();
    deps.metrics.gauge('quota_shares_held', () => this.shareCount);
  }

  /** Number of shares that routers have lent to this agent, over all groups. */
  get shareCount(): number {
    let count = 0;
    for (const pool of this.pools.values()) {
      count += pool.memberCount;
    }
    return count;
  }

  /** Returns the methods that routers call. */
  getMethods(): PeerMethods {
    return {
      [QUOTA_METHODS.renew]: (params: RenewShareParams) => this.renew(params),
      [QUOTA_METHODS.release]: (params: ReleaseShareParams) => this.release(params),
      [QUOTA_METHODS.take]: (params: TakeCreditParams) => this.take(params),
      [QUOTA_METHODS.giveBack]: (params: GiveBackParams) => this.giveBack(params),
    } as PeerMethods;
  }

  private renew(params: RenewShareParams): RenewShareReply {
    const { group, routerId, echo, routerCount, isCountReliable, unsent, quotas } = params;
    const { clock, issuerId, getRouterCount } = this.deps;
    const nowMs = clock.nowMs();
    const pool = this.getPool(group);
    if (pool && quotas && isNumber(quotas.version) && Array.isArray(quotas.limits)) {
      const readable = quotas.limits.filter((limit) => isAmount(limit[1]) && isAmount(limit[2]));
      const limits = readable.map(([id, ratePerSecond, burst]) => [id, { ratePerSecond, burst }] as const);
      pool.applyQuotas(quotas.version, new Map(limits), nowMs);
    }
    if (
      pool &&
      echo?.issuerId === issuerId &&
      isNumber(echo.atMs) &&
      isAmount(routerCount) &&
      Array.isArray(unsent)
    ) {
      const amounts = unsent.filter(([, amount]) => isAmount(amount));
      const count = Math.max(routerCount, getRouterCount());
      if (isCountReliable) {
        pool.markReady(nowMs);
      }
      pool.renew(String(routerId), echo.atMs, count, new Map<OrganisationId, number>(amounts), nowMs);
    }
    return { issuerId, atMs: nowMs, version: Math.max(-1, pool?.version ?? -1) };
  }

  private release({ group, routerId }: ReleaseShareParams): ReleaseShareReply {
    this.getPool(group)?.release(String(routerId), this.deps.clock.nowMs());
    return { isReleased: true };
  }

  private take(params: TakeCreditParams): TakeCreditReply {
    const { group, routerId, organisationId, version, ratePerSecond, burst, costs, unsent } = params;
    const isReadable =
      isNumber(version) && [ratePerSecond, burst, unsent].every(isAmount) && isCostList(costs);
    if (!isReadable) {
      return {};
    }
    const terms = { version, ratePerSecond, burst };
    const nowMs = this.deps.clock.nowMs();
    const taken = this.getPool(group)?.take(String(routerId), organisationId, terms, costs, unsent, nowMs);
    if (!taken) {
      return {};
    }
    const { decisions, spent } = taken;
    for (const { isGranted } of decisions) {
      this.deps.metrics.count(isGranted ? 'quota_requests_granted' : 'quota_requests_refused');
    }
    const retriesInMs = decisions.map((decision) =>
      decision.isGranted ? 0 : Math.max(1, decision.retryInMs),
    );
    return { retriesInMs, spent: Math.round(spent) };
  }

  private giveBack({ group, routerId, organisationId, cost }: GiveBackParams): void {
    if (isAmount(cost)) {
      this.getPool(group)?.giveBack(String(routerId), organisationId, cost, this.deps.clock.nowMs());
    }
  }

  private getPool(group: number): QuotaPool | undefined {
    if (!Number.isInteger(group) || group < 0 || group >= QUOTA_GROUP_COUNT) {
      return undefined;
    }
    const { clock, getTolerance } = this.deps;
    const readyAtMs = this.startedAtMs + QUOTA_LEASE_MS;
    const pool = this.pools.get(group) ?? new QuotaPool(clock.nowMs(), readyAtMs, getTolerance);
    this.pools.set(group, pool);
    return pool;
  }
}

function isNumber(value: unknown): value is number {
  return Number.isFinite(value);
}

function isAmount(value: unknown): value is number {
  return isNumber(value) && value >= 0;
}

function isCostList(value: unknown): value is readonly number[] {
  return Array.isArray(value) && value.length <= MAX_COSTS && value.every(isAmount);
}
