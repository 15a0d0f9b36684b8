/** Crashes after which a request reaches no more servers. */
const MAX_CRASHES = 2;
/** Time for which a crash is remembered, in milliseconds. */
const MEMORY_MS = 60_000;
/** Most requests that are remembered. */
const MAX_REMEMBERED = 1_000;

/** Remembers requests on which servers broke off, so that one that crashes its servers is stopped. */
export class CrashSuspects {
  private readonly suspects = new Map<string, { count: number; atMs: number }>();

  /**
   * Notes that a server broke off while it ran a request; gives the number of times so far.
   * @param fingerprint - Fingerprint of the request.
   * @param nowMs - Time now.
   */
  noteBreak(fingerprint: string, nowMs: number): number {
    const count = this.countOf(fingerprint, nowMs) + 1;
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, { count, atMs: nowMs });
    const oldest = this.suspects.keys().next();
    if (this.suspects.size > MAX_REMEMBERED && oldest.done !== true) {
      this.suspects.delete(oldest.value);
    }
    return count;
  }

  /**
   * Whether a request must not reach another server.
   * @param fingerprint - Fingerprint of the request.
   * @param othersCount - Breaks that other routers told of.
   * @param nowMs - Time now.
   */
  isStopped(fingerprint: string, othersCount: number, nowMs: number): boolean {
    return Math.max(this.countOf(fingerprint, nowMs), othersCount) >= MAX_CRASHES;
  }

  private countOf(fingerprint: string, nowMs: number): number {
    const suspect = this.suspects.get(fingerprint);
    return suspect && nowMs - suspect.atMs < MEMORY_MS ? suspect.count : 0;
  }
}
