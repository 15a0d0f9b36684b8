import { Command, Option } from 'clipanion';
import { AUDIT_PREFIX } from '../../domain/index.js';
import { SettingsError } from '../../settings/index.js';
import type { AuditEntry } from '../../telemetry/index.js';
import { EXIT_CODES, OperatorCommand } from '../OperatorCommand.js';

/** Shows who changed what, when and why. */
export class AuditCommand extends OperatorCommand {
  static override paths = [['audit']];
  static override usage = Command.Usage({
    description: 'Shows the audit trail of changes, oldest first.',
    examples: [
      [
        'Show the changes of configuration since noon',
        'monsoonglade audit --kind configuration --since 2026-12-04T12:00:00Z',
      ],
    ],
  });

  kind = Option.String('--kind', { description: 'configuration, placement, drain, quarantine or budget.' });
  who = Option.String('--who', { description: 'Process or operator.' });
  since = Option.String('--since', { description: 'ISO time of the first change wanted.' });

  protected async run(): Promise<number> {
    const sinceMs = this.since === undefined ? 0 : Date.parse(this.since);
    if (Number.isNaN(sinceMs)) {
      throw new SettingsError(
        `--since: found ${this.since ?? ''}; allowed is an ISO time such as 2026-12-04T12:00:00Z.`,
      );
    }
    return this.withPlatform(async ({ store }) => {
      const listing = await store.list<{ readonly entries: readonly AuditEntry[] }>(AUDIT_PREFIX);
      if (!listing) {
        this.context.stderr.write('The platform is unavailable.\n');
        return EXIT_CODES.unavailable;
      }
      const entries = listing.objects.flatMap((object) => object.value.entries);
      const wanted = entries
        .filter((entry) => this.isWanted(entry, sinceMs))
        .sort((left, right) => left.atMs - right.atMs);
      this.print(wanted, wanted.map(describeEntry));
      return EXIT_CODES.done;
    });
  }

  private isWanted(entry: AuditEntry, sinceMs: number): boolean {
    const isKind = this.kind === undefined || entry.kind === this.kind;
    const isWho = this.who === undefined || entry.who === this.who;
    return isKind && isWho && entry.atMs >= sinceMs;
  }
}

function describeEntry(entry: AuditEntry): string {
  const at = new Date(entry.atMs).toISOString();
  return `${at} ${entry.who} ${entry.kind} ${entry.subject} version ${entry.revision}: ${entry.cause}`;
}
