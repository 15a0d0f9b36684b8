import type { Clock, Service } from '../kernel/index.js';
import { PeriodicTask } from '../kernel/index.js';
import { AUDIT_PREFIX } from '../domain/index.js';
import type { ObjectStore } from '../platform/index.js';

/** Interval at which pending entries are written together, in milliseconds. */
const FLUSH_INTERVAL_MS = 1_000;
/** Maximum number of pending entries while the platform is unavailable; the oldest are dropped first. */
const MAX_PENDING = 10_000;
/** Maximum number of entries in one object. */
const MAX_PER_OBJECT = 500;

/** Kind of the changed object. */
export type AuditKind = 'configuration' | 'placement' | 'drain' | 'quarantine' | 'budget';

/** One recorded change. */
export interface AuditEntry {
  readonly atMs: number;
  readonly who: string;
  readonly kind: AuditKind;
  readonly subject: string;
  readonly cause: string;
  /** Version of the changed object after the change. */
  readonly revision: number;
}

/** Records changes in the platform, one batch of entries per object. */
export class AuditTrail implements Service {
  private readonly pending: AuditEntry[] = [];
  private readonly flushTask: PeriodicTask;
  private batchNumber = 0;
  private flushing = false;
  private batch: AuditBatch | undefined;

  /**
   * @param store - Object store of the platform.
   * @param clock - Source of time.
   * @param who - Process or operator that makes the changes.
   */
  constructor(
    private readonly store: ObjectStore,
    private readonly clock: Clock,
    private readonly who: string,
  ) {
    this.flushTask = new PeriodicTask(clock, FLUSH_INTERVAL_MS, () => void this.flush());
  }

  start(): Promise<void> {
    this.flushTask.start();
    return Promise.resolve();
  }

  async stop(): Promise<void> {
    this.flushTask.stop();
    await this.flush();
  }

  /**
   * Queues an entry for the next flush.
   * @param kind - Kind of the changed object.
   * @param subject - Name of the changed object.
   * @param cause - Cause of the change, in a few words.
   * @param revision - Version of the changed object.
   */
  record(kind: AuditKind, subject: string, cause: string, revision: number): void {
    this.pending.push({ atMs: this.clock.nowMs(), who: this.who, kind, subject, cause, revision });
    if (this.pending.length > MAX_PENDING) {
      this.pending.shift();
    }
  }

  /** Writes pending entries; a batch without a response is retried at the same path and so never stored twice. */
  async flush(): Promise<void> {
    if (this.flushing) {
      return;
    }
    this.flushing = true;
    this.batch ??= this.nextBatch();
    while (this.batch) {
      const result = await this.store.update(this.batch.path, { entries: this.batch.entries }, 0);
      if (result.kind === 'unavailable' || result.kind === 'unknown') {
        break;
      }
      this.batch = this.nextBatch();
    }
    this.flushing = false;
  }

  private nextBatch(): AuditBatch | undefined {
    if (this.pending.length === 0) {
      return undefined;
    }
    const nowMs = this.clock.nowMs();
    const day = new Date(nowMs).toISOString().slice(0, 10);
    const path = `${AUDIT_PREFIX}${day}/${this.who}-${nowMs}-${++this.batchNumber}`;
    return { path, entries: this.pending.splice(0, MAX_PER_OBJECT) };
  }
}

/** Entries that are being written to one object. */
interface AuditBatch {
  readonly path: string;
  readonly entries: readonly AuditEntry[];
}
