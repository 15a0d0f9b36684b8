import { expect } from 'chai';
import { toServerId } from '../../src/domain/index.js';
import {
  FleetSource,
  FleetView,
  FleetWatcher,
  type ConfigurationRead,
  type ServerChanges,
  type ServerListing,
  type SourceFailure,
} from '../../src/direct/index.js';
import { Random } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { flushPromises } from '../waiting.js';
import { ENGINES, makeConfiguration, makeEntry } from './fleetFixtures.js';

type Answer = ServerListing | ServerChanges | ConfigurationRead | SourceFailure;

/** Source whose calls stay open until the test answers them. */
class ScriptedSource extends FleetSource {
  /** Open calls, oldest first. */
  readonly open: { readonly name: string; readonly answer: (answer: Answer) => void }[] = [];
  isClosed = false;

  override listServers(): Promise<ServerListing | SourceFailure> {
    return this.call('list servers');
  }

  override watchServers(revision: number): Promise<ServerChanges | SourceFailure> {
    return this.call(`watch servers from ${revision}`);
  }

  override readConfiguration(): Promise<ConfigurationRead | SourceFailure> {
    return this.call('read configuration');
  }

  override watchConfiguration(revision: number): Promise<ConfigurationRead | SourceFailure> {
    return this.call(`watch configuration from ${revision}`);
  }

  override close(): void {
    this.isClosed = true;
  }

  private call<T extends Answer>(name: string): Promise<T> {
    return new Promise((resolve) => {
      this.open.push({ name, answer: (answer) => resolve(answer as T) });
    });
  }
}

/** Log that keeps the changes for the worse. */
class RecordingLog extends Log {
  readonly warnings: string[] = [];

  override warn(change: string): void {
    this.warnings.push(change);
  }
}

/** A watcher over a scripted source. */
class WatcherBench {
  readonly clock = new ManualClock();
  readonly view = new FleetView();
  readonly source = new ScriptedSource();
  readonly log = new RecordingLog('test', () => undefined);
  changeCount = 0;
  readonly watcher = new FleetWatcher({
    clock: this.clock,
    random: new Random(1),
    source: this.source,
    view: this.view,
    log: this.log,
    metrics: new Metrics(),
  });

  constructor() {
    this.watcher.onChange(() => this.changeCount++);
    void this.watcher.start();
  }

  /** Names of the calls that wait for an answer. */
  get calls(): string[] {
    return this.source.open.map(({ name }) => name).sort();
  }

  /** Answers the oldest call whose name begins so. */
  async answer(name: string, answer: Answer): Promise<void> {
    const index = this.source.open.findIndex((call) => call.name.startsWith(name));
    expect(index, `no call '${name}' is open`).to.be.at.least(0);
    const [call] = this.source.open.splice(index, 1);
    call?.answer(answer);
    await flushPromises();
  }

  async advance(byMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < byMs; passedMs += 10) {
      this.clock.advance(10);
      await flushPromises();
    }
  }

  /** Ids of the servers that take new work. */
  get ready(): string[] {
    return [...this.view.getReadyServers(ENGINES, this.clock.nowMs())].map(({ entry }) => entry.serverId);
  }
}

const LISTED: ServerListing = {
  kind: 'listed',
  entries: [makeEntry('x'), makeEntry('xx')],
  unreadableIds: [toServerId('odd')],
  revision: 7,
};
const READ: ConfigurationRead = { kind: 'read', configuration: makeConfiguration(3), revision: 5 };
const GONE_X: ServerChanges = {
  kind: 'changed',
  changes: [{ kind: 'gone', serverId: toServerId('x') }],
  revision: 8,
};
const DOWN: SourceFailure = { kind: 'unavailable', detail: 'refused' };

