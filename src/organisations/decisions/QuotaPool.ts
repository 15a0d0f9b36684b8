import { RouterCounts } from '../../domain/RouterCounts.js';
import { setNewest } from '../../kernel/setNewest.js';
import type { OrganisationId } from '../../domain/index.js';
import type { QuotaTolerance } from '../Organisation.js';
import { CreditBucket } from './CreditBucket.js';
import {
  getBucketLimits,
  QUOTA_LEASE_MS,
  ROUTER_COUNT_MEMORY_MS,
  type BucketLimits,
  type QuotaTerms,
} from './quotaTerms.js';
import { SpendMeter } from './SpendMeter.js';
import { takeCredit, type QuotaDecision } from './takeCredit.js';

/** Maximum number of organisations with a bucket. */
const MAX_ORGANISATIONS = 500;
/** Maximum number of routers. */
const MAX_ROUTERS = 5_000;
/** Time for which the unsent requests of a router that is no longer heard are taken into account, in milliseconds. */
const UNSENT_MEMORY_MS = 60_000;

/** Credit of requests that a router has not sent yet, by organisation. */
export type UnsentCredit = ReadonlyMap<OrganisationId, number>;

/** Router that takes credit from this pool. */
interface PoolMember {
  /** Time until which its share of the quotas belongs to this pool. */
  expiresAtMs: number;
  /** Whether its share belongs to this pool. */
  isCounted: boolean;
  readonly unsent: Map<OrganisationId, number>;
}

/** Bucket of one organisation. */
interface PoolAccount {
  terms: QuotaTerms;
  limits: BucketLimits;
  /** Credit of the requests that routers have not sent yet. */
  unsent: number;
  readonly bucket: CreditBucket;
  readonly meter: SpendMeter;
}

/** Decisions on the requests of one call. */
export interface PoolDecisions {
  readonly decisions: readonly QuotaDecision[];
  /** Credit granted in the last window, in the quota's unit. */
  readonly spent: number;
}

/**
 * Credit of a group of organisations at one issuer.
 *
 * Each router owns an equal share of every quota and lends it to one pool at a time. The buckets hold the shares of the
 * pool's routers together and start empty, so the credit of all pools never exceeds one burst, whichever routers ask
 * which pool and whatever was spent before a start. Credit of requests that were not sent yet counts as part of it, since
 * they may all be sent at once later.
 */
export class QuotaPool {
  private readonly members = new Map<string, PoolMember>();
  private countedCount = 0;
  /** Time before which no router's share expires. */
  private nextExpiryMs = -Infinity;
  /** Newest version of the quotas. */
  private newestVersion = -Infinity;
  private readonly accounts = new Map<OrganisationId, PoolAccount>();
  private readonly routerCounts = new RouterCounts();

  /**
   * @param updatedAtMs - Current time.
   * @param readyAtMs - Time before which nothing is granted, unless a router knows the number of routers: an issuer that has
   *   just started does not.
   * @param getTolerance - Returns how far quotas may be exceeded.
   */
  constructor(
    private updatedAtMs: number,
    private readyAtMs: number,
    private readonly getTolerance: () => QuotaTolerance,
  ) {}

  /** Number of routers whose shares belong to this pool, as of the last call. */
  get memberCount(): number {
    return this.countedCount;
  }

  /** Newest version of the configuration whose quotas are known. */
  get version(): number {
    return this.newestVersion;
  }

  /**
   * Applies the quotas of the group, so that credit accrues before the first request.
   * @param version - Version of the configuration that contains them.
   * @param quotas - Quotas by organisation.
   * @param nowMs - Current time.
   */
  applyQuotas(
    version: number,
    quotas: ReadonlyMap<OrganisationId, Pick<QuotaTerms, 'ratePerSecond' | 'burst'>>,
    nowMs: number,
  ): void {
    this.advance(nowMs);
    this.newestVersion = Math.max(this.newestVersion, version);
    for (const [organisationId, { ratePerSecond, burst }] of quotas) {
      this.getAccount(organisationId, { version, ratePerSecond, burst }, nowMs);
    }
    this.limitCredit();
  }

