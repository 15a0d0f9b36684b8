import { expect } from 'chai';
import { toDataCentreId } from '../../src/domain/index.js';
import {
  FleetView,
  ModelLoader,
  ServerChooser,
  type AgentConnections,
  type AgentReport,
  type ModelWait,
  type WaitResult,
} from '../../src/direct/index.js';
import { Log } from '../../src/telemetry/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { flushPromises } from '../waiting.js';
import { ENGINES, makeHeldModel, makeConfiguration, makeEntry, makeReport } from './fleetFixtures.js';

/** A desk over two engines that hold b and c, and what it asked agents for. */
class DeskBench {
  readonly clock = new ManualClock();
  readonly view = new FleetView();
  readonly wishes: string[] = [];
  readonly desk: ModelLoader;
  private readonly entries = [
    makeEntry('x', { heldModels: [makeHeldModel('b'), makeHeldModel('c')] }),
    makeEntry('xx', { heldModels: [makeHeldModel('b'), makeHeldModel('c')] }),
  ];

  constructor() {
    this.view.applyConfiguration(makeConfiguration(1));
    this.view.applyList(this.entries, 0);
    const links = {
      requestModel: (address: string, model: string) => this.wishes.push(`${model} at ${address.slice(-1)}`),
    } as unknown as AgentConnections;
    this.desk = new ModelLoader({
      clock: this.clock,
      view: this.view,
      chooser: new ServerChooser(this.view, toDataCentreId('here'), () => 0),
      agentConnections: links,
      log: new Log('test', () => undefined),
    });
  }

  /** Takes reports of both agents, as they come several times a second. */
  report(first: Partial<AgentReport>, second: Partial<AgentReport> = {}): void {
    for (const [index, overrides] of [first, second].entries()) {
      const entry = this.entries[index];
      if (entry) {
        this.view.applyReport(makeReport(entry, overrides), this.clock.nowMs());
      }
    }
    this.desk.reviewWaits();
  }

  /** Starts a wait and collects its result. */
  wait(overrides: Partial<ModelWait> = {}): { result?: WaitResult } {
    const box: { result?: WaitResult } = {};
    const wait = { requestId: 'r', serviceId: ENGINES, model: 'a', isInteractive: false, untilMs: 9_000 };
    void this.desk.waitFor({ ...wait, ...overrides }).then((result) => (box.result = result));
    return box;
  }
}

