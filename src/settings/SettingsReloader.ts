import { PeriodicTask, type Clock, type Service } from '../kernel/index.js';
import type { Log } from '../telemetry/index.js';

/** Interval at which the settings are read without a signal, in milliseconds, since files may change without one. */
const READ_INTERVAL_MS = 5_000;
/** Maximum number of lines in a period about reads that change nothing, since signals may arrive at any rate. */
const MAX_UNCHANGED_LINES = 20;
const LINE_PERIOD_MS = 10_000;

/** Dependencies of a `SettingsReloader`. */
export interface SettingsReloaderDependencies<T> {
  readonly clock: Clock;
  readonly log: Log;
  /** Reads and validates the settings; throws when they are invalid. */
  readonly read: () => Promise<T>;
  /** Applies the settings; also called when they have not changed. */
  readonly apply: (settings: T) => void;
}

/** Read that follows the one in progress. */
interface NextRead {
  cause: string;
  readonly result: Promise<void>;
  readonly start: () => void;
}

/** Reloads settings on request and periodically; invalid settings leave the previous ones in use. */
export class SettingsReloader<T> implements Service {
  private readonly reloadTask: PeriodicTask;
  private appliedText: string | undefined;
  private isReading = false;
  private nextRead: NextRead | undefined;
  private linePeriodStartMs = -Infinity;
  private unchangedLineCount = 0;

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
   * Reads and applies the settings; resolves after a read that began after the call.
   * @param cause - Cause of the reload, for the log; with `interval`, unchanged settings are not logged.
   */
  reload(cause: string): Promise<void> {
    if (!this.isReading) {
      return this.read(cause);
    }
    // Reads that overlap may end in another order, and the older settings would be applied last.
    this.nextRead ??= this.createNextRead(cause);
    if (cause !== 'interval') {
      this.nextRead.cause = cause;
    }
    return this.nextRead.result;
  }

  private createNextRead(cause: string): NextRead {
    let resolve: (read: Promise<void>) => void = () => undefined;
    const result = new Promise<void>((resolveResult) => (resolve = resolveResult));
    const next = { cause, result, start: () => resolve(this.read(next.cause)) };
    return next;
  }

  private async read(cause: string): Promise<void> {
    const { read, apply, log } = this.deps;
    this.isReading = true;
    try {
      const settings = await read();
      const text = JSON.stringify(settings);
      const isChanged = this.appliedText !== undefined && text !== this.appliedText;
      this.appliedText = text;
      apply(settings);
      if (isChanged || (cause !== 'interval' && this.takeUnchangedLine())) {
        log.info('settings read', { cause, isChanged });
      }
    } catch (error) {
      if (this.takeUnchangedLine()) {
        log.warn('settings rejected, previous ones kept', { cause, error: (error as Error).message });
      }
    } finally {
      this.isReading = false;
      this.startNextRead();
    }
  }

  private startNextRead(): void {
    const next = this.nextRead;
    this.nextRead = undefined;
    next?.start();
  }

  /** Returns whether a line about a read that changed nothing may be logged, and counts it. */
  private takeUnchangedLine(): boolean {
    const nowMs = this.deps.clock.nowMs();
    if (nowMs - this.linePeriodStartMs >= LINE_PERIOD_MS) {
      this.linePeriodStartMs = nowMs;
      this.unchangedLineCount = 0;
    }
    return ++this.unchangedLineCount <= MAX_UNCHANGED_LINES;
  }
}