  /**
   * Records a router whose share belongs to this pool until a time.
   * @param routerId - The router.
   * @param stampedAtMs - Time of the issuer's stamp that the router has returned.
   * @param routerCount - Number of routers that the router or the issuer knows of.
   * @param unsent - Credit of its requests that were not sent yet.
   * @param nowMs - Current time.
   */
  renew(
    routerId: string,
    stampedAtMs: number,
    routerCount: number,
    unsent: UnsentCredit,
    nowMs: number,
  ): void {
    this.advance(nowMs);
    const expiresAtMs = Math.min(stampedAtMs, nowMs) + QUOTA_LEASE_MS;
    let member = this.members.get(routerId);
    if (!member) {
      if (this.members.size >= MAX_ROUTERS) {
        return;
      }
      member = { expiresAtMs, isCounted: false, unsent: new Map() };
      this.members.set(routerId, member);
    }
    member.expiresAtMs = Math.max(member.expiresAtMs, expiresAtMs);
    this.nextExpiryMs = Math.min(this.nextExpiryMs, member.expiresAtMs);
    for (const organisationId of [...member.unsent.keys()]) {
      this.setUnsent(member, organisationId, unsent.get(organisationId) ?? 0);
    }
    for (const [organisationId, amount] of unsent) {
      this.setUnsent(member, organisationId, amount);
    }
    if (!member.isCounted && member.expiresAtMs > nowMs) {
      member.isCounted = true;
      this.countedCount++;
    }
    this.routerCounts.record('routers', Math.max(routerCount, this.countedCount), nowMs);
    this.limitCredit();
  }

  /** Ends the time before which nothing is granted, since the number of routers is known. */
  markReady(nowMs: number): void {
    this.advance(nowMs);
    this.readyAtMs = Math.min(this.readyAtMs, nowMs);
  }

  /**
   * Removes a router whose share no longer belongs to this pool.
   * @param routerId - The router.
   * @param nowMs - Current time.
   */
  release(routerId: string, nowMs: number): void {
    this.advance(nowMs);
    const member = this.members.get(routerId);
    if (member) {
      this.remove(routerId, member);
      this.limitCredit();
    }
  }

  /**
   * Decides on the credit for requests of one organisation; returns undefined if the router's share does not belong to this
   * pool.
   * @param routerId - The router.
   * @param organisationId - The organisation.
   * @param terms - Its quota, as the router knows it; the newest version applies.
   * @param costs - Cost of each request.
   * @param unsent - Credit of the router's requests of the organisation that were not sent yet, without these.
   * @param nowMs - Current time.
   */
  take(
    routerId: string,
    organisationId: OrganisationId,
    terms: QuotaTerms,
    costs: readonly number[],
    unsent: number,
    nowMs: number,
  ): PoolDecisions | undefined {
    this.advance(nowMs);
    const member = this.members.get(routerId);
    if (member?.isCounted !== true) {
      return undefined;
    }
    const account = this.getAccount(organisationId, terms, nowMs);
    this.setUnsent(member, organisationId, unsent);
    this.limitCredit();
    const share = this.getShare(nowMs);
    const decisions = costs.map((cost): QuotaDecision => {
      const decision = takeCredit(account.bucket, account.limits, share, cost, nowMs);
      if (decision.isGranted) {
        this.setUnsent(member, organisationId, (member.unsent.get(organisationId) ?? 0) + cost);
        account.meter.add(cost, nowMs);
      }
      return decision;
    });
    return { decisions, spent: account.meter.getSum(nowMs) };
  }