describe('FleetWatcher', () => {
  describe('start', () => {
    it('lists once and watches from the revision of the list', async () => {
      const bench = new WatcherBench();
      expect(bench.calls).to.deep.equal(['list servers', 'read configuration']);
      await bench.answer('list servers', LISTED);
      await bench.answer('read configuration', READ);
      expect(bench.calls).to.deep.equal(['watch configuration from 5', 'watch servers from 7']);
      expect(bench.ready).to.deep.equal(['x', 'xx']);
      expect(bench.view.configuration?.version).to.equal(3);
      expect(bench.changeCount).to.equal(2);
    });

    it('reads an unwritten configuration again instead of watching it', async () => {
      const bench = new WatcherBench();
      await bench.answer('read configuration', { kind: 'read', configuration: undefined, revision: 1 });
      await bench.advance(450);
      expect(bench.calls).to.include('read configuration');
    });
  });

  describe('watch', () => {
    it('gathers changes of servers for a moment and goes on from their revision', async () => {
      const bench = new WatcherBench();
      await bench.answer('list servers', LISTED);
      await bench.answer('watch servers', GONE_X);
      expect(bench.ready).to.deep.equal(['xx']);
      expect(bench.calls).to.deep.equal(['read configuration']);
      await bench.advance(650);
      expect(bench.calls).to.include('watch servers from 8');
    });

    it('goes on at once from a watch in which nothing changed', async () => {
      const bench = new WatcherBench();
      await bench.answer('list servers', LISTED);
      const before = bench.changeCount;
      await bench.answer('watch servers', { kind: 'changed', changes: [], revision: 9 });
      expect(bench.calls).to.include('watch servers from 9');
      expect(bench.changeCount).to.equal(before);
    });

    it('lists again when the history is gone', async () => {
      const bench = new WatcherBench();
      await bench.answer('list servers', LISTED);
      await bench.answer('watch servers', { kind: 'historyGone' });
      expect(bench.calls).to.include('list servers');
      await bench.answer('list servers', { ...LISTED, entries: [makeEntry('xx')], revision: 40 });
      expect(bench.ready).to.deep.equal(['xx']);
    });

    it('keeps what it knows while the store is away and goes on from the same revision', async () => {
      const bench = new WatcherBench();
      await bench.answer('list servers', LISTED);
      await bench.answer('read configuration', READ);
      await bench.answer('watch servers', DOWN);
      await bench.answer('watch configuration', DOWN);
      expect(bench.calls).to.deep.equal([]);
      await bench.advance(120);
      expect(bench.calls).to.deep.equal(['watch configuration from 5', 'watch servers from 7']);
      expect(bench.ready).to.deep.equal(['x', 'xx']);
      expect(bench.log.warnings).to.deep.equal([
        'server entry cannot be read',
        'platform store is unreachable',
        'platform store is unreachable',
      ]);
    });

    it('asks at most 400 ms apart while the store is away', async () => {
      const bench = new WatcherBench();
      for (let round = 0; round < 8; round++) {
        await bench.answer('list servers', DOWN);
        await bench.advance(450);
      }
      expect(bench.calls).to.include('list servers');
    });

    it('gives servers that lapsed around an outage two seconds from the store’s return', async () => {
      const bench = new WatcherBench();
      await bench.answer('list servers', LISTED);
      await bench.answer('read configuration', READ);
      await bench.answer('watch servers', DOWN);
      await bench.advance(120);
      await bench.answer('watch servers', GONE_X);
      expect(bench.ready).to.deep.equal(['x', 'xx']);
      await bench.advance(1_900);
      expect(bench.ready).to.deep.equal(['x', 'xx']);
      await bench.advance(200);
      expect(bench.ready).to.deep.equal(['xx']);
    });
  });

  describe('stop', () => {
    it('closes the source and asks nothing more', async () => {
      const bench = new WatcherBench();
      await bench.watcher.stop();
      await bench.answer('list servers', LISTED);
      await bench.answer('read configuration', READ);
      await bench.advance(500);
      expect(bench.calls).to.deep.equal([]);
      expect(bench.source.isClosed).to.equal(true);
    });
  });
});
