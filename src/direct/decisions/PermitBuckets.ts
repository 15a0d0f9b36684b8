import type { ServerId } from '../../domain/index.js';
import { CreditBucket } from '../../organisations/decisions/CreditBucket.js';
import { setNewest } from '../../kernel/setNewest.js';

/** Rate at which a server that accepts fewer requests, or none, is still tried, in requests per second. */
export const MIN_PERMITS_PER_SECOND = 0.2;
/** Time for which unused permits accumulate, in seconds; one permit is kept in any case. */
const BURST_S = 0.5;
/** Longest time after which a caller is asked to return, in milliseconds. */
export const MAX_RETRY_MS = 5_000;
/** Maximum number of servers with a bucket. */
export const MAX_BUCKETS = 2_000;
const MS_PER_SECOND = 1_000;

/** Decision on a permit for one request. */
export type PermitDecision =
  /** The request may be sent after a wait. */
  | { readonly isGranted: true; readonly waitMs: number }
  /** The request may not be sent; its caller may return later. */
  | { readonly isGranted: false; readonly retryInMs: number };

/**
 * Issues permits for requests to servers that limit them: a token bucket for each server. It starts empty, since the
 * server has just accepted the request whose response named the limit.
 */
export class PermitBuckets {
  private readonly buckets = new Map<ServerId, CreditBucket>();

  /**
   * Decides on a permit for a request. Callers of refused requests are given times that are one permit apart.
   * @param serverId - Server of the request.
   * @param maxRequestsPerSecond - Rate of the permits.
   * @param maxWaitMs - Time that the request may wait, in milliseconds.
   * @param nowMs - Current time.
   */
  take(serverId: ServerId, maxRequestsPerSecond: number, maxWaitMs: number, nowMs: number): PermitDecision {
    const permitsPerSecond = Math.max(MIN_PERMITS_PER_SECOND, maxRequestsPerSecond);
    const permitMs = MS_PER_SECOND / permitsPerSecond;
    const bucket = this.getOrCreate(serverId, nowMs);
    bucket.accrue(permitsPerSecond, Math.max(1, permitsPerSecond * BURST_S), nowMs);
    const waitMs = bucket.getWaitMs(1, permitsPerSecond);
    if (waitMs <= maxWaitMs) {
      bucket.credit--;
      return { isGranted: true, waitMs };
    }
    return { isGranted: false, retryInMs: bucket.spreadReturn(waitMs, permitMs, MAX_RETRY_MS, nowMs) };
  }

  private getOrCreate(serverId: ServerId, nowMs: number): CreditBucket {
    const bucket = this.buckets.get(serverId) ?? new CreditBucket(nowMs);
    setNewest(this.buckets, serverId, bucket, MAX_BUCKETS);
    return bucket;
  }
}

/**
 * Whether a value is a decision on a permit. A process of another version may send other values.
 * @param value - Value as received.
 */
export function isPermitDecision(value: unknown): value is PermitDecision {
  const { isGranted, waitMs, retryInMs } = Object(value) as Record<string, unknown>;
  return isGranted === true ? Number.isFinite(waitMs) : isGranted === false && Number.isFinite(retryInMs);
}
