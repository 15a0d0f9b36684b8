import { Command, Option } from 'clipanion';
import { QUARANTINE_PREFIX } from '../../domain/index.js';
import type { QuarantineRecord } from '../../home/index.js';
import { EXIT_CODES, OperatorCommand } from '../OperatorCommand.js';

/** Lists the quarantined requests, which are refused because they crashed backend servers. */
export class QuarantineListCommand extends OperatorCommand {
  static override paths = [['quarantine', 'list']];
  static override usage = Command.Usage({
    description: 'Lists the quarantined requests, which are refused because they crashed backend servers.',
    examples: [['List them', 'monsoonglade quarantine list']],
  });

  protected async run(): Promise<number> {
    return this.withPlatform(async ({ store }) => {
      const listing = await store.list<QuarantineRecord>(QUARANTINE_PREFIX);
      if (!listing) {
        this.context.stderr.write('The platform is unavailable.\n');
        return EXIT_CODES.unavailable;
      }
      const entries = listing.objects.map((object) => object.value);
      const lines = entries.map(
        (entry) => `${entry.fingerprint} ${entry.modelId} until ${new Date(entry.untilMs).toISOString()}`,
      );
      this.print(entries, lines);
      return EXIT_CODES.done;
    });
  }
}

/** Removes a request from the quarantine. */
export class QuarantineClearCommand extends OperatorCommand {
  static override paths = [['quarantine', 'clear']];
  static override usage = Command.Usage({
    description: 'Removes a request from the quarantine, so that it is accepted again.',
    examples: [['Clear one', 'monsoonglade quarantine clear FINGERPRINT']],
  });

  fingerprint = Option.String({ name: 'FINGERPRINT' });

  protected async run(): Promise<number> {
    return this.withPlatform(async ({ store, audit }) => {
      const path = QUARANTINE_PREFIX + this.fingerprint;
      const current = await store.read(path);
      if (current.kind !== 'found') {
        this.context.stderr.write(
          `${this.fingerprint}: is not quarantined, or the platform is unavailable.\n`,
        );
        return current.kind === 'absent' ? EXIT_CODES.notFound : EXIT_CODES.unavailable;
      }
      const result = await store.remove(path, current.object.version);
      if (result.kind !== 'written') {
        this.context.stderr.write(
          `The change was not confirmed (${result.kind}); run the same command again.\n`,
        );
        return EXIT_CODES.unavailable;
      }
      audit.record('quarantine', this.fingerprint, 'cleared', result.version);
      this.print({ cleared: this.fingerprint }, [`${this.fingerprint}: cleared.`]);
      return EXIT_CODES.done;
    });
  }
}
