import { PeriodicTask, type Clock, type Service } from '../kernel/index.js';
import type { Log } from '../telemetry/index.js';

/** Interval at which the settings are read although no signal came, in milliseconds; files may change without one. */
const READ_INTERVAL_MS = 5_000;

/** What the reloader is made of. */
export interface SettingsReloaderDependencies<T> {
  readonly clock: Clock;
  readonly log: Log;
  /** Reads the settings; throws what is wrong with them. */
  readonly read: () => Promise<T>;
  /** Puts changed settings into force. */
  readonly apply: (settings: T) => void;
}

/** Reads settings again on a signal and from time to time; wrong ones leave those before in force. */
export class SettingsReloader<T> implements Service {
  private readonly repeater: PeriodicTask;
  private inForce: string | undefined;

  /** @param deps - What the reloader is made of. */
  constructor(private readonly deps: SettingsReloaderDependencies<T>) {
    this.repeater = new PeriodicTask(deps.clock, READ_INTERVAL_MS, () => void this.reload('interval'));
  }

  start(): Promise<void> {
    this.repeater.start();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.repeater.stop();
    return Promise.resolve();
  }

  /**
   * Reads the settings again.
   * @param cause - Why, for the log.
   */
  async reload(cause: string): Promise<void> {
    const { read, apply, log } = this.deps;
    try {
      const settings = await read();
      const text = JSON.stringify(settings);
      const isChanged = this.inForce !== undefined && text !== this.inForce;
      this.inForce = text;
      apply(settings);
      if (isChanged || cause !== 'interval') {
        log.info('settings read', { cause, isChanged });
      }
    } catch (error) {
      log.warn('settings not taken', { cause, error: (error as Error).message });
    }
  }
}
