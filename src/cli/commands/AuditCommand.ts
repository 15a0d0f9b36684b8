import { Command, Option } from 'clipanion';
import { AUDIT_PREFIX } from '../../domain/index.js';
import { SettingsError } from '../../settings/index.js';
import type { AuditEntry } from '../../telemetry/index.js';
import { EXIT_CODES, OperatorCommand } from '../OperatorCommand.js';

/** Prints the audit trail of changes. */
export class AuditCommand extends OperatorCommand {
  static override paths = [['audit']];
  static override usage = Command.Usage({
    description: 'Prints the audit trail of changes, oldest first.',
    examples: [
      [
        'Print the configuration changes since noon',
        'monsoonglade audit --kind configuration --since 2026-12-04T12:00:00Z',
      ],
    ],
  });

  kind = Option.String('--kind', {
    description: 'Kind of change: configuration, placement, drain, quarantine or budget.',
  });
  who = Option.String('--who', { description: 'Process or operator that made the changes.' });
  since = Option.String('--since', { description: 'ISO time; earlier changes are left out.' });

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
      const matching = entries
        .filter((entry) => this.isMatch(entry, sinceMs))
        .sort((left, right) => left.atMs - right.atMs);
      this.print(matching, matching.map(describeEntry));
      return EXIT_CODES.done;
    });
  }

  private isMatch(entry: AuditEntry, sinceMs: number): boolean {
    const isKind = this.kind === undefined || entry.kind === this.kind;
    const isWho = this.who === undefined || entry.who === this.who;
    return isKind && isWho && entry.atMs >= sinceMs;
  }
}

function describeEntry(entry: AuditEntry): string {
  const at = new Date(entry.atMs).toISOString();
  return `${at} ${entry.who} ${entry.kind} ${entry.subject} version ${entry.revision}: ${entry.cause}`;
}
