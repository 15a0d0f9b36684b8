import { expect } from 'chai';
import {
  applyReportChanges,
  EngineController,
  type AgentReport,
  type ReportChanges,
} from '../../src/direct/index.js';
import {
  toFollowParams,
  type EngineCrashesParams,
  type SubscribeEngineReply,
} from '../../src/direct/messages.js';
import { delay, onBackgroundError, SystemClock } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import type { PeerConnection } from '../../src/transport/index.js';
import { makeProfile } from './fleetFixtures.js';
import { SlowEngine } from './SlowEngine.js';

const CLOCK = new SystemClock();

/** Number of routers of a large fleet. */
const FLEET_SIZE = 60;

/** Number of routers so far; agents count routers by their names. */
let routerCount = 0;

/** Router's side of a connection: receives reports and calls the controller's methods. */
class FakeRouter {
  readonly reports: AgentReport[] = [];
  /** Changes as received, from which `reports` is assembled. */
  readonly receivedChanges: ReportChanges[] = [];
  readonly crashes: EngineCrashesParams[] = [];
  readonly connection = {
    peerName: `router-${++routerCount}`,
    onClose: () => () => undefined,
    notify: (method: string, changes: ReportChanges) => {
      if (method === 'routing.engineCrashes') {
        this.crashes.push(changes as unknown as EngineCrashesParams);
        return;
      }
      this.receivedChanges.push(changes);
      this.reports.push(applyReportChanges(this.reports.at(-1), changes));
    },
  } as unknown as PeerConnection;

  constructor(private readonly controller: EngineController) {}

  call<T>(method: string, params: unknown): T {
    return this.controller.getMethods()[method]?.(params as never, this.connection) as T;
  }
}

