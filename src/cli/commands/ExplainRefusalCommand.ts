import { Command } from 'clipanion';
import { explainRefusal } from '../explainRefusal.js';
import { LogCommand } from '../LogCommand.js';

/** Explains why a request was refused, from collected logs. */
export class ExplainRefusalCommand extends LogCommand {
  static override paths = [['explain', 'refusal']];
  static override usage = Command.Usage({
    description:
      'Explains from log lines why a request was refused: its key, or the quota of its organisation.',
    examples: [['From the log of a router', 'monsoonglade explain refusal 9c41d07b router-1.log']],
  });

  protected override search(lines: readonly string[], requestId: string): string[] {
    return explainRefusal(lines, requestId);
  }
}
