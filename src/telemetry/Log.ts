import { Roarr, ROARR } from 'roarr';

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
   * Logs a decision about a request or an engine.
   * @param decision - Decision or finding, in a few words.
   * @param fields - Inputs and result of the decision; never secrets or request content of callers.
   */
  decision(decision: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.logger.info(fields, decision);
  }
}
