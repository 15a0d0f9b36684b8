import type { ServerId } from '../../domain/index.js';

/** Crashes after which a request reaches no more servers. */
const MAX_CRASHES = 2;
/** Time for which a crash is remembered, in milliseconds. */
const MEMORY_MS = 60_000;
/** Time within which breaks at one server are one crash, in milliseconds: it takes all that it runs along. */
const SAME_CRASH_MS = 1_000;
/** Most requests that are remembered. */
const MAX_REMEMBERED = 1_000;

/** What is remembered of one request. */
interface Suspect {
  /** Crashes since an equal request was last served. */
  count: number;
  atMs: number;
  readonly brokeAtMs: Map<ServerId, number>;
  /** When an equal request was last served after a break. */
  servedAtMs: number;
}

/**
 * Remembers requests on which servers broke off, so that one that crashes its servers is stopped.
 *
 * Equal requests share a fingerprint, and many innocent ones may be equal (reads without a body). So breaks at one server
 * within a moment are one crash, and an equal request that is served clears them all.
 */
export class CrashTracker {
  private readonly suspects = new Map<string, Suspect>();

  /**
   * Notes that a server broke off while it ran a request; gives the number of crashes so far.
   * @param fingerprint - Fingerprint of the request.
   * @param serverId - The server.
   * @param nowMs - Time now.
   */
  recordCrash(fingerprint: string, serverId: ServerId, nowMs: number): number {
    const suspect = this.getCurrent(fingerprint, nowMs) ?? newSuspect();
    const isSameCrash = nowMs - (suspect.brokeAtMs.get(serverId) ?? -Infinity) < SAME_CRASH_MS;
    suspect.count += isSameCrash ? 0 : 1;
    suspect.brokeAtMs.set(serverId, nowMs);
    suspect.atMs = nowMs;
    this.remember(fingerprint, suspect);
    return suspect.count;
  }

  /**
   * Notes that a request was served to its end.
   * @param fingerprint - Fingerprint of the request.
   * @param othersCount - Crashes that other routers told of.
   * @param nowMs - Time now.
   */
  recordSuccess(fingerprint: string, othersCount: number, nowMs: number): void {
    const suspect = this.getCurrent(fingerprint, nowMs);
    if (suspect || othersCount > 0) {
      this.remember(fingerprint, { ...newSuspect(), atMs: nowMs, servedAtMs: nowMs });
    }
  }

  /**
   * Whether a request must not reach another server.
   * @param fingerprint - Fingerprint of the request.
   * @param othersCount - Crashes that other routers told of.
   * @param nowMs - Time now.
   */
  isBlocked(fingerprint: string, othersCount: number, nowMs: number): boolean {
    const suspect = this.getCurrent(fingerprint, nowMs);
    const isCleared = suspect !== undefined && nowMs - suspect.servedAtMs < MEMORY_MS;
    return Math.max(suspect?.count ?? 0, isCleared ? 0 : othersCount) >= MAX_CRASHES;
  }

  private getCurrent(fingerprint: string, nowMs: number): Suspect | undefined {
    const suspect = this.suspects.get(fingerprint);
    return suspect && nowMs - suspect.atMs < MEMORY_MS ? suspect : undefined;
  }

  private remember(fingerprint: string, suspect: Suspect): void {
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, suspect);
    const oldest = this.suspects.keys().next();
    if (this.suspects.size > MAX_REMEMBERED && oldest.done !== true) {
      this.suspects.delete(oldest.value);
    }
  }
}

function newSuspect(): Suspect {
  return { count: 0, atMs: 0, brokeAtMs: new Map(), servedAtMs: -Infinity };
}
