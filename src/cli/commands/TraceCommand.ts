import { Command } from 'clipanion';
import { findTrace } from '../findTrace.js';
import { LogCommand } from '../LogCommand.js';

/** Prints the lines on one request from collected logs. */
export class TraceCommand extends LogCommand {
  static override paths = [['trace']];
  static override usage = Command.Usage({
    description:
      'Prints the log lines of one request, and those of its model shortly before, in order of time.',
    examples: [
      ['From the logs of two routers and an agent', 'monsoonglade trace 9c41d07b router-1.log agent-3.log'],
    ],
  });

  protected override search(lines: readonly string[], requestId: string): string[] {
    return findTrace(lines, requestId);
  }
}
