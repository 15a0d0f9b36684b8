import { Command, Option } from 'clipanion';
import { readFile } from 'node:fs/promises';
import { EXIT_CODES } from './OperatorCommand.js';

/** Command that prints what collected logs say of one request. */
export abstract class LogCommand extends Command {
  requestId = Option.String({ name: 'request id' });
  files = Option.Rest({ name: 'log files', required: 1 });

  override async execute(): Promise<number> {
    const texts = await Promise.all(this.files.map((file) => readFile(file, 'utf8')));
    const result = this.search(texts.join('\n').split('\n'), this.requestId);
    for (const line of result) {
      this.context.stdout.write(`${line}\n`);
    }
    return result.length > 0 ? EXIT_CODES.done : EXIT_CODES.notFound;
  }

  /**
   * Returns the lines to print; empty if the logs do not contain the request.
   * @param lines - Log lines of all files.
   * @param requestId - ID of the request.
   */
  protected abstract search(lines: readonly string[], requestId: string): string[];
}
