import type { Clock } from '../kernel/index.js';
import { QUARANTINE_PREFIX } from '../domain/index.js';
import type { ObjectStore } from '../platform/index.js';
import type { StateStore } from '../state/index.js';
import type { AuditTrail, Log } from '../telemetry/index.js';
import { QUARANTINE_MS, type CrashLedger } from './decisions/index.js';

/** What is kept under the quarantine prefix. */
export interface QuarantineRecord {
  readonly fingerprint: string;
  readonly modelId: string;
  readonly untilMs: number;
}

/** What the keeper is made of. */
export interface QuarantineStoreDependencies {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly state: StateStore;
  readonly audit: AuditTrail;
  readonly log: Log;
}

/** Makes quarantines known to all routers, and takes in those that others decided or operators cleared. */
export class QuarantineStore {
  /**
   * @param deps - What the keeper is made of.
   * @param crashes - Where quarantines count.
   */
  constructor(
    private readonly deps: QuarantineStoreDependencies,
    private readonly crashes: CrashLedger,
  ) {}

  /**
   * Makes a quarantine known.
   * @param fingerprint - Fingerprint of the request.
   * @param modelId - Model that it asked for.
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
  changed(path: string): void {
    const object = this.deps.state.get<QuarantineRecord>(path)?.value;
    if (object) {
      this.crashes.quarantine(object.fingerprint, object.untilMs);
      return;
    }
    this.crashes.clear(path.slice(QUARANTINE_PREFIX.length));
  }
}
