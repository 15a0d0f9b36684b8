import { Roarr, ROARR } from 'roarr';

/** Maximum length of an error in a line, in characters. */
const MAX_ERROR_LENGTH = 600;

/** Writes structured log lines. */
export class Log {
  private readonly logger;

  /**
   * @param instanceId - Instance id included in every line.
   * @param write - Writes one line; to the standard error by default.
   */
  constructor(
    instanceId: string,
    write: (line: string) => void = (line) => process.stderr.write(`${line}\n`),
  ) {
    ROARR.write = write;
    this.logger = Roarr.child({ package: 'monsoonglade', instanceId });
  }

  /**
   * Logs a change of state.
   * @param change - What changed, in a few words.
   * @param fields - Structured fields; never secrets or request content of callers.
   */
  info(change: string, fields: Readonly<Record<string, string | number | boolean>> = {}): void {
    this.logger.info(fields, change);
  }

  /**
   * Logs a change of state that an operator may have to act on.
   * @param change - What changed, in a few words.
   * @param fields - Structured fields; never secrets or request content of callers.
   */
  warn(change: string, fields: Readonly<Record<string, string | number | boolean>> = {}): void {
    this.logger.warn(fields, change);
  }

  /**
   * Logs an error of work that nobody waits for, with the beginning of its stack.
   * @param error - What was thrown.
   * @param task - Name of the work, in a few words.
   */
  backgroundError(error: unknown, task: string): void {
    const detail = error instanceof Error ? (error.stack ?? String(error)) : String(error);
    this.warn('background task failed', { task, error: detail.slice(0, MAX_ERROR_LENGTH) });
  }

  /**
   * Logs a decision about a request or an engine.
   * @param decision - Decision or finding, in a few words.
   * @param fields - Inputs and result of the decision; never secrets or request content of callers.
   */
  decision(decision: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.logger.info(fields, decision);
  }
}
