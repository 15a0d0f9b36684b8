import type { Clock, Service } from '../kernel/index.js';
import { PeriodicTask } from '../kernel/index.js';
import { AUDIT_PREFIX } from '../domain/index.js';
import type { ObjectStore } from '../platform/index.js';

/** Time for which changes gather before they are written together, in milliseconds. */
const FLUSH_INTERVAL_MS = 1_000;
/** Most changes kept while the platform is unavailable; the oldest go first. */
const MAX_PENDING = 10_000;
/** Most changes in one object. */
const MAX_PER_OBJECT = 500;

/** What was changed. */
export type AuditKind = 'configuration' | 'placement' | 'drain' | 'quarantine' | 'budget';

/** One change. */
export interface AuditEntry {
  readonly atMs: number;
  readonly who: string;
  readonly kind: AuditKind;
  readonly subject: string;
  readonly cause: string;
  /** Version of the changed object after the change. */
  readonly revision: number;
}

/** Keeps a trail of changes in the platform, a batch to an object. */
export class AuditTrail implements Service {
  private readonly pending: AuditEntry[] = [];
  private readonly repeater: PeriodicTask;
  private batchNumber = 0;
  private flushing = false;
  private batch: AuditBatch | undefined;

  /**
   * @param store - The object API.
   * @param clock - Source of time.
   * @param who - Process or operator that makes the changes.
   */
  constructor(
    private readonly store: ObjectStore,
    private readonly clock: Clock,
    private readonly who: string,
  ) {
    this.repeater = new PeriodicTask(clock, FLUSH_INTERVAL_MS, () => void this.flush());
  }

  start(): Promise<void> {
    this.repeater.start();
    return Promise.resolve();
  }

  async stop(): Promise<void> {
    this.repeater.stop();
    await this.flush();
  }

  /**
   * Notes a change.
   * @param kind - What was changed.
   * @param subject - Which one.
   * @param cause - Why, in a few words.
   * @param revision - Version of the changed object.
   */
  record(kind: AuditKind, subject: string, cause: string, revision: number): void {
    this.pending.push({ atMs: this.clock.nowMs(), who: this.who, kind, subject, cause, revision });
    if (this.pending.length > MAX_PENDING) {
      this.pending.shift();
    }
  }

  /** Writes what is pending; a batch without an answer is written again to the same path, where it can't double. */
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

/** Changes on their way to one object. */
interface AuditBatch {
  readonly path: string;
  readonly entries: readonly AuditEntry[];
}
