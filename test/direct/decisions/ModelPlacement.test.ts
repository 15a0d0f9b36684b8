import { expect } from 'chai';
import {
  choosePlacement,
  findPendingLoad,
  findScarceModels,
  FleetView,
  type AgentReport,
  type KnownServer,
  type PlacementRequirements,
} from '../../../src/direct/index.js';
import { ENGINES, makeHeldModel, makeEntry, makeProfile, makeReport } from '../fleetFixtures.js';

const PROFILE = makeProfile();

/** Servers x, xx, xxx ... with the given reports; each holds b and c. */
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

function makeNeed(overrides: Partial<PlacementRequirements> = {}): PlacementRequirements {
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
    const choice = choosePlacement(makeNeed(overrides), makeServers(reports), PROFILE);
    expect(choice?.server.entry.serverId).to.equal(expected);
  }

  it('takes the server that has the weights on its disk', () =>
    doTest([{}, { modelsOnDisk: ['a'] }], {}, 'xx'));

  it('waits for a busy server with the weights rather than fetch them again', () =>
    doTest([{}, { modelsOnDisk: ['a'], isBusy: true }], {}, undefined));

  it('goes to a busy server when that was waited for', () =>
    doTest([{}, { modelsOnDisk: ['a'], isBusy: true }], { maxStartMs: 1_000 }, 'xx'));

  it('goes round a server that loads another model from the store', () =>
    doTest(
      [
        { modelsOnDisk: ['a'], loadingModel: 'd', loadingForMs: 1_000, isBusy: true },
        { modelsOnDisk: ['a'], queuedModels: ['d'] },
      ],
      { isInteractive: true, maxStartMs: Infinity },
      'xx',
    ));

  it('fetches weights that no server has', () => doTest([{}], {}, 'x'));

  it('fetches no more than four models at once for work that can wait', () => {
    const loading = { isBusy: true, loadingModel: 'd' };
    doTest([loading, loading, loading, loading, {}], {}, undefined);
    doTest([loading, loading, loading, loading, {}], { isInteractive: true }, 'xxxxx');
  });

  it('leaves protected models alone', () => {
    const live = { runningCount: 1, idleForMs: 0, isProtected: true };
    doTest([{ modelsOnDisk: ['a'], uses: { b: live, c: live } }], { maxStartMs: Infinity }, undefined);
  });

  it('prefers the place whose model was not used for long', () => {
    const recent = { runningCount: 0, idleForMs: 0, isProtected: false };
    const reports = [{ modelsOnDisk: ['a'], uses: { b: recent, c: recent } }, { modelsOnDisk: ['a'] }];
    doTest(reports, {}, 'xx');
  });

  it('uses no server whose agent is silent', () => {
    const view = new FleetView();
    view.applyList([makeEntry('x', { modelsOnDisk: ['a'] })], 0);
    expect(choosePlacement(makeNeed(), [...view.getReadyServers(ENGINES, 0)], PROFILE)).to.equal(undefined);
  });
});

describe('findPendingLoad', () => {
  it('counts a load under way down', () => {
    const servers = makeServers([{ loadingModel: 'a', loadingForMs: 5_000, isBusy: true }]);
    expect(findPendingLoad(makeNeed(), servers, PROFILE)?.readyInMs).to.equal(1_000);
  });

  it('counts the load that a queued model must wait for', () => {
    const servers = makeServers([
      { loadingModel: 'd', loadingForMs: 2_000, isBusy: true, queuedModels: ['a'], modelsOnDisk: ['a'] },
    ]);
    expect(findPendingLoad(makeNeed(), servers, PROFILE)?.readyInMs).to.equal(5_000);
  });

  it('expects a load that is overdue to take longer still', () => {
    const servers = makeServers([{ loadingModel: 'a', loadingForMs: 10_000, isBusy: true }]);
    expect(findPendingLoad(makeNeed(), servers, PROFILE)?.readyInMs).to.equal(2_500);
  });

  it('is undefined when nobody loads the model', () => {
    expect(findPendingLoad(makeNeed(), makeServers([{}]), PROFILE)).to.equal(undefined);
  });
});

describe('findScarceModels', () => {
  it('names models on fewer disks than wanted, those on none first', () => {
    const servers = makeServers([{ modelsOnDisk: ['b', 'c'] }, { modelsOnDisk: ['b'] }]);
    expect(findScarceModels(servers, PROFILE, 1)).to.deep.equal(['a', 'd']);
    expect(findScarceModels(servers, PROFILE, 2)).to.deep.equal(['a', 'd', 'c']);
  });

  it('names one model at a time where a load takes more than half of the horizon', () => {
    const models = [...PROFILE.models].map(([name, footprint]) => {
      return [name, { ...footprint, storeLoadMs: 13_200 }] as const;
    });
    const slow = { ...PROFILE, models: new Map(models) };
    expect(findScarceModels(makeServers([{}, {}]), slow, 1)).to.deep.equal(['a']);
    const isLoading = { isBusy: true, loadingModel: 'a' };
    expect(findScarceModels(makeServers([isLoading, {}]), slow, 1)).to.deep.equal([]);
  });
});
