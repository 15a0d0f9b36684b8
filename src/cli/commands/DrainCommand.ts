import { Command, Option } from 'clipanion';
import { DRAIN_PREFIX } from '../../domain/index.js';
import { EXIT_CODES, OperatorCommand } from '../OperatorCommand.js';

/** Drains a backend server, or ends its drain. */
export class DrainCommand extends OperatorCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    description:
      'Stops new requests to a backend server and moves its models to other servers; running requests finish.',
    examples: [
      ['Drain a server', 'monsoonglade drain engine-1'],
      ['End the drain', 'monsoonglade drain engine-1 --undo'],
    ],
  });

  server = Option.String({ name: 'SERVER' });
  undo = Option.Boolean('--undo', false, {
    description: 'Ends the drain: the server accepts requests again.',
  });

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
          `The change was not confirmed (${result.kind}); run the same command again.\n`,
        );
        return result.kind === 'conflict' ? EXIT_CODES.conflict : EXIT_CODES.unavailable;
      }
      audit.record('drain', this.server, this.undo ? 'undone' : 'drained', result.version);
      this.print({ server: this.server, changed: true }, [
        `${this.server}: ${this.undo ? 'accepts requests again' : 'draining'}.`,
      ]);
      return EXIT_CODES.done;
    });
  }
}
