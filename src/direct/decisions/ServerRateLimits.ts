import type { ServerId } from '../../domain/index.js';
import { setNewest } from '../../kernel/setNewest.js';

/** Maximum number of servers with a limit; the oldest record is discarded first. */
const MAX_LIMITS = 5_000;

/**
 * Limits on the rate of requests that servers have named, as far as this router knows. A limit applies to all incarnations
 * of its server, since an answer may come from a newer one than the router knows.
 */
export class ServerRateLimits {
  private readonly limits = new Map<ServerId, number>();

  /**
   * Records what a server states; returns whether that is a change.
   * @param serverId - The server.
   * @param maxRequestsPerSecond - Number of requests per second from all routers together; infinite if it names no limit.
   */
  record(serverId: ServerId, maxRequestsPerSecond: number): boolean {
    if ((this.limits.get(serverId) ?? Infinity) === maxRequestsPerSecond) {
      return false;
    }
    if (Number.isFinite(maxRequestsPerSecond)) {
      setNewest(this.limits, serverId, maxRequestsPerSecond, MAX_LIMITS);
    } else {
      this.limits.delete(serverId);
    }
    return true;
  }

  /**
   * Returns the limit of a server in requests per second; undefined if it names none.
   * @param serverId - The server.
   */
  get(serverId: ServerId): number | undefined {
    return this.limits.get(serverId);
  }
}

/**
 * Returns the fields of a log line that describe a limit.
 * @param maxRequestsPerSecond - Number of requests per second; infinite or null if the server names no limit.
 */
export function describeRateLimit(maxRequestsPerSecond: number | null): Record<string, number | boolean> {
  return maxRequestsPerSecond === null || !Number.isFinite(maxRequestsPerSecond)
    ? { isLimited: false }
    : { isLimited: true, maxRequestsPerSecond };
}
