import type { Clock } from '../kernel/index.js';
import { QUARANTINE_PREFIX } from '../domain/index.js';
import type { ObjectStore } from '../platform/index.js';
import type { StateStore } from '../state/index.js';
import type { AuditTrail, Log } from '../telemetry/index.js';
import { QUARANTINE_MS, type CrashLedger } from './decisions/index.js';

/** Object stored under the quarantine prefix. */
export interface QuarantineRecord {
  readonly fingerprint: string;
  readonly modelId: string;
  readonly untilMs: number;
}

/** Dependencies of the quarantine store. */
export interface QuarantineStoreDependencies {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly state: StateStore;
  readonly audit: AuditTrail;
  readonly log: Log;
}

/** Stores quarantines in the platform for all routers, and applies changes by other routers and operators. */
export class QuarantineStore {
  /**
   * @param deps - Dependencies of the store.
   * @param crashes - Ledger that the quarantines are applied to.
   */
  constructor(
    private readonly deps: QuarantineStoreDependencies,
    private readonly crashes: CrashLedger,
  ) {}

  /**
   * Stores a quarantine.
   * @param fingerprint - Fingerprint of the request.
   * @param modelId - Model of the request.
   */
  async add(fingerprint: string, modelId: string): Promise<void> {
    const value: QuarantineRecord = {
      fingerprint,
      modelId,
      untilMs: this.deps.clock.nowMs() + QUARANTINE_MS,
    };
    this.deps.log.warn('request quarantined', { modelId });
    const path = QUARANTINE_PREFIX + fingerprint;
    const current = await this.deps.store.read(path);
    const ifVersion = current.kind === 'found' ? current.object.version : 0;
    const result = await this.deps.store.update(path, value, ifVersion);
    const revision = result.kind === 'written' ? result.version : 0;
    this.deps.audit.record('quarantine', fingerprint, 'crashed a backend server twice', revision);
  }

  /** @param path - Path of a quarantine object that changed. */
  onObjectChange(path: string): void {
    const object = this.deps.state.get<QuarantineRecord>(path)?.value;
    if (object) {
      this.crashes.quarantine(object.fingerprint, object.untilMs);
      return;
    }
    this.crashes.clear(path.slice(QUARANTINE_PREFIX.length));
  }
}
