import { expect } from 'chai';
import {
  choosePlacement,
  findPendingLoad,
  findUnderReplicatedModels,
  FleetView,
  type AgentReport,
  type KnownServer,
  type PlacementRequirements,
} from '../../../src/direct/index.js';
import { ENGINES, makeHeldModel, makeEntry, makeProfile, makeReport } from '../fleetFixtures.js';

const PROFILE = makeProfile();

/** Creates servers x, xx, xxx ... with the given reports; models b and c are loaded on each. */
function makeServers(reports: readonly Partial<AgentReport>[]): KnownServer[] {
  const view = new FleetView();
  const entries = reports.map((_, index) =>
    makeEntry('x'.repeat(index + 1), { heldModels: [makeHeldModel('b'), makeHeldModel('c')] }),
  );
  view.applyList(entries, 0);
  for (const [index, report] of reports.entries()) {
    const entry = entries[index];
    if (entry) {
      view.applyReport(makeReport(entry, report), 0);
    }
  }
  return [...view.getReadyServers(ENGINES, 0)];
}

function makeRequirements(overrides: Partial<PlacementRequirements> = {}): PlacementRequirements {
  const footprint = PROFILE.models.get('a');
  if (!footprint) {
    throw new Error('The profile has no model a.');
  }
  return { model: 'a', footprint, isInteractive: false, maxStartMs: 0, mayFetchCopy: false, ...overrides };
}

describe('choosePlacement', () => {
  function doTest(
    reports: readonly Partial<AgentReport>[],
    overrides: Partial<PlacementRequirements>,
    expected: string | undefined,
  ) {
    const choice = choosePlacement(makeRequirements(overrides), makeServers(reports), PROFILE);
    expect(choice?.server.entry.serverId).to.equal(expected);
  }

  it('chooses the server that has the weights on disk', () =>
    doTest([{}, { modelsOnDisk: ['a'] }], {}, 'xx'));

  it('chooses no server, rather than fetch the weights again, while the server that has them is busy', () =>
    doTest([{}, { modelsOnDisk: ['a'], isBusy: true }], {}, undefined));

  it('chooses a busy server within the maximum time until the start', () =>
    doTest([{}, { modelsOnDisk: ['a'], isBusy: true }], { maxStartMs: 1_000 }, 'xx'));

  it('avoids a server that loads another model from the store', () =>
    doTest(
      [
        { modelsOnDisk: ['a'], loadingModel: 'd', loadingForMs: 1_000, isBusy: true },
        { modelsOnDisk: ['a'], queuedModels: ['d'] },
      ],
      { isInteractive: true, maxStartMs: Infinity },
      'xx',
    ));

  it('loads weights that no server has from the store', () => doTest([{}], {}, 'x'));

  it('loads at most four models at once from the store for batch work', () => {
    const loading = { isBusy: true, loadingModel: 'd' };
    doTest([loading, loading, loading, loading, {}], {}, undefined);
    doTest([loading, loading, loading, loading, {}], { isInteractive: true }, 'xxxxx');
  });

  // Guards against replicas whose loads slow each other down until none ends, with the queues of their engines blocked (issue 30).
  it('counts another replica of a held model among the loads from the store', () => {
    const loading = { isBusy: true, loadingModel: 'd' };
    const requirements = { isInteractive: true, isReplica: true };
    doTest([loading, loading, loading, {}], requirements, 'xxxx');
    doTest([loading, loading, loading, loading, {}], requirements, undefined);
  });

  it('does not evict protected models', () => {
    const interactiveUse = { runningCount: 1, idleForMs: 0, isProtected: true };
    doTest(
      [{ modelsOnDisk: ['a'], uses: { b: interactiveUse, c: interactiveUse } }],
      { maxStartMs: Infinity },
      undefined,
    );
  });

  it('prefers the server whose models are idle for longer', () => {
    const recentUse = { runningCount: 0, idleForMs: 0, isProtected: false };
    const reports = [{ modelsOnDisk: ['a'], uses: { b: recentUse, c: recentUse } }, { modelsOnDisk: ['a'] }];
    doTest(reports, {}, 'xx');
  });

  it('skips servers without a report of their agent', () => {
    const view = new FleetView();
    view.applyList([makeEntry('x', { modelsOnDisk: ['a'] })], 0);
    expect(choosePlacement(makeRequirements(), [...view.getReadyServers(ENGINES, 0)], PROFILE)).to.equal(
      undefined,
    );
  });
});

