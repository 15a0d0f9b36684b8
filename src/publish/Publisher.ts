import { randomBytes } from 'node:crypto';
import { readFile, writeFile } from 'node:fs/promises';
import { updateAndResolve, type ObjectStore } from '../platform/index.js';
import { SettingsError } from '../settings/index.js';
import type { AuditTrail } from '../telemetry/index.js';
import type { CollectedFile } from './collectFiles.js';
import { diffFields } from './diff.js';

/** Matches the hash of a token, which is masked in the audit trail. */
const TOKEN_HASH = /[0-9a-f]{64}/g;

/** Change that publishing one file would make. */
export interface PlannedChange {
  readonly file: CollectedFile;
  readonly kind: 'create' | 'update' | 'unchanged' | 'conflict';
  /** Current version of the object; 0 when it does not exist. */
  readonly currentVersion: number;
  /** Version of the object when the file was last published; undefined when none is recorded. */
  readonly recordedVersion: number | undefined;
  /** Changed fields, one line each. */
  readonly diff: readonly string[];
}

/** Result of applying one planned change. */
export interface PublishResult {
  readonly change: PlannedChange;
  readonly outcome: 'published' | 'unchanged' | 'conflict' | 'unavailable' | 'unknown';
  readonly version: number;
}

/** Publishes configuration files; objects that another operator changed meanwhile are overwritten only on request. */
export class Publisher {
  private publishedVersions: Record<string, number> = {};

  /**
   * @param store - Object store of the platform.
   * @param audit - Audit trail that records the published changes.
   * @param recordFile - File that records the published version of each object.
   */
  constructor(
    private readonly store: ObjectStore,
    private readonly audit: AuditTrail,
    private readonly recordFile: string,
  ) {}

  /**
   * Determines what publishing would change.
   * @param files - Files to publish.
   * @throws SettingsError when the platform is unavailable.
   */
  async plan(files: readonly CollectedFile[]): Promise<PlannedChange[]> {
    this.publishedVersions = await this.readRecord();
    const changes: PlannedChange[] = [];
    for (const file of files) {
      changes.push(await this.planFile(file));
    }
    return changes;
  }

  /**
   * Applies one planned change.
   * @param change - Planned change.
   * @param acceptCurrent - Whether to overwrite an object in conflict.
   */
  async apply(change: PlannedChange, acceptCurrent: boolean): Promise<PublishResult> {
    if (change.kind === 'unchanged') {
      await this.recordVersion(change.file.path, change.currentVersion);
      return { change, outcome: 'unchanged', version: change.currentVersion };
    }
    if (change.kind === 'conflict' && !acceptCurrent) {
      return { change, outcome: 'conflict', version: change.currentVersion };
    }
    const value = { ...change.file.value, mark: randomBytes(8).toString('hex') };
    const result = await updateAndResolve(this.store, change.file.path, value, change.currentVersion);
    if (result.kind !== 'written') {
      return { change, outcome: result.kind, version: change.currentVersion };
    }
    await this.recordVersion(change.file.path, result.version);
    this.audit.record(
      'configuration',
      change.file.path,
      change.diff.join('; ').replace(TOKEN_HASH, '(hash)') || change.kind,
      result.version,
    );
    return { change, outcome: 'published', version: result.version };
  }

  private async planFile(file: CollectedFile): Promise<PlannedChange> {
    const current = await this.store.read<Record<string, unknown>>(file.path);
    if (current.kind === 'unavailable') {
      throw new SettingsError(
        'The platform is unavailable; nothing was published. Try again when it is available.',
      );
    }
    const recordedVersion = this.publishedVersions[file.path];
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

  private async recordVersion(path: string, version: number): Promise<void> {
    this.publishedVersions[path] = version;
    await writeFile(this.recordFile, `${JSON.stringify(this.publishedVersions, null, 2)}\n`);
  }
}
