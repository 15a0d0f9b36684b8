import { randomBytes } from 'node:crypto';
import { readFile, writeFile } from 'node:fs/promises';
import { updateResolved, type ObjectStore } from '../platform/index.js';
import { SettingsError } from '../settings/index.js';
import type { AuditTrail } from '../telemetry/index.js';
import type { CollectedFile } from './collectFiles.js';
import { diffFields } from './diff.js';

/** The hash of a token, which the audit trail leaves out. */
const TOKEN_HASH = /[0-9a-f]{64}/g;

/** What publishing one file would do. */
export interface PlannedChange {
  readonly file: CollectedFile;
  readonly kind: 'create' | 'update' | 'unchanged' | 'conflict';
  /** Version that the object has now; 0 when there is none. */
  readonly currentVersion: number;
  /** Version that the file was last published as; undefined when that is not recorded. */
  readonly recordedVersion: number | undefined;
  /** Fields that change, a line each. */
  readonly diff: readonly string[];
}

/** What became of one planned change. */
export interface PublishResult {
  readonly change: PlannedChange;
  readonly outcome: 'published' | 'unchanged' | 'conflict' | 'unavailable' | 'unknown';
  readonly version: number;
}

/** Brings configuration files into force, without ever overwriting what another operator published meanwhile. */
export class Publisher {
  private record: Record<string, number> = {};

  /**
   * @param store - The object API.
   * @param audit - Trail of changes.
   * @param recordFile - File that remembers which version each object was published as.
   */
  constructor(
    private readonly store: ObjectStore,
    private readonly audit: AuditTrail,
    private readonly recordFile: string,
  ) {}

  /**
   * Says what publishing would do.
   * @param files - Files to publish.
   * @throws SettingsError when the platform is unavailable.
   */
  async plan(files: readonly CollectedFile[]): Promise<PlannedChange[]> {
    this.record = await this.readRecord();
    const changes: PlannedChange[] = [];
    for (const file of files) {
      changes.push(await this.planOne(file));
    }
    return changes;
  }

  /**
   * Carries out one planned change.
   * @param change - The change.
   * @param acceptCurrent - Whether to overwrite what another operator published, having seen it.
   */
  async apply(change: PlannedChange, acceptCurrent: boolean): Promise<PublishResult> {
    if (change.kind === 'unchanged') {
      await this.remember(change.file.path, change.currentVersion);
      return { change, outcome: 'unchanged', version: change.currentVersion };
    }
    if (change.kind === 'conflict' && !acceptCurrent) {
      return { change, outcome: 'conflict', version: change.currentVersion };
    }
    const value = { ...change.file.value, mark: randomBytes(8).toString('hex') };
    const result = await updateResolved(this.store, change.file.path, value, change.currentVersion);
    if (result.kind !== 'written') {
      return { change, outcome: result.kind, version: change.currentVersion };
    }
    await this.remember(change.file.path, result.version);
    this.audit.record(
      'configuration',
      change.file.path,
      change.diff.join('; ').replace(TOKEN_HASH, '(hash)') || change.kind,
      result.version,
    );
    return { change, outcome: 'published', version: result.version };
  }

  private async planOne(file: CollectedFile): Promise<PlannedChange> {
    const current = await this.store.read<Record<string, unknown>>(file.path);
    if (current.kind === 'unavailable') {
      throw new SettingsError(
        'The platform is unavailable; nothing was published. Try again when it answers.',
      );
    }
    const recordedVersion = this.record[file.path];
    if (current.kind === 'absent') {
      const diff = diffFields({}, file.value);
      return { file, kind: 'create', currentVersion: 0, recordedVersion, diff };
    }
    const { mark: _mark, ...value } = current.object.value;
    const diff = diffFields(value, file.value);
    const currentVersion = current.object.version;
    if (diff.length === 0) {
      return { file, kind: 'unchanged', currentVersion, recordedVersion, diff };
    }
    const kind = recordedVersion === currentVersion ? 'update' : 'conflict';
    return { file, kind, currentVersion, recordedVersion, diff };
  }

  private async readRecord(): Promise<Record<string, number>> {
    try {
      return JSON.parse(await readFile(this.recordFile, 'utf8')) as Record<string, number>;
    } catch {
      return {};
    }
  }

  private async remember(path: string, version: number): Promise<void> {
    this.record[path] = version;
    await writeFile(this.recordFile, `${JSON.stringify(this.record, null, 2)}\n`);
  }
}
