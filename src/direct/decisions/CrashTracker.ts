import type { ServerId } from '../../domain/index.js';
import { setNewest } from '../../kernel/setNewest.js';

/** Number of crashes at which a request is blocked. */
const MAX_CRASHES = 2;
/** Time after which the crash record of a request expires, in milliseconds. */
const RECORD_LIFETIME_MS = 60_000;
/**
 * Time within which lost connections to one server count as one crash, in milliseconds: a crash ends all requests that
 * run on the server.
 */
const SAME_CRASH_WINDOW_MS = 1_000;
/** Maximum number of request fingerprints with a record. */
const MAX_RECORDS = 1_000;

/** Crashes recorded for one request fingerprint. */
interface CrashRecord {
  /** Crashes since an equal request last completed. */
  count: number;
  updatedAtMs: number;
  readonly lastCrashAtMsByServer: Map<ServerId, number>;
  /** When an equal request last completed after a crash. */
  completedAtMs: number;
}

/**
 * Records the requests that run on a server when it crashes, and blocks requests that crash servers repeatedly.
 *
 * Equal requests share a fingerprint, and many harmless requests may be equal, such as reads without a body. Therefore
 * connections lost to one server within a short time count as one crash, and an equal request that completes resets the
 * count.
 */
export class CrashTracker {
  private readonly records = new Map<string, CrashRecord>();

  /**
   * Records that a server crashed while it ran a request, and returns the number of crashes so far.
   * @param fingerprint - Fingerprint of the request.
   * @param serverId - The server.
   * @param nowMs - Current time.
   */
  recordCrash(fingerprint: string, serverId: ServerId, nowMs: number): number {
    const record = this.getUnexpiredRecord(fingerprint, nowMs) ?? createRecord();
    const isSameCrash =
      nowMs - (record.lastCrashAtMsByServer.get(serverId) ?? -Infinity) < SAME_CRASH_WINDOW_MS;
    record.count += isSameCrash ? 0 : 1;
    record.lastCrashAtMsByServer.set(serverId, nowMs);
    record.updatedAtMs = nowMs;
    this.saveRecord(fingerprint, record);
    return record.count;
  }

  /**
   * Records that a request completed.
   * @param fingerprint - Fingerprint of the request.
   * @param otherRoutersCount - Crashes reported by other routers.
   * @param nowMs - Current time.
   */
  recordSuccess(fingerprint: string, otherRoutersCount: number, nowMs: number): void {
    const record = this.getUnexpiredRecord(fingerprint, nowMs);
    if (record || otherRoutersCount > 0) {
      this.saveRecord(fingerprint, { ...createRecord(), updatedAtMs: nowMs, completedAtMs: nowMs });
    }
  }

  /**
   * Whether a request must not be sent to another server.
   * @param fingerprint - Fingerprint of the request.
   * @param otherRoutersCount - Crashes reported by other routers.
   * @param nowMs - Current time.
   */
  isBlocked(fingerprint: string, otherRoutersCount: number, nowMs: number): boolean {
    const record = this.getUnexpiredRecord(fingerprint, nowMs);
    const isCleared = record !== undefined && nowMs - record.completedAtMs < RECORD_LIFETIME_MS;
    return Math.max(record?.count ?? 0, isCleared ? 0 : otherRoutersCount) >= MAX_CRASHES;
  }

  private getUnexpiredRecord(fingerprint: string, nowMs: number): CrashRecord | undefined {
    const record = this.records.get(fingerprint);
    return record && nowMs - record.updatedAtMs < RECORD_LIFETIME_MS ? record : undefined;
  }

  private saveRecord(fingerprint: string, record: CrashRecord): void {
    setNewest(this.records, fingerprint, record, MAX_RECORDS);
  }
}

function createRecord(): CrashRecord {
  return { count: 0, updatedAtMs: 0, lastCrashAtMsByServer: new Map(), completedAtMs: -Infinity };
}
