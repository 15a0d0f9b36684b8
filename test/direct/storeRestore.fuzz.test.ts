import { expect } from 'chai';
import * as fc from 'fast-check';
import { toServerId } from '../../src/domain/index.js';
import { FleetView, FleetWatcher, type ServerEntry } from '../../src/direct/index.js';
import { Random } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { flushPromises } from '../waiting.js';
import { AppliesAnyConfiguration } from './AppliesAnyConfiguration.js';
import { ENGINES } from './fleetFixtures.js';
import { makeIncarnation, ModelStore } from './ModelStore.js';

/** Time that passes with each step, in milliseconds; all steps together take less than a removed entry is listed. */
const STEP_MS = 90;
/**
 * Rounds after the last step in which everything is written again and all calls are answered; longer than a server must
 * stay listed to be used without another sign of life.
 */
const SETTLING_ROUND_COUNT = 120;

type Step =
  | { readonly kind: 'publish' | 'copy' | 'restore' | 'rewrite' | 'forget' | 'cut' | 'heal' }
  | { readonly kind: 'start' | 'leave' | 'end'; readonly server: number }
  | { readonly kind: 'determine' | 'deliver'; readonly call: number };

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constantFrom('publish', 'copy', 'restore', 'rewrite', 'forget', 'cut', 'heal') }),
  fc.record({ kind: fc.constantFrom('start', 'leave', 'end'), server: fc.nat(2) }),
  fc.record({ kind: fc.constantFrom('determine', 'deliver', 'deliver', 'deliver'), call: fc.nat(3) }),
) as fc.Arbitrary<Step>;

/** Operator and servers with the state that they last wrote, the store, and a watcher with its view. */
class RestoreModel {
  readonly servers = new Map<string, ServerEntry>();
  readonly clock = new ManualClock();
  readonly watcher: FleetWatcher;
  version = 0;
  private bornCount = 0;
  private highestVersion = 0;
  /** Incarnations that the view has seen leaving, or removed after their end; it may remove one that runs unseen. */
  private readonly retired = new Set<string>();
  private previousIds = new Map<string, string>();

  constructor(
    readonly store: ModelStore,
    readonly view: FleetView,
  ) {
    this.watcher = new FleetWatcher({
      clock: this.clock,
      random: new Random(1),
      source: store,
      view,
      log: new Log('test', () => undefined),
      metrics: new Metrics(),
      getUpdateLimitMs: () => 2_000,
    });
  }

  apply(next: Step): void {
    const { store, servers } = this;
    switch (next.kind) {
      case 'publish':
        store.writeConfiguration(++this.version);
        return;
      case 'copy':
        store.takeCopy();
        return;
      case 'restore':
        store.restoreCopy();
        return;
      case 'rewrite':
        this.rewrite();
        return;
      case 'forget':
        store.discardHistory();
        return;
      case 'cut':
      case 'heal':
        store.isReachable = next.kind === 'heal';
        return;
      case 'determine':
        store.determine(next.call);
        return;
      case 'deliver':
        store.deliver(next.call);
        return;
      case 'start': {
        const id = `s${next.server}`;
        if (!servers.has(id)) {
          servers.set(id, makeIncarnation(id, ++this.bornCount, false));
          store.writeServer(servers.get(id)!);
        }
        return;
      }
      case 'leave': {
        const server = servers.get(`s${next.server}`);
        if (server) {
          servers.set(server.serverId, { ...server, isLeaving: true });
          store.writeServer({ ...server, isLeaving: true });
        }
        return;
      }
      case 'end':
        servers.delete(`s${next.server}`);
        store.removeServer(`s${next.server}`);
    }
  }

  /** Writes again what the operator and the servers wrote last; entries of ended servers expire. */
  rewrite(): void {
    if (this.version > 0) {
      this.store.writeConfiguration(this.version);
    }
    for (const id of this.store.getServerIds()) {
      if (!this.servers.has(id)) {
        this.store.removeServer(id);
      }
    }
    for (const server of this.servers.values()) {
      this.store.writeServer(server);
    }
  }

  async passTime(durationMs: number): Promise<void> {
    await flushPromises();
    this.clock.advance(durationMs);
    await flushPromises();
  }

