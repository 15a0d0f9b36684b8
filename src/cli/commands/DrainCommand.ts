import { Command, Option } from 'clipanion';
import { DRAIN_PREFIX } from '../../domain/index.js';
import { EXIT_CODES, OperatorCommand } from '../OperatorCommand.js';

/** Takes a backend server out of service, or back into it. */
export class DrainCommand extends OperatorCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    description:
      'Sends a backend server no new work, and moves its models elsewhere; running requests finish.',
    examples: [
      ['Drain a server', 'monsoonglade drain engine-1'],
      ['Take it back', 'monsoonglade drain engine-1 --undo'],
    ],
  });

  server = Option.String({ name: 'SERVER' });
  undo = Option.Boolean('--undo', false, { description: 'Lets the server take work again.' });

  protected async run(): Promise<number> {
    return this.withPlatform(async ({ store, audit }) => {
      const path = DRAIN_PREFIX + this.server;
      const current = await store.read(path);
      if (current.kind === 'unavailable') {
        this.context.stderr.write('The platform is unavailable; nothing was changed.\n');
        return EXIT_CODES.unavailable;
      }
      const version = current.kind === 'found' ? current.object.version : 0;
      const isDone = this.undo ? version === 0 : version > 0;
      if (isDone) {
        this.print({ server: this.server, changed: false }, [`${this.server}: nothing to change.`]);
        return EXIT_CODES.done;
      }
      const value = { server: this.server };
      const result = this.undo ? await store.remove(path, version) : await store.update(path, value, version);
      if (result.kind !== 'written') {
        this.context.stderr.write(
          `The change came to nothing (${result.kind}); look again with this same command.\n`,
        );
        return result.kind === 'conflict' ? EXIT_CODES.conflict : EXIT_CODES.unavailable;
      }
      audit.record('drain', this.server, this.undo ? 'undone' : 'drained', result.version);
      this.print({ server: this.server, changed: true }, [
        `${this.server}: ${this.undo ? 'takes work again' : 'draining'}.`,
      ]);
      return EXIT_CODES.done;
    });
  }
}
