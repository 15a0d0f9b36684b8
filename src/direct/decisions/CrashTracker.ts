import { setNewest } from '../../kernel/setNewest.js';
import { CrashRecords, isBlockingCount, type AttemptLoss } from './CrashRecords.js';
import type { PermitDecision } from './PermitBuckets.js';

/** Time for which crashes that others report of a request do not count after an equal one has completed, in milliseconds. */
const COMPLETION_LIFETIME_MS = 60_000;
/** Time for which a router waits for the decision on a trial before it asks again, in milliseconds. */
const DECISION_TIMEOUT_MS = 1_000;
/** Maximum number of fingerprints for which a completion or a trial is stored. */
const MAX_FINGERPRINTS = 1_000;

/**
 * Records, at one router, the requests that run on a server when it crashes, and blocks requests that crash servers repeatedly.
 *
 * Equal requests share a fingerprint, and many harmless requests may be equal, such as reads without a body. Therefore an
 * equal request that completes resets the count, and a blocked one is tried again now and then.
 */
export class CrashTracker {
  private readonly records = new CrashRecords();
  /** When requests with crashes last completed. */
  private readonly completedAtMs = new Map<string, number>();
  /** Times before which no trial of a blocked request is asked for. */
  private readonly askAgainAtMs = new Map<string, number>();

  /**
   * Records that an attempt was lost because its server may have crashed, and returns the number of crashes so far.
   * @param fingerprint - Fingerprint of the request.
   * @param loss - The loss.
   * @param nowMs - Current time.
   */
  recordCrash(fingerprint: string, loss: AttemptLoss, nowMs: number): number {
    return this.records.recordLoss(fingerprint, loss, nowMs);
  }

  /**
   * Records that a request completed; returns whether crashes of equal ones were known.
   * @param fingerprint - Fingerprint of the request.
   * @param otherRoutersCount - Crashes reported by other routers.
   * @param nowMs - Current time.
   */
  recordSuccess(fingerprint: string, otherRoutersCount: number, nowMs: number): boolean {
    const hadRecord = this.records.clear(fingerprint);
    if (!hadRecord && otherRoutersCount === 0) {
      return false;
    }
    this.askAgainAtMs.delete(fingerprint);
    setNewest(this.completedAtMs, fingerprint, nowMs, MAX_FINGERPRINTS);
    return true;
  }

  /**
   * Records that a request completed at another router, which knows of crashes.
   * @param fingerprint - Fingerprint of the request.
   * @param nowMs - Current time.
   */
  applyCompletion(fingerprint: string, nowMs: number): void {
    this.recordSuccess(fingerprint, 1, nowMs);
  }

  /**
   * Whether a request must not be sent to another server.
   * @param fingerprint - Fingerprint of the request.
   * @param otherRoutersCount - Crashes reported by other routers.
   * @param nowMs - Current time.
   */
  isBlocked(fingerprint: string, otherRoutersCount: number, nowMs: number): boolean {
    return isBlockingCount(this.getCount(fingerprint, otherRoutersCount, nowMs));
  }

  /**
   * Returns the number of crashes of a request.
   * @param fingerprint - Fingerprint of the request.
   * @param otherRoutersCount - Crashes reported by other routers.
   * @param nowMs - Current time.
   */
  getCount(fingerprint: string, otherRoutersCount: number, nowMs: number): number {
    const completedAtMs = this.completedAtMs.get(fingerprint) ?? -Infinity;
    const isCleared = nowMs - completedAtMs < COMPLETION_LIFETIME_MS;
    return Math.max(this.records.getCount(fingerprint, nowMs), isCleared ? 0 : otherRoutersCount);
  }

  /**
   * Whether to ask for a trial of a blocked request now; the next call returns false until the decision on it is recorded.
   * @param fingerprint - Fingerprint of the request.
   * @param nowMs - Current time.
   */
  beginAsking(fingerprint: string, nowMs: number): boolean {
    if (nowMs < (this.askAgainAtMs.get(fingerprint) ?? -Infinity)) {
      return false;
    }
    setNewest(this.askAgainAtMs, fingerprint, nowMs + DECISION_TIMEOUT_MS, MAX_FINGERPRINTS);
    return true;
  }

  /**
   * Records the decision on a trial.
   * @param fingerprint - Fingerprint of the request.
   * @param decision - The decision.
   * @param nowMs - Current time.
   */
  recordDecision(fingerprint: string, decision: PermitDecision, nowMs: number): void {
    if (!decision.isGranted) {
      setNewest(this.askAgainAtMs, fingerprint, nowMs + decision.retryInMs, MAX_FINGERPRINTS);
    }
  }

  /**
   * Decides on a trial of a blocked request where no agent does.
   * @param fingerprint - Fingerprint of the request.
   * @param crashCount - Number of its crashes.
   * @param routerCount - Number of routers that decide alike.
   * @param nowMs - Current time.
   */
  takeTrial(fingerprint: string, crashCount: number, routerCount: number, nowMs: number): PermitDecision {
    return this.records.takeTrial(fingerprint, crashCount, routerCount, nowMs);
  }
}