  /** Checks that nothing that the view has applied is undone. */
  check(): void {
    const version = this.view.configuration?.version ?? 0;
    expect(version, 'the configuration is never older than before').to.be.at.least(this.highestVersion);
    this.highestVersion = version;
    for (const { entry } of this.view.getReadyServers(ENGINES, this.clock.nowMs())) {
      const isReady =
        this.servers.get(entry.serverId)?.bornAtMs === entry.bornAtMs &&
        this.servers.get(entry.serverId)?.isLeaving === false;
      const isRetired = this.retired.has(`${entry.serverId}@${entry.bornAtMs}`);
      expect(isRetired && !isReady, `${entry.serverId} is used again`).to.equal(false);
    }
    this.recordRetired();
  }

  /** Checks that the view has caught up with the operator and the servers. */
  checkSettled(): void {
    const usableIds = [...this.view.getReadyServers(ENGINES, this.clock.nowMs())].map(
      ({ entry }) => entry.serverId,
    );
    const readyIds = [...this.servers.values()].filter(({ isLeaving }) => !isLeaving);
    expect(usableIds.sort()).to.deep.equal(readyIds.map(({ serverId }) => serverId).sort());
    expect(this.view.configuration?.version ?? 0).to.equal(this.version);
  }

  private recordRetired(): void {
    const ids = new Map<string, string>();
    for (const { serverId, bornAtMs, isLeaving } of this.view.getEntries()) {
      ids.set(serverId, `${serverId}@${bornAtMs}`);
      if (isLeaving) {
        this.retired.add(`${serverId}@${bornAtMs}`);
      }
    }
    for (const [serverId, incarnation] of this.previousIds) {
      const hasEnded = `${serverId}@${this.servers.get(serverId)?.bornAtMs ?? ''}` !== incarnation;
      if (hasEnded && !this.view.getEntry(toServerId(serverId))) {
        this.retired.add(incarnation);
      }
    }
    this.previousIds = ids;
  }
}

/** Runs random histories of a store that is restored from copies and checks the view of a router after each step. */
function checkRestores(makeStore: () => ModelStore, makeView: () => FleetView, numRuns = 400): Promise<void> {
  return fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 30, maxLength: 70, size: 'max' }), async (steps) => {
      const model = new RestoreModel(makeStore(), makeView());
      await model.watcher.start();
      for (const next of steps) {
        model.apply(next);
        await model.passTime(STEP_MS);
        model.check();
      }
      model.store.isReachable = true;
      for (let round = 0; round < SETTLING_ROUND_COUNT; round++) {
        model.rewrite();
        while (model.store.pendingCalls.length > 0) {
          model.store.deliver(0);
          await flushPromises();
          if (model.store.pendingCalls.length <= 2) {
            break;
          }
        }
        await model.passTime(STEP_MS);
        model.check();
      }
      model.checkSettled();
      await model.watcher.stop();
    }),
    { numRuns, seed: 1, endOnFailure: true },
  );
}

/** Faulty store client that doesn't see the era, so that a watch goes on from a revision that was given out again. */
class IgnoresEra extends ModelStore {
  protected override getPosition(): { readonly era: number; readonly revision: number } {
    return { ...super.getPosition(), era: 1 };
  }
}

/** Faulty view that applies the list of a restored store like any other. */
class TrustsRestoredList extends FleetView {
  override applyRestoredList(entries: readonly ServerEntry[], nowMs: number): void {
    super.applyList(entries, nowMs);
  }
}

/** Faulty store client that dates answers from before a restore as if they had been given after it. */
class DatesAnswersLate extends ModelStore {
  override deliver(index: number): void {
    for (const call of this.pendingCalls) {
      const { determined } = call;
      if (determined && 'era' in determined) {
        call.determined = { ...determined, era: this.era };
      }
    }
    super.deliver(index);
  }
}

describe('FleetWatcher with a store that is restored from copies', function () {
  this.timeout(120_000);

  it('undoes nothing that it has applied and misses no change', async () => {
    await checkRestores(
      () => new ModelStore(),
      () => new FleetView(),
    );
  });

  const makeStore = () => new ModelStore();
  const makeView = () => new FleetView();
  const faults: readonly [string, () => ModelStore, () => FleetView][] = [
    ['IgnoresEra', () => new IgnoresEra(), makeView],
    ['DatesAnswersLate', () => new DatesAnswersLate(), makeView],
    ['TrustsRestoredList', makeStore, () => new TrustsRestoredList()],
    ['AppliesAnyConfiguration', makeStore, () => new AppliesAnyConfiguration()],
  ];
  for (const [name, makeFaultyStore, makeFaultyView] of faults) {
    it(`detects the fault of ${name}`, async () => {
      const failure = await checkRestores(makeFaultyStore, makeFaultyView, 2_000).catch(
        (error: unknown) => error,
      );
      expect(failure).to.be.instanceOf(Error);
    });
  }
});