describe('ModelLoader', () => {
  describe('waitFor', () => {
    it('asks the engine with the weights on its disk, once, and ends when a report shows the model', async () => {
      const bench = new DeskBench();
      bench.report({}, { modelsOnDisk: ['a'] });
      const first = bench.wait({ requestId: 'r1' });
      const second = bench.wait({ requestId: 'r2' });
      expect(bench.wishes).to.deep.equal(['a at 2']);
      bench.report({}, { modelsOnDisk: ['a'], loadingModel: 'a', isBusy: true });
      expect(bench.wishes).to.deep.equal(['a at 2']);
      bench.report({}, { heldModels: [makeHeldModel('a'), makeHeldModel('c')] });
      await flushPromises();
      expect([first.result?.kind, second.result?.kind]).to.deep.equal(['ready', 'ready']);
    });

    it('leaves a model unbound while the engine with its weights is busy, and takes the first idle place', () => {
      const bench = new DeskBench();
      bench.report({ modelsOnDisk: ['a'], isBusy: true }, { modelsOnDisk: ['a'], isBusy: true });
      bench.wait();
      expect(bench.wishes).to.deep.equal([]);
      bench.clock.advance(100);
      bench.report({ modelsOnDisk: ['a'], isBusy: true }, { modelsOnDisk: ['a'] });
      expect(bench.wishes).to.deep.equal(['a at 2']);
    });

    it('takes an idle place at once when the agent that was asked had no room', () => {
      const bench = new DeskBench();
      const inUse = { runningCount: 3, idleForMs: 0, isProtected: false };
      const isUsed = { modelsOnDisk: ['a'], uses: { b: inUse, c: inUse } };
      bench.report(isUsed, { ...isUsed, isBusy: true });
      bench.wait();
      bench.clock.advance(2_050);
      bench.report(isUsed, { ...isUsed, isBusy: true });
      expect(bench.wishes).to.deep.equal(['a at 1']);
      bench.clock.advance(200);
      bench.report(isUsed, { modelsOnDisk: ['a'] });
      expect(bench.wishes).to.deep.equal(['a at 1', 'a at 2']);
    });

    it('has a model that is waited for live loaded elsewhere when it is queued behind a long load', () => {
      const bench = new DeskBench();
      const isLoading = { loadingModel: 'd', loadingForMs: 1_000, isBusy: true };
      bench.report({ modelsOnDisk: ['a'], queuedModels: ['a'], ...isLoading }, { modelsOnDisk: ['a'] });
      bench.wait({ isInteractive: true });
      expect(bench.wishes).to.deep.equal(['a at 2']);
    });

    it('keeps a wish alive that another router began', () => {
      const bench = new DeskBench();
      const isQueued = { modelsOnDisk: ['a'], queuedModels: ['a'] };
      bench.report(isQueued);
      bench.wait({ isInteractive: true });
      bench.clock.advance(600);
      bench.report(isQueued);
      expect(bench.wishes).to.include('a at 1');
    });

    it('refuses at once what can not be ready in time', async () => {
      const bench = new DeskBench();
      bench.report({});
      const box = bench.wait({ isInteractive: true, untilMs: 1_700 });
      await flushPromises();
      expect(box.result?.kind).to.equal('tooLate');
    });

    it('does not refuse a request just before a load ends that has been waited for', async () => {
      const bench = new DeskBench();
      bench.report({ loadingModel: 'a', loadingForMs: 5_900, isBusy: true });
      const box = bench.wait({ untilMs: 2_000 });
      await flushPromises();
      expect(box.result).to.equal(undefined);
    });

    it('looks at all waits once for the news of a moment', async () => {
      const bench = new DeskBench();
      bench.report({ isBusy: true, modelsOnDisk: ['a'] }, { isBusy: true });
      const box = bench.wait();
      bench.view.applyList([makeEntry('x', { heldModels: [makeHeldModel('a')] })], 0);
      bench.view.dropReport(makeEntry('x').address);
      bench.desk.scheduleReview();
      bench.desk.scheduleReview();
      await flushPromises();
      expect(box.result).to.equal(undefined);
      bench.clock.advance(20);
      await flushPromises();
      expect(box.result?.kind).to.equal('ready');
    });

    it('gives up when no place came in time', async () => {
      const bench = new DeskBench();
      const inUse = { runningCount: 1, idleForMs: 0, isProtected: true };
      const report = { modelsOnDisk: ['a'], uses: { b: inUse, c: inUse } };
      bench.report(report, report);
      const box = bench.wait({ untilMs: 500 });
      bench.clock.advance(600);
      bench.report(report, report);
      await flushPromises();
      expect(box.result?.kind).to.equal('noPlace');
    });

    it('knows no place for a model that is not configured', async () => {
      const bench = new DeskBench();
      const box = bench.wait({ model: 'unknown' });
      await flushPromises();
      expect(box.result?.kind).to.equal('noPlace');
    });
  });

  describe('recordInteractiveUse', () => {
    it('has a second replica loaded of a model in live use, so that the loss of one leaves the other', async () => {
      const bench = new DeskBench();
      await bench.desk.start();
      bench.report(
        { heldModels: [makeHeldModel('a'), makeHeldModel('b')] },
        { modelsOnDisk: ['a', 'b', 'c', 'd'] },
      );
      bench.desk.recordTraffic();
      bench.desk.recordInteractiveUse(ENGINES, 'a');
      bench.clock.advance(260);
      await bench.desk.stop();
      expect(bench.wishes).to.include('a at 2');
    });
  });

  describe('fetching ahead', () => {
    it('loads models that are on no disk while no requests come', async () => {
      const bench = new DeskBench();
      await bench.desk.start();
      bench.report({ modelsOnDisk: ['b', 'c'] }, { modelsOnDisk: ['b', 'c'] });
      bench.clock.advance(260);
      await bench.desk.stop();
      expect(bench.wishes.map((wish) => wish.slice(0, 1))).to.have.members(['a', 'd']);
    });
  });
});
