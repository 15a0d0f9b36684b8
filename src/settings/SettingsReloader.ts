import { PeriodicTask, type Clock, type Service } from '../kernel/index.js';
import type { Log } from '../telemetry/index.js';

/** Interval at which the settings are read without a signal, in milliseconds, since files may change without one. */
const READ_INTERVAL_MS = 5_000;

/** Dependencies of a `SettingsReloader`. */
export interface SettingsReloaderDependencies<T> {
  readonly clock: Clock;
  readonly log: Log;
  /** Reads and validates the settings; throws when they are invalid. */
  readonly read: () => Promise<T>;
  /** Applies the settings; also called when they have not changed. */
  readonly apply: (settings: T) => void;
}

/** Reloads settings on request and periodically; invalid settings leave the previous ones in use. */
export class SettingsReloader<T> implements Service {
  private readonly reloadTask: PeriodicTask;
  private appliedText: string | undefined;

  /** @param deps - Dependencies of the reloader. */
  constructor(private readonly deps: SettingsReloaderDependencies<T>) {
    this.reloadTask = new PeriodicTask(deps.clock, READ_INTERVAL_MS, () => void this.reload('interval'));
  }

  start(): Promise<void> {
    this.reloadTask.start();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.reloadTask.stop();
    return Promise.resolve();
  }

  /**
   * Reads and applies the settings.
   * @param cause - Cause of the reload, for the log; with `interval`, unchanged settings are not logged.
   */
  async reload(cause: string): Promise<void> {
    const { read, apply, log } = this.deps;
    try {
      const settings = await read();
      const text = JSON.stringify(settings);
      const isChanged = this.appliedText !== undefined && text !== this.appliedText;
      this.appliedText = text;
      apply(settings);
      if (isChanged || cause !== 'interval') {
        log.info('settings read', { cause, isChanged });
      }
    } catch (error) {
      log.warn('settings rejected, previous ones kept', { cause, error: (error as Error).message });
    }
  }
}