describe('EngineController', function () {
  this.timeout(10_000);
  let engine: SlowEngine;
  let controller: EngineController;
  let router: FakeRouter;

  beforeEach(async () => {
    engine = new SlowEngine();
    const log = new Log('test', () => undefined);
    const deps = { clock: CLOCK, engine, engineAddress: '10.0.0.1:1', log, metrics: new Metrics() };
    controller = new EngineController(deps);
    router = new FakeRouter(controller);
    await controller.start();
    await delay(CLOCK, 20);
    router.call('residency.follow', toFollowParams(makeProfile(), 1));
    await delay(CLOCK, 350);
  });

  // Issue 39, FAULT: an exception in the loop ended the agent, or left its engine without control.
  it('goes on after an exception, and reports it', async () => {
    const failedTasks: string[] = [];
    onBackgroundError((_error, task) => failedTasks.push(task));
    engine.isFaulty = true;
    await delay(CLOCK, 700);
    engine.isFaulty = false;
    const reportCount = router.reports.length;
    engine.heldModels = [];
    await delay(CLOCK, 2_000);
    onBackgroundError(undefined);
    expect(failedTasks.length).to.be.greaterThan(0);
    expect(new Set(failedTasks)).to.deep.equal(new Set(['control of the engine']));
    expect(router.reports.length).to.be.greaterThan(reportCount);
  });

  afterEach(() => controller.stop());

  it('reports the pace of streams that routers have measured, and ignores values that are no time', async () => {
    for (const eventGapMs of [40, 40, undefined, 'x', -3]) {
      router.call('residency.started', { model: 'a', isInteractive: true });
      router.call('residency.ended', { model: 'a', isInteractive: true, eventGapMs });
    }
    await delay(CLOCK, 700);
    expect(router.reports.at(-1)?.paces?.a).to.deep.equal({ gapMs: 40, streamCount: 2, runningCount: 0 });
  });

  function heldNames(): string[] {
    return engine.heldModels.map(({ name }) => name);
  }

  it('reports that a model accepts no requests before unloading it, then loads the requested one', async () => {
    router.call('residency.want', { model: 'a', isInteractive: false, keptModels: [] });
    await delay(CLOCK, 900);
    expect(engine.orders.map(({ kind }) => kind)).to.deep.equal(['unload', 'load']);
    expect(heldNames()).to.include('a');
    const evictedModel = engine.orders[0]?.model;
    const reportIndex = router.reports.findIndex(
      ({ heldModels }) => !heldModels.some(({ name }) => name === evictedModel),
    );
    expect(router.reports[reportIndex]?.orderCount).to.equal(0);
  });

  // Two reports to a router are 80 ms apart, so that the unload came before the report that announces it.
  it('reports that a model accepts no requests before its unload also shortly after another report', async () => {
    const heldAtUnload: (readonly string[])[] = [];
    const sendOrder = engine.sendOrder.bind(engine);
    engine.sendOrder = (order) => {
      if (order.kind === 'unload') {
        const reported = router.reports.at(-1)?.heldModels.map(({ name }) => name) ?? [];
        heldAtUnload.push(reported.filter((name) => name === order.model));
      }
      return sendOrder(order);
    };
    router.call('residency.crashed', { fingerprint: 'f', crashCount: 2 });
    router.call('residency.want', { model: 'a', isInteractive: false, keptModels: [] });
    await delay(CLOCK, 600);
    expect(heldAtUnload).to.deep.equal([[]]);
  });

  it('retries an order without a response, conditional on the same state', async () => {
    engine.unansweredCount = 1;
    router.call('residency.want', { model: 'a', isInteractive: false, keptModels: [] });
    await delay(CLOCK, 900);
    expect(engine.orders.map(({ expectedOrderCount }) => expectedOrderCount)).to.deep.equal([0, 0, 1]);
    expect(heldNames()).to.include('a');
  });

  it('does not unload models on which a router runs requests', async () => {
    for (const model of ['b', 'c']) {
      router.call('residency.started', { model, isInteractive: true });
    }
    router.call('residency.want', { model: 'a', isInteractive: false, keptModels: [] });
    await delay(CLOCK, 600);
    expect(engine.orders).to.deep.equal([]);
  });

  it('makes an adapter ready, and returns false for a model that is not held', async () => {
    const ensure = (model: string) =>
      router.call<Promise<{ isReady: boolean }>>('residency.ensureAdapter', { model, adapter: 'a1' });
    expect((await ensure('b')).isReady).to.equal(true);
    expect((await ensure('a')).isReady).to.equal(false);
    expect(engine.orders.length).to.equal(1);
  });

  it('sends a complete report to a router that connects later, then changes to all routers', async () => {
    const second = new FakeRouter(controller);
    second.call('residency.follow', toFollowParams(makeProfile(), 1));
    await delay(CLOCK, 1_300);
    expect(second.receivedChanges[0]?.heldModels?.map(({ name }) => name)).to.deep.equal(['b', 'c']);
    expect(second.receivedChanges.at(-1)).not.to.have.any.keys('heldModels', 'bornAtMs', 'modelsOnDisk');
    // A change that goes to all routers at once.
    router.call('residency.leaving', { serverId: 'i-9', bornAtMs: 5 });
    expect(second.reports.at(-1)).to.deep.equal(router.reports.at(-1));
    expect(second.reports.at(-1)?.routerCount).to.equal(2);
  });

  // Issue 50, CONFIG: each router that sent a new version made the agent send a report to all of them.
  it('sends no report because routers have received a new version of the configuration', async () => {
    const routers = Array.from({ length: FLEET_SIZE }, () => new FakeRouter(controller));
    for (const follower of routers) {
      follower.call('residency.follow', toFollowParams(makeProfile(), 1));
    }
    await delay(CLOCK, 200);
    const countReports = () => routers.reduce((sum, { receivedChanges }) => sum + receivedChanges.length, 0);
    const before = countReports();
    for (const follower of routers) {
      follower.call('residency.follow', toFollowParams(makeProfile(), 2));
    }
    expect(countReports() - before).to.equal(0);
    // The next report that is due names the version.
    await delay(CLOCK, 1_300);
    expect(routers.map(({ reports }) => reports.at(-1)?.configurationVersion)).to.deep.equal(
      routers.map(() => 2),
    );
  });

  // Issue 50, CONFIG: each router sent the profile, of which one copy is enough.
  it('asks one router at a time for a profile that it does not have', async () => {
    const params = (version: number, models: string[]) => toFollowParams(makeProfile(models), version);
    const subscribe = (version: number, models: string[]) =>
      router.call<SubscribeEngineReply>('residency.subscribe', params(version, models)).profileState;
    expect(subscribe(2, ['a', 'b', 'c', 'd'])).to.equal('known');
    expect([subscribe(3, ['a']), subscribe(3, ['a'])]).to.deep.equal(['wanted', 'pending']);
    router.call('residency.follow', params(3, ['a']));
    expect(subscribe(3, ['a'])).to.equal('known');
    // A router that still has an older version is not asked for what it can no longer change.
    expect(subscribe(2, ['a', 'b', 'c', 'd'])).to.equal('known');
    expect(subscribe(4, ['b'])).to.equal('wanted');
    await delay(CLOCK, 1_050);
    expect(subscribe(4, ['b'])).to.equal('wanted');
  });

  // Issue 50, CONFIG: as above, while many routers connect.
  it('sends each router that connects one report, and the others none', () => {
    const routers = Array.from({ length: FLEET_SIZE }, () => new FakeRouter(controller));
    for (const follower of routers) {
      follower.call('residency.follow', toFollowParams(makeProfile(), 1));
    }
    expect(routers.map(({ receivedChanges }) => receivedChanges.length)).to.deep.equal(routers.map(() => 1));
  });

  it('reports fingerprints of requests that crash servers', () => {
    router.call('residency.crashed', { fingerprint: 'f', crashCount: 2 });
    expect(router.reports.at(-1)?.crashCounts).to.deep.equal({ f: 2 });
  });

  // Issue 50, CONFIG: each router that stated a crash made the agent send a report to all of them, also a crash that it knew.
  it('reports a crash count once, although several routers state it', () => {
    const { length } = router.receivedChanges;
    const state = (crashCount: number) => router.call('residency.crashed', { fingerprint: 'f', crashCount });
    state(2);
    state(2);
    state(1);
    expect(router.receivedChanges.length).to.equal(length + 1);
    state(3);
    expect(router.reports.at(-1)?.crashCounts).to.deep.equal({ f: 3 });
  });

  it('tells all routers which prompt parts broke off at a crash, also while the engine is down', async () => {
    router.call('residency.brokenOff', { bornAtMs: 1, promptParts: ['a', 'b'] });
    engine.isDown = true;
    await delay(CLOCK, 350);
    expect(router.crashes.map(({ crashes }) => crashes[0]?.requestCounts)).to.deep.equal([{ a: 1, b: 1 }]);
    router.call('residency.partsAnswered', { promptParts: ['a'] });
    await delay(CLOCK, 150);
    expect(router.crashes.at(-1)?.crashes[0]?.requestCounts).to.deep.equal({ b: 1 });
    const second = new FakeRouter(controller);
    second.call('residency.follow', toFollowParams(makeProfile(), 1));
    expect(second.crashes.at(-1)?.crashes[0]?.requestCounts).to.deep.equal({ b: 1 });
  });

  it('reports servers that routers found to be leaving, once each', () => {
    const { length } = router.receivedChanges;
    const notify = (bornAtMs: number) => router.call('residency.leaving', { serverId: 'i-9', bornAtMs });
    notify(5);
    notify(5);
    notify(4);
    expect(router.receivedChanges.length).to.equal(length + 1);
    expect(router.reports.at(-1)?.leavingServers).to.deep.equal({ 'i-9': 5 });
  });
});
