import type { Clock } from '../kernel/Clock.js';
import { delay } from '../kernel/delay.js';
import type { StopTimeoutError } from '../kernel/ServiceContainer.js';

/** Name that all log lines carry. */
const PACKAGE_NAME = 'monsoonglade';
/** Version of the line format, the one that `Log` writes. */
const LINE_FORMAT_VERSION = '2.0.0';
const LEVEL_INFO = 30;
const LEVEL_WARN = 40;
const LEVEL_ERROR = 50;
const MS_PER_SECOND = 1_000;
/** Longest wait for the services that have started when a start fails, in milliseconds. */
const FAILED_START_STOP_TIMEOUT_MS = 5_000;
/** Maximum number of uncaught errors that are logged in a period; all are counted. */
const MAX_UNCAUGHT_LINES = 50;
const UNCAUGHT_PERIOD_MS = 10_000;
/** Maximum length of an error's message in a log line, in characters. */
const MAX_MESSAGE_CHARACTERS = 500;
/** Maximum length of a stack trace in a log line, in characters. */
const MAX_STACK_CHARACTERS = 2_000;

/** Signals that stop the process. */
const STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT', 'SIGQUIT'];
/** Signal that reads the settings again. */
const RELOAD_SIGNAL = 'SIGHUP';
/**
 * Signals that nothing has to be done for. By default SIGUSR1 opens the debugger of Node.js to all users of the machine,
 * and the others end a process; programs for log rotation send SIGUSR2.
 */
const IGNORED_SIGNALS: readonly NodeJS.Signals[] = ['SIGUSR1', 'SIGUSR2', 'SIGALRM', 'SIGVTALRM'];

type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Destination of the lines of a `ProcessLifecycle`. */
export interface LifecycleOutput {
  /** Writes a line soon, without blocking. */
  writeLine(line: string): void;
  /** Waits a limited time until all lines are written. */
  flush(): Promise<void>;
  /** Writes a line at once, without blocking, while the process exits. */
  writeLastLine(line: string): void;
}

/** Exit code after a failed start and when the process has nothing left to do. */
export const EXIT_FAILED = 2;
/** Exit code after a stop in which a service did not stop in time. */
export const EXIT_STOP_TIMEOUT = 3;

/** Dependencies of a `ProcessLifecycle`. */
export interface ProcessLifecycleDependencies {
  /** Process to observe. */
  readonly target: NodeJS.Process;
  readonly clock: Clock;
  /** Destination of the log lines. */
  readonly output: LifecycleOutput;
  /** Whether the process reads its settings again on SIGHUP. */
  readonly canReload: boolean;
}

