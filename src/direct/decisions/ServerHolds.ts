import type { ServerId } from '../../domain/index.js';
import type { ServerIncarnation } from './ServerRetirements.js';

/** Longest hold that is applied, in milliseconds; bounds the effect of an implausible value. */
const MAX_HOLD_MS = 60_000;

/** Period in which an incarnation of a server accepts no requests of this router. */
interface ServerHold {
  readonly bornAtMs: number;
  readonly untilMs: number;
}

/** Periods for which servers have asked this router to send them no requests. */
export class ServerHolds {
  private readonly holds = new Map<ServerId, ServerHold>();

  /**
   * Starts a hold, or extends the current one.
   * @param server - Incarnation that turned a request away.
   * @param forMs - Time for which it accepts no requests, in milliseconds.
   * @param nowMs - Current time.
   */
  hold({ serverId, bornAtMs }: ServerIncarnation, forMs: number, nowMs: number): void {
    const current = this.holds.get(serverId);
    const isSameIncarnation = current?.bornAtMs === bornAtMs;
    const untilMs = Math.max(
      nowMs + Math.min(MAX_HOLD_MS, forMs),
      isSameIncarnation ? current.untilMs : -Infinity,
    );
    this.holds.set(serverId, { bornAtMs, untilMs });
    this.discardEnded(nowMs);
  }

  /**
   * Returns the remaining time of a server's hold in milliseconds; 0 if there is none.
   * @param server - The incarnation.
   * @param nowMs - Current time.
   */
  getRemainingMs({ serverId, bornAtMs }: ServerIncarnation, nowMs: number): number {
    const hold = this.holds.get(serverId);
    return hold?.bornAtMs === bornAtMs ? Math.max(0, hold.untilMs - nowMs) : 0;
  }

  private discardEnded(nowMs: number): void {
    for (const [serverId, { untilMs }] of this.holds) {
      if (nowMs >= untilMs) {
        this.holds.delete(serverId);
      }
    }
  }
}
