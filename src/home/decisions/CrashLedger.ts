/** Time after which a suspicion is dropped, in milliseconds. */
const SUSPICION_MS = 600_000;
/** Time that a quarantine lasts, in milliseconds. */
export const QUARANTINE_MS = 3_600_000;

/** What is thought of a request. */
export type Suspicion = 'none' | 'suspect' | 'quarantined';

interface Mark {
  readonly suspicion: 'suspect' | 'quarantined';
  readonly untilMs: number;
}

/** Remembers which requests were running when a backend server crashed. */
export class CrashLedger {
  private readonly marks = new Map<string, Mark>();

  /**
   * Tells what is thought of a request.
   * @param fingerprint - The request's fingerprint, which includes the organisation.
   * @param nowMs - Time now.
   */
  getSuspicion(fingerprint: string, nowMs: number): Suspicion {
    const mark = this.marks.get(fingerprint);
    if (mark && mark.untilMs <= nowMs) {
      this.marks.delete(fingerprint);
      return 'none';
    }
    return mark?.suspicion ?? 'none';
  }

  /**
   * Notes that a server crashed while a request ran on it; the second crash quarantines the request.
   * @param fingerprint - The request's fingerprint.
   * @param nowMs - Time now.
   */
  recordCrash(fingerprint: string, nowMs: number): Suspicion {
    if (this.getSuspicion(fingerprint, nowMs) === 'none') {
      this.marks.set(fingerprint, { suspicion: 'suspect', untilMs: nowMs + SUSPICION_MS });
      return 'suspect';
    }
    this.quarantine(fingerprint, nowMs + QUARANTINE_MS);
    return 'quarantined';
  }

  /** @param fingerprint - Fingerprint of a request that ran to its end. */
  recordSuccess(fingerprint: string): void {
    if (this.marks.get(fingerprint)?.suspicion === 'suspect') {
      this.marks.delete(fingerprint);
    }
  }

  /**
   * Quarantines a request.
   * @param fingerprint - The request's fingerprint.
   * @param untilMs - When the quarantine ends.
   */
  quarantine(fingerprint: string, untilMs: number): void {
    this.marks.set(fingerprint, { suspicion: 'quarantined', untilMs });
  }

  /** @param fingerprint - Fingerprint that an operator cleared. */
  clear(fingerprint: string): void {
    this.marks.delete(fingerprint);
  }
}
