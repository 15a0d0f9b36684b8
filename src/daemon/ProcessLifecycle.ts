/** Name that all log lines carry. */
const PACKAGE_NAME = 'monsoonglade';
/** Version of the line format, the one that `Log` writes. */
const LINE_FORMAT_VERSION = '2.0.0';
const LEVEL_INFO = 30;
const LEVEL_WARN = 40;
const LEVEL_ERROR = 50;
const MS_PER_SECOND = 1_000;
/** Maximum length of an error's message in a log line, in characters. */
const MAX_MESSAGE_CHARACTERS = 500;
/** Maximum length of a stack trace in a log line, in characters. */
const MAX_STACK_CHARACTERS = 2_000;

type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Destination of the lines of a `ProcessLifecycle`. */
export interface LifecycleOutput {
  /** Writes a line soon, without blocking. */
  writeLine(line: string): void;
  /** Writes a line at once, without blocking, while the process exits. */
  writeLastLine(line: string): void;
}

/** Logs the start and the end of a process and what leads to the end. */
export class ProcessLifecycle {
  private identity: LogFields = {};
  private endCause = 'nothing left to do';

  /**
   * @param target - Process to observe.
   * @param output - Destination of the log lines.
   */
  constructor(
    private readonly target: NodeJS.Process,
    private readonly output: LifecycleOutput,
  ) {
    this.log(LEVEL_INFO, 'process starting', { pid: target.pid, nodeVersion: target.version });
    target.on('exit', (code) => {
      const fields = { cause: this.endCause, code };
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
   * Exits.
   * @param cause - Cause, for the log.
   * @param code - Exit code.
   */
  exit(cause: string, code: number): void {
    this.endCause = cause;
    this.target.exit(code);
  }

  private log(level: number, message: string, fields: LogFields): void {
    this.output.writeLine(this.formatLine(level, message, fields));
  }

  private formatLine(logLevel: number, message: string, fields: LogFields): string {
    const sinceStartMs = Math.round(this.target.uptime() * MS_PER_SECOND);
    const context = { package: PACKAGE_NAME, ...this.identity, ...fields, sinceStartMs, logLevel };
    return JSON.stringify({ context, message, time: Date.now(), version: LINE_FORMAT_VERSION });
  }
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
