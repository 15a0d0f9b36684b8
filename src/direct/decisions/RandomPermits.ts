import type { ServerId } from '../../domain/index.js';
import type { Random } from '../../kernel/index.js';
import { setNewest } from '../../kernel/setNewest.js';
import { MAX_BUCKETS, MAX_RETRY_MS, MIN_PERMITS_PER_SECOND, type PermitDecision } from './PermitBuckets.js';

/** Time for which a permit may be used, in milliseconds. Permits that were kept would be used by many routers at once. */
const PERMIT_LIFETIME_MS = 500;
/** Share of the limit that is used, so that the random sum over all routers stays near it at most. */
const USED_SHARE = 0.75;
const MS_PER_SECOND = 1_000;

/**
 * Issues the permits of one of many routers for a server that accepts fewer requests than there are routers, where no agent sees
 * the sum. A router's share is less than a request now and then, so its permits come at random times: at the same rate as
 * an equal share, and independent of those of the other routers.
 */
export class RandomPermits {
  /** When the next permit of each server can be used first. */
  private readonly nextAtMs = new Map<ServerId, number>();

  /** @param random - Source of random times. */
  constructor(private readonly random: Random) {}

  /**
   * Decides on a permit for a request.
   * @param serverId - Server of the request.
   * @param maxRequestsPerSecond - Limit of the server.
   * @param routerCount - Number of routers that share it.
   * @param maxWaitMs - Time that the request may wait, in milliseconds.
   * @param nowMs - Current time.
   */
  take(
    serverId: ServerId,
    maxRequestsPerSecond: number,
    routerCount: number,
    maxWaitMs: number,
    nowMs: number,
  ): PermitDecision {
    const permitsPerSecond = USED_SHARE * Math.max(MIN_PERMITS_PER_SECOND, maxRequestsPerSecond);
    const meanMs = (MS_PER_SECOND * routerCount) / permitsPerSecond;
    let nextAtMs = this.nextAtMs.get(serverId) ?? nowMs + this.random.exponential(meanMs);
    while (nextAtMs + PERMIT_LIFETIME_MS <= nowMs) {
      nextAtMs += this.random.exponential(meanMs);
    }
    const waitMs = Math.max(0, nextAtMs - nowMs);
    const isGranted = waitMs <= maxWaitMs;
    const afterMs = isGranted ? Math.max(nowMs, nextAtMs) + this.random.exponential(meanMs) : nextAtMs;
    setNewest(this.nextAtMs, serverId, afterMs, MAX_BUCKETS);
    return isGranted
      ? { isGranted: true, waitMs }
      : { isGranted: false, retryInMs: Math.min(MAX_RETRY_MS, waitMs) };
  }
}
