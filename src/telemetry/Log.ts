import { Roarr, ROARR } from 'roarr';

/** Writes one structured line for each change of state. */
export class Log {
  private readonly logger;

  /**
   * @param instanceId - Instance named in every line.
   * @param write - Takes each line; standard error by default.
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
   * @param fields - Particulars; never secrets or callers' text.
   */
  info(change: string, fields: Readonly<Record<string, string | number | boolean>> = {}): void {
    this.logger.info(fields, change);
  }

  /**
   * Logs a change for the worse that an operator should know of.
   * @param change - What changed, in a few words.
   * @param fields - Particulars; never secrets or callers' text.
   */
  warn(change: string, fields: Readonly<Record<string, string | number | boolean>> = {}): void {
    this.logger.warn(fields, change);
  }

  /**
   * Logs a decision that touches a request or an engine.
   * @param decision - What was decided or found, in a few words.
   * @param fields - What it rests on and what came of it; never secrets or callers' text.
   */
  decision(decision: string, fields: Readonly<Record<string, string | number | boolean>>): void {
    this.logger.info(fields, decision);
  }
}