/** Handles the signals to a process and its uncaught errors, and logs them, its start and its end. */
export class ProcessLifecycle {
  private identity: LogFields = {};
  private endCause: string | undefined;
  private stopSignal: NodeJS.Signals | undefined;
  private stop: () => Promise<void> = () => Promise.resolve();
  private reload: (() => void) | undefined;
  private isReloadPending = false;
  private uncaughtCount = 0;
  private uncaughtLineCount = 0;
  private uncaughtPeriodStartMs = -Infinity;
  private notifyUncaughtError: (() => void) | undefined;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: ProcessLifecycleDependencies) {
    const { target } = deps;
    // Node.js reports unhandled rejections as uncaught exceptions too. An error in one task is no reason to end all others.
    target.on('uncaughtException', (error, origin) => this.handleUncaughtError(error, origin));
    target.on(RELOAD_SIGNAL, () => this.handleReloadSignal());
    for (const signal of STOP_SIGNALS) {
      target.on(signal, () => void this.handleStopSignal(signal));
    }
    for (const signal of IGNORED_SIGNALS) {
      target.on(signal, () => this.logSignal(signal, 'none'));
    }
  }

  /** Whether a signal to stop has been received. */
  get isStopping(): boolean {
    return this.stopSignal !== undefined;
  }

  /**
   * Sets what is done before the process exits on a signal; without it, the process exits at once.
   * @param stop - Stops the services, which may still be starting.
   */
  onStop(stop: () => Promise<void>): void {
    this.stop = stop;
  }

  /**
   * Sets what is done on SIGHUP, and does it if SIGHUP has been received before.
   * @param reload - Reads the settings again.
   */
  onReload(reload: () => void): void {
    this.reload = reload;
    if (this.isReloadPending) {
      this.isReloadPending = false;
      reload();
    }
  }

  /**
   * Sets what is done for each uncaught error, and does it for those that have occurred before.
   * @param notify - For example counts them.
   */
  onUncaughtError(notify: () => void): void {
    this.notifyUncaughtError = notify;
    for (let count = 0; count < this.uncaughtCount; count++) {
      notify();
    }
  }

  /** Logs that the process is starting and, when it exits, that it has ended. */
  logStartAndEnd(): void {
    const { target, output } = this.deps;
    this.log(LEVEL_INFO, 'process starting', { pid: target.pid, nodeVersion: target.version });
    target.on('exit', (exitCode) => {
      const code = this.endCause === undefined && exitCode === 0 ? EXIT_FAILED : exitCode;
      target.exitCode = code;
      const fields = { cause: this.endCause ?? 'nothing left to do', code };
      output.writeLastLine(this.formatLine(code === 0 ? LEVEL_INFO : LEVEL_WARN, 'process ended', fields));
    });
  }

  /**
   * Sets fields that all following lines carry.
   * @param identity - For example the id of the instance.
   */
  identify(identity: LogFields): void {
    this.identity = identity;
  }

  /** Logs that the process has started. */
  logStarted(): void {
    this.log(LEVEL_INFO, 'process started', {});
  }

  /**
   * Logs an error.
   * @param message - What failed, in a few words.
   * @param error - Value that was thrown.
   */
  logError(message: string, error: unknown): void {
    this.log(LEVEL_ERROR, message, describeError(error));
  }

  /**
   * Ends the process after an error during its start, and stops what has started; a stop in progress goes on instead.
   * @param error - Error of the start.
   */
  async failStart(error: unknown): Promise<void> {
    if (this.isStopping) {
      // The services refuse to start once they are being stopped.
      this.log(LEVEL_INFO, 'start given up', describeError(error));
      return;
    }
    this.logError('start failed', error);
    const timeout = delay(this.deps.clock, FAILED_START_STOP_TIMEOUT_MS);
    await Promise.race([
      this.stop().catch((reason: unknown) => this.logError('stop failed', reason)),
      timeout,
    ]);
    await this.exit('start failed', EXIT_FAILED);
  }

  /**
   * Exits.
   * @param cause - Cause, for the log.
   * @param code - Exit code.
   */
  async exit(cause: string, code: number): Promise<void> {
    this.endCause = cause;
    await this.deps.output.flush();
    this.deps.target.exit(code);
  }

  private handleUncaughtError(error: unknown, origin: string): void {
    this.uncaughtCount++;
    this.notifyUncaughtError?.();
    const nowMs = this.deps.clock.nowMs();
    if (nowMs - this.uncaughtPeriodStartMs >= UNCAUGHT_PERIOD_MS) {
      this.uncaughtPeriodStartMs = nowMs;
      this.uncaughtLineCount = 0;
    }
    if (++this.uncaughtLineCount <= MAX_UNCAUGHT_LINES) {
      const fields = { ...describeError(error), origin, count: this.uncaughtCount };
      this.log(LEVEL_ERROR, 'uncaught error', fields);
    }
  }

  private async handleStopSignal(signal: NodeJS.Signals): Promise<void> {
    if (this.stopSignal) {
      this.logSignal(signal, 'none: the process is stopping');
      return;
    }
    this.stopSignal = signal;
    this.logSignal(signal, 'stop');
    try {
      await this.stop();
    } catch (error) {
      this.logError('stop failed', error);
      if (isStopTimeout(error)) {
        await this.exit(`${signal}, stop not complete in time`, EXIT_STOP_TIMEOUT);
        return;
      }
    }
    await this.exit(signal, 0);
  }

  private handleReloadSignal(): void {
    if (!this.deps.canReload) {
      this.logSignal(RELOAD_SIGNAL, 'none: the settings are read at the start only');
      return;
    }
    if (this.reload) {
      this.logSignal(RELOAD_SIGNAL, 'read the settings');
      this.reload();
      return;
    }
    this.logSignal(RELOAD_SIGNAL, 'read the settings after the start');
    this.isReloadPending = true;
  }

  private logSignal(signal: NodeJS.Signals, action: string): void {
    this.log(LEVEL_INFO, 'signal received', { signal, action });
  }

  private log(level: number, message: string, fields: LogFields): void {
    this.deps.output.writeLine(this.formatLine(level, message, fields));
  }

  private formatLine(logLevel: number, message: string, fields: LogFields): string {
    const sinceStartMs = Math.round(this.deps.target.uptime() * MS_PER_SECOND);
    const context = { package: PACKAGE_NAME, ...this.identity, ...fields, sinceStartMs, logLevel };
    return JSON.stringify({ context, message, time: Date.now(), version: LINE_FORMAT_VERSION });
  }
}

/** Whether services have not stopped in time; their container may be bundled apart, with a class of its own. */
function isStopTimeout(error: unknown): error is StopTimeoutError {
  return error instanceof Error && 'serviceNames' in error;
}

/** Returns the fields of a thrown value, which may be anything. */
function describeError(error: unknown): LogFields {
  try {
    if (error instanceof Error) {
      const stack = (error.stack ?? '').slice(0, MAX_STACK_CHARACTERS);
      return { error: error.message.slice(0, MAX_MESSAGE_CHARACTERS), stack };
    }
    return { error: String(error).slice(0, MAX_MESSAGE_CHARACTERS) };
  } catch {
    return { error: 'an error that cannot be described' };
  }
}
