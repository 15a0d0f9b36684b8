import { expect } from 'chai';
import { toDataCentreId, toServiceId } from '../../src/domain/index.js';
import {
  FleetView,
  ModelLoader,
  ServerChooser,
  type AgentConnections,
  type AgentReport,
  type ModelWait,
  type WantModelParams,
  type WaitResult,
} from '../../src/direct/index.js';
import { Log } from '../../src/telemetry/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { flushPromises } from '../waiting.js';
import { ENGINES, makeHeldModel, makeConfiguration, makeEntry, makeReport } from './fleetFixtures.js';

/** A loader with two engines that hold b and c; records its load requests. */
class ModelLoaderBench {
  readonly clock = new ManualClock();
  readonly view = new FleetView();
  readonly loadRequests: string[] = [];
  readonly loader: ModelLoader;
  private readonly entries = [
    makeEntry('x', { heldModels: [makeHeldModel('b'), makeHeldModel('c')] }),
    makeEntry('xx', { heldModels: [makeHeldModel('b'), makeHeldModel('c')] }),
  ];

  constructor() {
    this.view.applyConfiguration(makeConfiguration(1));
    this.view.applyList(this.entries, 0);
    const agentConnections = {
      requestModel: (address: string, { model }: WantModelParams) =>
        this.loadRequests.push(`${model} at ${address.slice(-1)}`),
    } as unknown as AgentConnections;
    this.loader = new ModelLoader({
      clock: this.clock,
      view: this.view,
      chooser: new ServerChooser(this.view, toDataCentreId('here'), () => 0),
      agentConnections,
      log: new Log('test', () => undefined),
    });
  }

  /** Applies reports of both agents and reviews all waits. */
  report(first: Partial<AgentReport>, second: Partial<AgentReport> = {}): void {
    for (const [index, overrides] of [first, second].entries()) {
      const entry = this.entries[index];
      if (entry) {
        this.view.applyReport(makeReport(entry, overrides), this.clock.nowMs());
      }
    }
    this.loader.reviewWaits();
  }

  /** Starts a wait and collects its result. */
  wait(overrides: Partial<ModelWait> = {}): { result?: WaitResult } {
    const pending: { result?: WaitResult } = {};
    const wait = { requestId: 'r', serviceId: ENGINES, model: 'a', isInteractive: false, untilMs: 9_000 };
    void this.loader.waitFor({ ...wait, ...overrides }).then((result) => (pending.result = result));
    return pending;
  }
}

