import { expect } from 'chai';
import { toDataCentreId, type ServerId } from '../../src/domain/index.js';
import {
  FleetView,
  ServerChooser,
  type AgentConnections,
  type AgentReport,
  type WantModelParams,
} from '../../src/direct/index.js';
import { ModelPlacer, type PaceSource } from '../../src/placement/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import {
  ENGINES,
  makeConfiguration,
  makeEntry,
  makeHeldModel,
  makeReport,
  makeRoute,
} from '../direct/fleetFixtures.js';

const LIVE = { runningCount: 1, idleForMs: 0, isProtected: true };
const IN_DEMAND = { runningCount: 0, idleForMs: 500, isProtected: false };
const WITHOUT_DEMAND = { runningCount: 0, idleForMs: 60_000, isProtected: false };
const MODELS_ON_DISK = ['a', 'b', 'c', 'd'];

/** Lets a placer review replicas of a, which the first server holds; returns its load requests by address. */
async function review(
  reports: readonly Partial<AgentReport>[],
  pace?: PaceSource,
): Promise<Map<string, WantModelParams>> {
  const clock = new ManualClock();
  const view = new FleetView();
  view.applyConfiguration(makeConfiguration(1, [makeRoute({ maxGapMs: 200 })]));
  const entries = reports.map((_, index) => makeEntry('x'.repeat(index + 1)));
  view.applyList(entries, 0);
  for (const [index, entry] of entries.entries()) {
    view.applyReport(makeReport(entry, { modelsOnDisk: MODELS_ON_DISK, ...reports[index] }), 0);
  }
  const requests = new Map<string, WantModelParams>();
  const agentConnections = {
    requestModel: (address: string, params: WantModelParams) => requests.set(address, params),
  } as unknown as AgentConnections;
  const placer = new ModelPlacer({
    clock,
    view,
    chooser: new ServerChooser(view, toDataCentreId('here'), () => 0),
    agentConnections,
    log: new Log('test', () => undefined),
    metrics: new Metrics(),
    pace,
  });
  await placer.start();
  placer.recordTraffic();
  placer.recordInteractiveUse(ENGINES, 'a');
  clock.advance(260);
  await placer.stop();
  return requests;
}

function holds(uses: AgentReport['uses']): Partial<AgentReport> {
  return { uses, heldModels: Object.keys(uses).map((model) => makeHeldModel(model)) };
}

describe('ModelPlacer', () => {
  const holder = holds({ a: LIVE });

  // Guards against the last copy of a batch model in demand that is evicted for a second replica of a live one.
  it('requests no replica at the price of the last copy of a model in demand', async () => {
    expect([...(await review([holder, holds({ b: IN_DEMAND, c: IN_DEMAND })])).keys()]).to.deep.equal([]);
  });

  it('requests a replica in the slot of a model without demand, and names the model to keep', async () => {
    const requests = await review([holder, holds({ b: IN_DEMAND, c: WITHOUT_DEMAND })]);
    expect([...requests.values()]).to.deep.equal([
      { model: 'a', isInteractive: true, keptModels: ['b'], evictableModels: ['c'] },
    ]);
  });

  it('requests a replica on a fast server that gives up something less needed if all holders are too slow', async () => {
    const getPace = (fast: string): PaceSource => ({
      getPaceFactor: () => 1,
      getExpectedGapMs: (serverId: ServerId) => (serverId === fast ? 60 : 100),
    });
    const reports = [holder, holds({ b: IN_DEMAND, c: IN_DEMAND }), holds({ d: WITHOUT_DEMAND })];
    const busy = { ...LIVE, runningCount: 9 };
    const slow = holds({ a: busy });
    const requests = await review([slow, ...reports.slice(1)], getPace('xx'));
    expect([...requests.keys()]).to.deep.equal([makeEntry('xx').address]);
    expect([...(await review([slow, ...reports.slice(1)], getPace('x'))).keys()]).to.deep.equal([
      makeEntry('xxx').address,
    ]);
  });
});
