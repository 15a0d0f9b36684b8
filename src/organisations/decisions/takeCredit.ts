import type { CreditBucket } from './CreditBucket.js';
import type { BucketLimits } from './quotaTerms.js';

/** Longest time after which a caller is asked to return, in milliseconds. */
const MAX_RETRY_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Decision on the credit for one request. */
export type QuotaDecision =
  | { readonly isGranted: true }
  /** Its caller may return later. */
  | { readonly isGranted: false; readonly retryInMs: number };

/**
 * Takes the credit for one request from an up-to-date bucket that holds a share of a quota.
 * @param bucket - The bucket.
 * @param limits - Limits of a bucket for the whole quota.
 * @param share - Share of the quota that belongs to the bucket.
 * @param cost - Cost of the request.
 * @param nowMs - Current time.
 */
export function takeCredit(
  bucket: CreditBucket,
  limits: BucketLimits,
  share: number,
  cost: number,
  nowMs: number,
): QuotaDecision {
  const maxCredit = share * limits.maxCredit;
  const required = Math.min(cost, maxCredit);
  if (cost - required <= share * limits.maxOverdraft && bucket.credit >= required) {
    bucket.credit -= cost;
    return { isGranted: true };
  }
  const ratePerSecond = share * limits.ratePerSecond;
  if (ratePerSecond <= 0) {
    return { isGranted: false, retryInMs: MAX_RETRY_MS };
  }
  const waitMs = Math.min(MAX_RETRY_MS, bucket.getWaitMs(required, ratePerSecond));
  const gapMs = (cost * MS_PER_SECOND) / ratePerSecond;
  return { isGranted: false, retryInMs: Math.ceil(bucket.spreadReturn(waitMs, gapMs, MAX_RETRY_MS, nowMs)) };
}