describe('ModelLoader', () => {
  describe('waitFor', () => {
    it('requests a load once from the engine with the weights on disk, and resolves when a report shows the model', async () => {
      const bench = new ModelLoaderBench();
      bench.report({}, { modelsOnDisk: ['a'] });
      const first = bench.wait({ requestId: 'r1' });
      const second = bench.wait({ requestId: 'r2' });
      expect(bench.loadRequests).to.deep.equal(['a at 2']);
      bench.report({}, { modelsOnDisk: ['a'], loadingModel: 'a', isBusy: true });
      expect(bench.loadRequests).to.deep.equal(['a at 2']);
      bench.report({}, { heldModels: [makeHeldModel('a'), makeHeldModel('c')] });
      await flushPromises();
      expect([first.result?.kind, second.result?.kind]).to.deep.equal(['ready', 'ready']);
    });

    it('requests no load while the engines with the weights are busy, then uses the first idle one', () => {
      const bench = new ModelLoaderBench();
      bench.report({ modelsOnDisk: ['a'], isBusy: true }, { modelsOnDisk: ['a'], isBusy: true });
      bench.wait();
      expect(bench.loadRequests).to.deep.equal([]);
      bench.clock.advance(100);
      bench.report({ modelsOnDisk: ['a'], isBusy: true }, { modelsOnDisk: ['a'] });
      expect(bench.loadRequests).to.deep.equal(['a at 2']);
    });

    it('uses an idle engine at once if the requested agent had no free memory', () => {
      const bench = new ModelLoaderBench();
      const inUse = { runningCount: 3, idleForMs: 0, isProtected: false };
      const isUsed = { modelsOnDisk: ['a'], uses: { b: inUse, c: inUse } };
      bench.report(isUsed, { ...isUsed, isBusy: true });
      bench.wait();
      bench.clock.advance(2_050);
      bench.report(isUsed, { ...isUsed, isBusy: true });
      expect(bench.loadRequests).to.deep.equal(['a at 1']);
      bench.clock.advance(200);
      bench.report(isUsed, { modelsOnDisk: ['a'] });
      expect(bench.loadRequests).to.deep.equal(['a at 1', 'a at 2']);
    });

    it('requests a model for an interactive request elsewhere if it is queued behind a long load', () => {
      const bench = new ModelLoaderBench();
      const isLoading = { loadingModel: 'd', loadingForMs: 1_000, isBusy: true };
      bench.report({ modelsOnDisk: ['a'], queuedModels: ['a'], ...isLoading }, { modelsOnDisk: ['a'] });
      bench.wait({ isInteractive: true });
      expect(bench.loadRequests).to.deep.equal(['a at 2']);
    });

    // Guards against batch requests that are refused while the only agent that queues their model is blocked (issue 30).
    it('requests a model for a batch request elsewhere if it is queued behind a long load', () => {
      const bench = new ModelLoaderBench();
      const isLoading = { loadingModel: 'd', loadingForMs: 1_000, isBusy: true };
      bench.report({ modelsOnDisk: ['a'], queuedModels: ['a'], ...isLoading }, { modelsOnDisk: ['a'] });
      bench.wait({ untilMs: 3_000 });
      expect(bench.loadRequests).to.deep.equal(['a at 2']);
    });

    it('renews a load request of another router', () => {
      const bench = new ModelLoaderBench();
      const isQueued = { modelsOnDisk: ['a'], queuedModels: ['a'] };
      bench.report(isQueued);
      bench.wait({ isInteractive: true });
      bench.clock.advance(600);
      bench.report(isQueued);
      expect(bench.loadRequests).to.include('a at 1');
    });

    it('refuses a wait at once if the model cannot be ready in time', async () => {
      const bench = new ModelLoaderBench();
      bench.report({});
      const pending = bench.wait({ isInteractive: true, untilMs: 1_700 });
      await flushPromises();
      expect(pending.result?.kind).to.equal('tooLate');
    });

    it('does not refuse a request shortly before a pending load ends', async () => {
      const bench = new ModelLoaderBench();
      bench.report({ loadingModel: 'a', loadingForMs: 5_900, isBusy: true });
      const pending = bench.wait({ untilMs: 2_000 });
      await flushPromises();
      expect(pending.result).to.equal(undefined);
    });

    it('reviews all waits once after several updates', async () => {
      const bench = new ModelLoaderBench();
      bench.report({ isBusy: true, modelsOnDisk: ['a'] }, { isBusy: true });
      const pending = bench.wait();
      bench.view.applyList([makeEntry('x', { heldModels: [makeHeldModel('a')] })], 0);
      bench.view.discardReport(makeEntry('x').address);
      bench.loader.scheduleReview();
      bench.loader.scheduleReview();
      await flushPromises();
      expect(pending.result).to.equal(undefined);
      bench.clock.advance(20);
      await flushPromises();
      expect(pending.result?.kind).to.equal('ready');
    });

    it('refuses a wait if no server is available in time', async () => {
      const bench = new ModelLoaderBench();
      const inUse = { runningCount: 1, idleForMs: 0, isProtected: true };
      const report = { modelsOnDisk: ['a'], uses: { b: inUse, c: inUse } };
      bench.report(report, report);
      const pending = bench.wait({ untilMs: 500 });
      bench.clock.advance(600);
      bench.report(report, report);
      await flushPromises();
      expect(pending.result?.kind).to.equal('noPlace');
    });

    it('refuses waits in vain after three seconds, and later ones at once until an engine has room', async () => {
      const bench = new ModelLoaderBench();
      const inUse = { runningCount: 20, idleForMs: 0, isProtected: true };
      const isFull = { modelsOnDisk: ['a'], runningCount: 40, uses: { b: inUse, c: inUse } };
      bench.report(isFull, isFull);
      const first = bench.wait({ untilMs: 9_000 });
      bench.clock.advance(2_900);
      bench.report(isFull, isFull);
      await flushPromises();
      expect(first.result).to.equal(undefined);
      bench.clock.advance(200);
      bench.report(isFull, isFull);
      const second = bench.wait({ requestId: 'r2', untilMs: 12_000 });
      await flushPromises();
      expect([first.result?.kind, second.result?.kind]).to.deep.equal(['noPlace', 'noPlace']);
      bench.report(isFull, { modelsOnDisk: ['a'] });
      const third = bench.wait({ requestId: 'r3', untilMs: 12_000 });
      await flushPromises();
      expect(third.result).to.equal(undefined);
      expect(bench.loadRequests).to.deep.equal(['a at 2']);
    });

    // Issue 30: waits at two services with a model of one name were one wait, so that one got the refusal of the other.
    it('requests a load at a service with a free engine while another service has no room for a model of that name', async () => {
      const bench = new ModelLoaderBench();
      const inUse = { runningCount: 20, idleForMs: 0, isProtected: true };
      const isFull = { modelsOnDisk: ['a'], runningCount: 40, uses: { b: inUse, c: inUse } };
      bench.report(isFull, isFull);
      const otherId = toServiceId('others');
      const configuration = makeConfiguration(2);
      const engine = configuration.services.get(ENGINES)?.engine;
      const services = new Map([
        ...configuration.services,
        [otherId, { serviceId: otherId, maxConnections: 300, engine }] as const,
      ]);
      bench.view.applyConfiguration({ ...configuration, services });
      const free = makeEntry('xxx', { serviceId: otherId });
      bench.view.applyEntry(free);
      bench.view.applyReport(makeReport(free, { modelsOnDisk: ['a'] }), bench.clock.nowMs());
      const refused = bench.wait({ untilMs: 9_000 });
      bench.clock.advance(100);
      const served = bench.wait({ requestId: 'r2', serviceId: otherId, untilMs: 9_000 });
      expect(bench.loadRequests).to.deep.equal(['a at 3']);
      bench.clock.advance(3_000);
      bench.view.applyReport(makeReport(free, { modelsOnDisk: ['a'] }), bench.clock.nowMs());
      bench.report(isFull, isFull);
      await flushPromises();
      expect([refused.result?.kind, served.result?.kind]).to.deep.equal(['noPlace', undefined]);
    });

    it('refuses a model that is not configured', async () => {
      const bench = new ModelLoaderBench();
      const pending = bench.wait({ model: 'unknown' });
      await flushPromises();
      expect(pending.result?.kind).to.equal('noPlace');
    });
  });

  describe('recordInteractiveUse', () => {
    it('requests a second replica of a model in interactive use, so that one remains if the other is lost', async () => {
      const bench = new ModelLoaderBench();
      await bench.loader.start();
      bench.report(
        { heldModels: [makeHeldModel('a'), makeHeldModel('b')] },
        { modelsOnDisk: ['a', 'b', 'c', 'd'] },
      );
      bench.loader.recordTraffic();
      bench.loader.recordInteractiveUse(ENGINES, 'a');
      bench.clock.advance(260);
      await bench.loader.stop();
      expect(bench.loadRequests).to.include('a at 2');
    });
  });

  describe('loading ahead of use', () => {
    it('requests models that are on no disk before the first request', async () => {
      const bench = new ModelLoaderBench();
      await bench.loader.start();
      bench.report({ modelsOnDisk: ['b', 'c'] }, { modelsOnDisk: ['b', 'c'] });
      bench.clock.advance(260);
      await bench.loader.stop();
      expect(bench.loadRequests.map((loadRequest) => loadRequest.slice(0, 1))).to.have.members(['a', 'd']);
    });
  });
});
