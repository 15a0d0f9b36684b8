import { toServerId } from '../../src/domain/index.js';
import {
  FleetSource,
  type ConfigurationRead,
  type ServerChange,
  type ServerChanges,
  type ServerEntry,
  type ServerListing,
  type SourceFailure,
} from '../../src/direct/index.js';
import { makeConfiguration, makeEntry } from './fleetFixtures.js';

export type StoreAnswer = ServerListing | ServerChanges | ConfigurationRead | SourceFailure;
type Subject = 'servers' | 'configuration';

/** Change that watches return. */
interface StoreEvent {
  readonly subject: Subject;
  readonly revision: number;
  readonly change: ServerChange | { readonly version: number };
}

/** Content of the store at one time. */
interface StoreCopy {
  readonly revision: number;
  readonly version: number;
  readonly entries: readonly ServerEntry[];
  readonly events: readonly StoreEvent[];
}

/** Call of the watcher without an answer, and its answer if that was already determined. */
interface PendingCall {
  readonly answer: () => StoreAnswer;
  readonly resolve: (answer: StoreAnswer) => void;
  determined?: StoreAnswer;
}

/**
 * Store in memory whose calls are answered when a test says so: with revisions, a history that can be discarded, outages
 * and restores from a copy, after which revisions are given out again.
 */
export class ModelStore extends FleetSource {
  readonly pendingCalls: PendingCall[] = [];
  isReachable = true;
  protected era = 1;
  private revision = 1;
  private version = 0;
  private oldestRevision = 0;
  private entries = new Map<string, ServerEntry>();
  private events: StoreEvent[] = [];
  private copy: StoreCopy | undefined;

  /** Writes a configuration. */
  writeConfiguration(version: number): void {
    this.version = version;
    this.events.push({ subject: 'configuration', revision: ++this.revision, change: { version } });
  }

  /** Writes the entry of a server, unless it is unchanged. */
  writeServer(entry: ServerEntry): void {
    const before = this.entries.get(entry.serverId);
    if (before?.bornAtMs !== entry.bornAtMs || before.isLeaving !== entry.isLeaving) {
      this.entries.set(entry.serverId, entry);
      this.events.push({
        subject: 'servers',
        revision: ++this.revision,
        change: { kind: 'present', entry },
      });
    }
  }

  /** Removes the entry of a server. */
  removeServer(id: string): void {
    if (this.entries.delete(id)) {
      const change: ServerChange = { kind: 'gone', serverId: toServerId(id) };
      this.events.push({ subject: 'servers', revision: ++this.revision, change });
    }
  }

  /** Returns the ids of all listed servers. */
  getServerIds(): string[] {
    return [...this.entries.keys()];
  }

  discardHistory(): void {
    this.events = [];
    this.oldestRevision = this.revision;
  }

  takeCopy(): void {
    const { revision, version, entries, events } = this;
    this.copy = { revision, version, entries: [...entries.values()], events: [...events] };
  }

  /** Replaces the content by the last copy; calls that were answered before may still be delivered after this. */
  restoreCopy(): void {
    if (this.copy) {
      this.era++;
      this.revision = this.copy.revision;
      this.version = this.copy.version;
      this.entries = new Map(this.copy.entries.map((entry) => [entry.serverId, entry]));
      this.events = [...this.copy.events];
    }
  }

  /** Determines the answer of a pending call without delivering it. */
  determine(index: number): void {
    const call = this.pendingCalls[index % Math.max(1, this.pendingCalls.length)];
    if (call) {
      call.determined ??= call.answer();
    }
  }

  /** Delivers the answer of a pending call, the one determined earlier if there is one. */
  deliver(index: number): void {
    const [call] = this.pendingCalls.splice(index % Math.max(1, this.pendingCalls.length), 1);
    call?.resolve(call.determined ?? call.answer());
  }

  override listServers(): Promise<ServerListing | SourceFailure> {
    return this.call(() => ({
      kind: 'listed',
      entries: [...this.entries.values()],
      unreadableIds: [],
      ...this.getPosition(),
    }));
  }

  override watchServers(since: number): Promise<ServerChanges | SourceFailure> {
    return this.call(() => {
      const events = this.getEvents('servers', since);
      const changes = events?.map(({ change }) => change as ServerChange);
      return changes ? { kind: 'changed', changes, ...this.getPosition() } : { kind: 'historyGone' };
    });
  }

  override readConfiguration(): Promise<ConfigurationRead | SourceFailure> {
    return this.call(() => ({
      kind: 'read',
      configuration: this.version > 0 ? makeConfiguration(this.version) : undefined,
      ...this.getPosition(),
    }));
  }

  override watchConfiguration(since: number): Promise<ConfigurationRead | SourceFailure> {
    return this.call(() => {
      const events = this.getEvents('configuration', since);
      const last = events?.at(-1)?.change as { readonly version: number } | undefined;
      const configuration = last && makeConfiguration(last.version);
      return events ? { kind: 'read', configuration, ...this.getPosition() } : { kind: 'historyGone' };
    });
  }

  override close(): void {
    this.pendingCalls.length = 0;
  }

  protected getPosition(): { readonly era: number; readonly revision: number } {
    return { era: this.era, revision: this.revision };
  }

  private getEvents(subject: Subject, since: number): StoreEvent[] | undefined {
    if (since < this.oldestRevision || since > this.revision) {
      return undefined;
    }
    return this.events.filter((event) => event.subject === subject && event.revision > since);
  }

  private call<T extends StoreAnswer>(answer: () => T | SourceFailure): Promise<T | SourceFailure> {
    return new Promise((resolve) => {
      this.pendingCalls.push({
        answer: () => (this.isReachable ? answer() : { kind: 'unavailable', detail: 'cut off' }),
        resolve: (result) => resolve(result as T | SourceFailure),
      });
    });
  }
}

/** Creates the entry of a server's incarnation. */
export function makeIncarnation(id: string, bornAtMs: number, isLeaving: boolean): ServerEntry {
  return makeEntry(id, { bornAtMs, isLeaving });
}
