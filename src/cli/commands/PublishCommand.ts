import { join } from 'node:path';
import { createInterface } from 'node:readline/promises';
import { Command, Option } from 'clipanion';
import { collectFiles, Publisher, type PlannedChange, type PublishResult } from '../../publish/index.js';
import { EXIT_CODES, OperatorCommand } from '../OperatorCommand.js';

/** Symbol printed before each planned change. */
const CHANGE_SYMBOLS: Readonly<Record<PlannedChange['kind'], string>> = {
  create: '+',
  update: '~',
  unchanged: '=',
  conflict: '!',
};

/** Publishes configuration files to the platform. */
export class PublishCommand extends OperatorCommand {
  static override paths = [['publish']];
  static override usage = Command.Usage({
    description: 'Shows what the configuration files below a folder change, and publishes them.',
    details: `
      An object that another operator changed since this folder was last published is a conflict: the differing fields
      are shown and the object is not changed. Once the files are correct, --accept-current overwrites it.
    `,
    examples: [['Publish without confirmation', 'monsoonglade publish --yes examples']],
  });

  folder = Option.String({ name: 'DIR' });
  dryRun = Option.Boolean('--dry-run', false, { description: 'Shows the planned changes only.' });
  yes = Option.Boolean('--yes', false, { description: 'Publishes without asking for confirmation.' });
  acceptCurrent = Option.Boolean('--accept-current', false, {
    description: 'Overwrites objects in conflict.',
  });
  recordFile = Option.String('--record', {
    description: 'File that records the published versions; DIR/.monsoonglade-published.json by default.',
  });

  protected async run(): Promise<number> {
    const files = await collectFiles(this.folder);
    return this.withPlatform(async ({ store, audit }) => {
      const recordFile = this.recordFile ?? join(this.folder, '.monsoonglade-published.json');
      const publisher = new Publisher(store, audit, recordFile);
      const changes = await publisher.plan(files);
      if (this.dryRun || !this.json) {
        this.print(changes, changes.flatMap(describeChange));
      }
      if (this.dryRun || !(await this.isConfirmed(changes))) {
        return hasConflict(changes) && !this.acceptCurrent ? EXIT_CODES.conflict : EXIT_CODES.done;
      }
      const results: PublishResult[] = [];
      for (const change of changes) {
        const result = await publisher.apply(change, this.acceptCurrent);
        results.push(result);
        this.showProgress(result, results.length, changes.length);
      }
      if (this.json) {
        this.print(results, []);
      }
      return getExitCode(results);
    });
  }

  private showProgress(result: PublishResult, doneCount: number, totalCount: number): void {
    if (!this.json) {
      this.print(undefined, [`${doneCount}/${totalCount} ${describeResult(result)}`]);
    }
  }

  private async isConfirmed(changes: readonly PlannedChange[]): Promise<boolean> {
    if (this.yes || changes.every((change) => change.kind === 'unchanged')) {
      return true;
    }
    const prompt = createInterface({ input: this.context.stdin, output: this.context.stderr });
    const answer = await prompt.question('Publish? (yes/no) ');
    prompt.close();
    return answer.trim() === 'yes';
  }
}

function hasConflict(changes: readonly PlannedChange[]): boolean {
  return changes.some((change) => change.kind === 'conflict');
}

function describeChange(change: PlannedChange): string[] {
  const versions =
    change.kind === 'conflict'
      ? ` (now version ${change.currentVersion}, published from ${change.recordedVersion ?? 'none'})`
      : '';
  const head = `${CHANGE_SYMBOLS[change.kind]} ${change.file.path}: ${change.kind}${versions}`;
  return [head, ...(change.kind === 'create' ? [] : change.diff.map((line) => `    ${line}`))];
}

function describeResult(result: PublishResult): string {
  return `${result.change.file.path}: ${result.outcome}, version ${result.version}`;
}

function getExitCode(results: readonly PublishResult[]): number {
  if (results.some((result) => result.outcome === 'conflict')) {
    return EXIT_CODES.conflict;
  }
  const isDone = results.every((result) => result.outcome === 'published' || result.outcome === 'unchanged');
  return isDone ? EXIT_CODES.done : EXIT_CODES.unavailable;
}