  /**
   * Returns the credit of a request that did not run.
   * @param routerId - The router.
   * @param organisationId - The request's organisation.
   * @param cost - Cost of the request; at most the credit of the router's unsent requests is returned.
   * @param nowMs - Current time.
   */
  giveBack(routerId: string, organisationId: OrganisationId, cost: number, nowMs: number): void {
    this.advance(nowMs);
    const member = this.members.get(routerId);
    const account = this.accounts.get(organisationId);
    const unsent = member?.unsent.get(organisationId) ?? 0;
    const returned = Math.min(cost, unsent);
    if (member?.isCounted === true && account && returned > 0) {
      this.setUnsent(member, organisationId, unsent - returned);
      account.bucket.credit += returned;
      account.meter.add(-returned, nowMs);
      this.limitCredit();
    }
  }

  /** Adds the credit of the time since the last call, with the routers that were counted at each moment of it. */
  private advance(nowMs: number): void {
    if (this.updatedAtMs < this.readyAtMs) {
      this.accrue(Math.min(nowMs, this.readyAtMs));
    }
    if (nowMs >= this.nextExpiryMs) {
      this.expire(nowMs);
    }
    this.accrue(nowMs);
  }

  private expire(nowMs: number): void {
    const byExpiry = [...this.members].sort(([, left], [, right]) => left.expiresAtMs - right.expiresAtMs);
    this.nextExpiryMs = Infinity;
    for (const [routerId, member] of byExpiry) {
      if (member.isCounted && member.expiresAtMs <= nowMs) {
        this.accrue(member.expiresAtMs);
        this.uncount(member);
      } else if (member.isCounted) {
        this.nextExpiryMs = Math.min(this.nextExpiryMs, member.expiresAtMs);
      }
      if (nowMs - member.expiresAtMs > UNSENT_MEMORY_MS) {
        this.remove(routerId, member);
      }
    }
  }

  private accrue(untilMs: number): void {
    const share = this.getShare(this.updatedAtMs);
    for (const { limits, unsent, bucket } of this.accounts.values()) {
      const maxCredit = Math.max(0, Math.min(share * limits.maxCredit, share * limits.maxUnsent - unsent));
      bucket.accrue(share * limits.ratePerSecond, maxCredit, untilMs);
    }
    this.updatedAtMs = Math.max(this.updatedAtMs, untilMs);
  }

  /** Discards credit beyond what the pool may hold now. */
  private limitCredit(): void {
    this.accrue(this.updatedAtMs);
  }

  private setUnsent(member: PoolMember, organisationId: OrganisationId, amount: number): void {
    const before = member.unsent.get(organisationId) ?? 0;
    const account = this.accounts.get(organisationId);
    if (account) {
      account.unsent = Math.max(0, account.unsent + amount - before);
    }
    if (amount > 0 && account) {
      member.unsent.set(organisationId, amount);
    } else {
      member.unsent.delete(organisationId);
    }
  }

  private getShare(nowMs: number): number {
    if (nowMs < this.readyAtMs) {
      return 0;
    }
    const routerCount = this.routerCounts.getLargest(nowMs - ROUTER_COUNT_MEMORY_MS) ?? 1;
    return Math.min(1, this.countedCount / Math.max(1, routerCount));
  }

  private uncount(member: PoolMember): void {
    if (member.isCounted) {
      member.isCounted = false;
      this.countedCount--;
    }
  }

  private remove(routerId: string, member: PoolMember): void {
    this.uncount(member);
    for (const organisationId of [...member.unsent.keys()]) {
      this.setUnsent(member, organisationId, 0);
    }
    this.members.delete(routerId);
  }

  private getAccount(organisationId: OrganisationId, terms: QuotaTerms, nowMs: number): PoolAccount {
    const tolerance = this.getTolerance();
    const limits = getBucketLimits(terms, tolerance);
    const account = this.accounts.get(organisationId) ?? {
      terms,
      limits,
      unsent: 0,
      bucket: new CreditBucket(nowMs),
      meter: new SpendMeter(tolerance.windowMs),
    };
    if (terms.version > account.terms.version) {
      account.terms = terms;
      account.limits = limits;
    }
    setNewest(this.accounts, organisationId, account, MAX_ORGANISATIONS);
    return account;
  }
}