describe('findPendingLoad', () => {
  it('returns the remaining time of a load in progress', () => {
    const servers = makeServers([{ loadingModel: 'a', loadingForMs: 5_000, isBusy: true }]);
    expect(findPendingLoad(makeRequirements(), servers, PROFILE)?.readyInMs).to.equal(1_000);
  });

  it('includes the remaining time of the load that a queued model waits for', () => {
    const servers = makeServers([
      { loadingModel: 'd', loadingForMs: 2_000, isBusy: true, queuedModels: ['a'], modelsOnDisk: ['a'] },
    ]);
    expect(findPendingLoad(makeRequirements(), servers, PROFILE)?.readyInMs).to.equal(5_000);
  });

  it('estimates the remaining time of an overdue load from its time so far', () => {
    const servers = makeServers([{ loadingModel: 'a', loadingForMs: 10_000, isBusy: true }]);
    expect(findPendingLoad(makeRequirements(), servers, PROFILE)?.readyInMs).to.equal(2_500);
  });

  it('returns undefined when no server loads the model', () => {
    expect(findPendingLoad(makeRequirements(), makeServers([{}]), PROFILE)).to.equal(undefined);
  });
});

describe('findUnderReplicatedModels', () => {
  it('returns models with fewer copies than the target, those without copies first', () => {
    const servers = makeServers([{ modelsOnDisk: ['b', 'c'] }, { modelsOnDisk: ['b'] }]);
    expect(findUnderReplicatedModels(servers, PROFILE, 1)).to.deep.equal(['a', 'd']);
    expect(findUnderReplicatedModels(servers, PROFILE, 2)).to.deep.equal(['a', 'd', 'c']);
  });

  it('returns models in demand first', () => {
    const servers = makeServers([{ modelsOnDisk: ['b', 'c'] }, { modelsOnDisk: ['b'] }]);
    const getDemand = (model: string) => (model === 'd' ? 1 : 0);
    expect(findUnderReplicatedModels(servers, PROFILE, 1, getDemand)).to.deep.equal(['d', 'a']);
  });

  // Guards against a fleet that fetches nothing ahead because one engine is silent.
  it('counts what the list entry of a server without a fresh report names', () => {
    const [server] = makeServers([{ modelsOnDisk: ['d'] }]);
    const view = new FleetView();
    view.applyList([makeEntry('xx', { heldModels: [makeHeldModel('b')], modelsOnDisk: ['c'] })], 0);
    const servers = [...(server ? [server] : []), ...view.getReadyServers(ENGINES, 0)];
    expect(findUnderReplicatedModels(servers, PROFILE, 1)).to.deep.equal(['a']);
  });

  it('returns one model at a time where a load takes more than half of the maximum total load time', () => {
    const models = [...PROFILE.models].map(([name, footprint]) => {
      return [name, { ...footprint, storeLoadMs: 13_200 }] as const;
    });
    const slowProfile = { ...PROFILE, models: new Map(models) };
    expect(findUnderReplicatedModels(makeServers([{}, {}]), slowProfile, 1)).to.deep.equal(['a']);
    const isLoading = { isBusy: true, loadingModel: 'a' };
    expect(findUnderReplicatedModels(makeServers([isLoading, {}]), slowProfile, 1)).to.deep.equal([]);
  });
});
