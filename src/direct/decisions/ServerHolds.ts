import type { ServerId } from '../../domain/index.js';

/** Longest hold that is applied, in milliseconds; bounds the effect of an implausible value. */
const MAX_HOLD_MS = 86_400_000;

/**
 * Periods in which servers want no requests. A hold applies to all incarnations of its
 * server, since an answer may come from a newer one than the router knows.
 */
export class ServerHolds {
  private readonly untilMsByServer = new Map<ServerId, number>();

  /**
   * Starts a hold, or extends the current one.
   * @param serverId - Server that turned a request away.
   * @param forMs - Time for which it accepts no requests, in milliseconds.
   * @param nowMs - Current time.
   */
  hold(serverId: ServerId, forMs: number, nowMs: number): void {
    const untilMs = nowMs + Math.min(MAX_HOLD_MS, forMs);
    this.untilMsByServer.set(serverId, Math.max(untilMs, this.untilMsByServer.get(serverId) ?? -Infinity));
    this.discardEnded(nowMs);
  }

  /**
   * Returns the remaining time of a server's hold in milliseconds; 0 if there is none.
   * @param serverId - The server.
   * @param nowMs - Current time.
   */
  getRemainingMs(serverId: ServerId, nowMs: number): number {
    return Math.max(0, (this.untilMsByServer.get(serverId) ?? -Infinity) - nowMs);
  }

  /**
   * Returns the servers with a hold and the remaining time of each, in milliseconds.
   * @param nowMs - Current time.
   */
  getHeld(nowMs: number): ReadonlyMap<ServerId, number> {
    const remainingMs = new Map<ServerId, number>();
    for (const [serverId, untilMs] of this.untilMsByServer) {
      if (untilMs > nowMs) {
        remainingMs.set(serverId, untilMs - nowMs);
      }
    }
    return remainingMs;
  }

  private discardEnded(nowMs: number): void {
    for (const [serverId, untilMs] of this.untilMsByServer) {
      if (nowMs >= untilMs) {
        this.untilMsByServer.delete(serverId);
      }
    }
  }
}
