import { Command, Option } from 'clipanion';
import { readFile } from 'node:fs/promises';
import { findTrace } from '../findTrace.js';

/** Exit code when no line contains the request id. */
const EXIT_NOT_FOUND = 5;

/** Prints the lines on one request from collected logs. */
export class TraceCommand extends Command {
  static override paths = [['trace']];
  static override usage = Command.Usage({
    description:
      'Prints the log lines of one request, and those of its model shortly before, in order of time.',
    examples: [
      ['From the logs of two routers and an agent', 'monsoonglade trace 9c41d07b router-1.log agent-3.log'],
    ],
  });

  requestId = Option.String({ name: 'request id' });
  files = Option.Rest({ name: 'log files', required: 1 });

  override async execute(): Promise<number> {
    const texts = await Promise.all(this.files.map((file) => readFile(file, 'utf8')));
    const lines = findTrace(texts.join('\n').split('\n'), this.requestId);
    for (const line of lines) {
      this.context.stdout.write(`${line}\n`);
    }
    return lines.length > 0 ? 0 : EXIT_NOT_FOUND;
  }
}
