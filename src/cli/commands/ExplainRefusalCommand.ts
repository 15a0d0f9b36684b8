import { Command, Option } from 'clipanion';
import { readFile } from 'node:fs/promises';
import { explainRefusal } from '../explainRefusal.js';
import { EXIT_CODES } from '../OperatorCommand.js';

/** Explains why a request was refused, from collected logs. */
export class ExplainRefusalCommand extends Command {
  static override paths = [['explain', 'refusal']];
  static override usage = Command.Usage({
    description:
      'Explains from log lines why a request was refused: its key, or the quota of its organisation.',
    examples: [['From the log of a router', 'monsoonglade explain refusal 9c41d07b router-1.log']],
  });

  requestId = Option.String({ name: 'request id' });
  files = Option.Rest({ name: 'log files', required: 1 });

  override async execute(): Promise<number> {
    const texts = await Promise.all(this.files.map((file) => readFile(file, 'utf8')));
    const explanation = explainRefusal(texts.join('\n').split('\n'), this.requestId);
    for (const line of explanation) {
      this.context.stdout.write(`${line}\n`);
    }
    return explanation.length > 0 ? EXIT_CODES.done : EXIT_CODES.notFound;
  }
}
