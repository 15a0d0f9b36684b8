/** Time after which a single crash no longer counts, in milliseconds. */
const SUSPECT_RETENTION_MS = 600_000;
/** Duration of a quarantine, in milliseconds. */
export const QUARANTINE_MS = 3_600_000;

/** Status of a request by the crashes recorded for its fingerprint. */
export type CrashStatus = 'none' | 'suspect' | 'quarantined';

interface CrashEntry {
  readonly status: 'suspect' | 'quarantined';
  readonly untilMs: number;
}

/** Records the fingerprints of requests that were running when a backend server crashed. */
export class CrashLedger {
  private readonly entries = new Map<string, CrashEntry>();

  /**
   * Returns the crash status of a request.
   * @param fingerprint - The request's fingerprint, which includes the organisation.
   * @param nowMs - Time now.
   */
  getCrashStatus(fingerprint: string, nowMs: number): CrashStatus {
    const entry = this.entries.get(fingerprint);
    if (entry && entry.untilMs <= nowMs) {
      this.entries.delete(fingerprint);
      return 'none';
    }
    return entry?.status ?? 'none';
  }

  /**
   * Records that a server crashed while a request ran on it; the second crash quarantines the request.
   * @param fingerprint - The request's fingerprint.
   * @param nowMs - Time now.
   */
  recordCrash(fingerprint: string, nowMs: number): CrashStatus {
    if (this.getCrashStatus(fingerprint, nowMs) === 'none') {
      this.entries.set(fingerprint, { status: 'suspect', untilMs: nowMs + SUSPECT_RETENTION_MS });
      return 'suspect';
    }
    this.quarantine(fingerprint, nowMs + QUARANTINE_MS);
    return 'quarantined';
  }

  /** @param fingerprint - Fingerprint of a request that completed. */
  recordSuccess(fingerprint: string): void {
    if (this.entries.get(fingerprint)?.status === 'suspect') {
      this.entries.delete(fingerprint);
    }
  }

  /**
   * Quarantines a request.
   * @param fingerprint - The request's fingerprint.
   * @param untilMs - When the quarantine ends.
   */
  quarantine(fingerprint: string, untilMs: number): void {
    this.entries.set(fingerprint, { status: 'quarantined', untilMs });
  }

  /** @param fingerprint - Fingerprint whose quarantine an operator cleared. */
  clear(fingerprint: string): void {
    this.entries.delete(fingerprint);
  }
}
