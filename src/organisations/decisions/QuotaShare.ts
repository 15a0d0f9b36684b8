import { setNewest } from '../../kernel/setNewest.js';
import type { OrganisationId } from '../../domain/index.js';
import { CreditBucket } from './CreditBucket.js';
import type { BucketLimits } from './quotaTerms.js';
import { takeCredit, type QuotaDecision } from './takeCredit.js';

/** Maximum number of organisations with a bucket. */
const MAX_ORGANISATIONS = 500;
/** Time after which a caller may return while no issuer answers, in milliseconds. */
const SILENT_RETRY_MS = 500;
const MS_PER_SECOND = 1_000;

/**
 * Credit that a router grants without an issuer: a small part of the tolerance at any time, and its own equal share while it
 * lends the share to no issuer.
 */
export class QuotaShare {
  /** Buckets of the own share; empty while the share is with an issuer. */
  private readonly own = new Map<OrganisationId, CreditBucket>();
  /** Buckets of the part of the tolerance. */
  private readonly gaps = new Map<OrganisationId, CreditBucket>();

  /** Gives up the credit of the own share, since the share is now with an issuer. */
  lendOut(): void {
    this.own.clear();
  }

  /**
   * Takes the credit for one request.
   * @param organisationId - The organisation.
   * @param limits - Limits of a bucket for its whole quota.
   * @param routerCount - Number of routers; undefined if it is not known, so that nothing can be granted.
   * @param isOwn - Whether the own share is with no issuer.
   * @param unsent - Credit of the organisation's requests that were not sent yet.
   * @param cost - Cost of the request.
   * @param nowMs - Current time.
   */
  take(
    organisationId: OrganisationId,
    limits: BucketLimits,
    routerCount: number | undefined,
    isOwn: boolean,
    unsent: number,
    cost: number,
    nowMs: number,
  ): QuotaDecision {
    if (routerCount === undefined) {
      return { isGranted: false, retryInMs: SILENT_RETRY_MS };
    }
    const share = 1 / routerCount;
    if (this.takeGap(organisationId, share * limits.gapCredit, limits.windowMs, cost, nowMs)) {
      return { isGranted: true };
    }
    if (!isOwn) {
      return { isGranted: false, retryInMs: SILENT_RETRY_MS };
    }
    const bucket = this.own.get(organisationId) ?? new CreditBucket(nowMs);
    setNewest(this.own, organisationId, bucket, MAX_ORGANISATIONS);
    const maxCredit = Math.min(share * limits.maxCredit, share * limits.maxUnsent - unsent);
    bucket.accrue(share * limits.ratePerSecond, Math.max(0, maxCredit), nowMs);
    return takeCredit(bucket, limits, share, cost, nowMs);
  }

  /**
   * Returns the credit of a request that did not run, while the own share is with no issuer.
   * @param organisationId - The request's organisation.
   * @param cost - Cost of the request.
   */
  giveBack(organisationId: OrganisationId, cost: number): void {
    const bucket = this.own.get(organisationId);
    if (bucket) {
      bucket.credit += cost;
    }
  }

  private takeGap(
    organisationId: OrganisationId,
    capacity: number,
    windowMs: number,
    cost: number,
    nowMs: number,
  ): boolean {
    let bucket = this.gaps.get(organisationId);
    if (!bucket) {
      bucket = new CreditBucket(nowMs);
      bucket.credit = capacity;
    }
    setNewest(this.gaps, organisationId, bucket, MAX_ORGANISATIONS);
    bucket.accrue((capacity * MS_PER_SECOND) / windowMs, capacity, nowMs);
    if (bucket.credit < cost) {
      return false;
    }
    bucket.credit -= cost;
    return true;
  }
}
