import { expect } from 'chai';
import { CopyValues, ServerPace, type CopyKind } from '../../../src/placement/index.js';
import {
  FleetView,
  planEviction,
  type AgentReport,
  type KnownServer,
  type ModelUse,
  type PlacementRequirements,
} from '../../../src/direct/index.js';
import { toServerId, type ServerId } from '../../../src/domain/index.js';
import { ENGINES, makeEntry, makeHeldModel, makeProfile, makeReport } from '../../direct/fleetFixtures.js';

const PROFILE = makeProfile();
const LIVE: ModelUse = { runningCount: 2, idleForMs: 0, isProtected: true };
const BATCH: ModelUse = { runningCount: 0, idleForMs: 1_000, isProtected: false };

/** Creates servers x, xx, xxx ... that hold the models named by the letters of each string, all with one use. */
function makeServers(
  heldModels: readonly string[],
  use: ModelUse,
  overrides: Partial<AgentReport> = {},
): KnownServer[] {
  const view = new FleetView();
  const entries = heldModels.map((models, index) =>
    makeEntry('x'.repeat(index + 1), { heldModels: [...models].map((model) => makeHeldModel(model)) }),
  );
  view.applyList(entries, 0);
  for (const entry of entries) {
    const uses = Object.fromEntries(entry.heldModels.map(({ name }) => [name, use]));
    const runningCount = entry.heldModels.length * use.runningCount;
    view.applyReport(makeReport(entry, { uses, runningCount, ...overrides }), 0);
  }
  return [...view.getReadyServers(ENGINES, 0)];
}

function makeValues(
  servers: readonly KnownServer[],
  expectedGapsMs?: Readonly<Record<ServerId, number>>,
): CopyValues {
  const source = expectedGapsMs && {
    getPaceFactor: () => 1,
    getExpectedGapMs: (serverId: ServerId) => expectedGapsMs[serverId],
  };
  return new CopyValues(servers, PROFILE, () => 0, new ServerPace(source, 200));
}

function makeRequirements(overrides: Partial<PlacementRequirements> = {}): PlacementRequirements {
  const footprint = PROFILE.models.get('d');
  if (!footprint) {
    throw new Error('The profile has no model d.');
  }
  return { model: 'd', footprint, isInteractive: false, maxStartMs: 0, mayFetchCopy: true, ...overrides };
}

/** Returns the models of the given kinds on each server. */
function findModels(servers: readonly KnownServer[], ...kinds: CopyKind[]): string[][] {
  const values = makeValues(servers);
  return servers.map((server) =>
    server.heldModels
      .map(({ name }) => name)
      .filter((name) => kinds.includes(values.getKind(server, name) ?? 'needed')),
  );
}

describe('CopyValues', () => {
  describe('getKind', () => {
    const findSurplus = (heldModels: readonly string[], use = LIVE) =>
      findModels(makeServers(heldModels, use), 'surplus');

    it('finds no surplus where each model has one replica', () => {
      expect(findSurplus(['ab', 'c'])).to.deep.equal([[], []]);
    });

    it('keeps each replica where the others would have too much load', () => {
      expect(findSurplus(['a', 'a', 'a'], { ...LIVE, runningCount: 20 })).to.deep.equal([[], [], []]);
    });

    it('keeps one replica of a model without interactive use', () => {
      expect(findSurplus(['a', 'a', 'a'], BATCH).flat()).to.deep.equal(['a', 'a']);
    });

    it('keeps two replicas of each live model, one of them as a spare', () => {
      expect(findSurplus(['a', 'a'])).to.deep.equal([[], []]);
      expect(findSurplus(['a', 'a', 'a']).flat()).to.deep.equal(['a']);
      expect(findModels(makeServers(['a', 'a'], LIVE), 'spare').flat()).to.deep.equal(['a']);
    });

    // Guards against models whose weights only servers have that keep all of their models (issue 30).
    it('spreads the replicas that stay over the servers', () => {
      for (const models of ['ab', 'ac', 'ad', 'bc', 'bd', 'cd']) {
        const found = findSurplus([models, models, models]);
        expect(found.flat().sort()).to.deep.equal([...models]);
        expect(found.map(({ length }) => length).sort()).to.deep.equal([0, 1, 1]);
      }
    });

    // Guards against routers that receive reports in another order and evict different replicas.
    it('does not depend on the order of the servers', () => {
      const servers = makeServers(['ab', 'bc', 'ca', 'ab'], LIVE);
      const forward = findModels(servers, 'surplus');
      expect(findModels(servers.slice().reverse(), 'surplus').reverse()).to.deep.equal(forward);
    });

    it('keeps a live model on a server that is fast enough for it', () => {
      const servers = makeServers(['a', 'a', 'a'], LIVE);
      for (const { entry } of servers) {
        const gapsMs = Object.fromEntries(servers.map((server) => [server.entry.serverId, 100]));
        const values = makeValues(servers, { ...gapsMs, [entry.serverId]: 60 });
        const needed = servers.filter((server) => values.getKind(server, 'a') === 'needed');
        expect(needed.map((server) => server.entry.serverId)).to.deep.equal([entry.serverId]);
      }
    });
  });

  describe('getCostMs', () => {
    // Guards against the eviction of the last copy of a model in demand beside a replica that others can replace.
    it('makes a surplus replica go before the last copy of a model in demand', () => {
      const servers = makeServers(['ab', 'ac', 'ac'], BATCH, { modelsOnDisk: ['a', 'b', 'c'] });
      const evictionPolicy = makeValues(servers);
      const evicted = servers.map(
        (server) => planEviction(makeRequirements({ evictionPolicy }), server, PROFILE)?.costMs,
      );
      expect(evicted).to.include(0);
      const holder = servers.find((server) => evictionPolicy.getKind(server, 'b') === 'needed');
      expect(holder && evictionPolicy.getCostMs(holder, 'b', makeRequirements())).to.equal(1_000);
    });

    it('gives batch work no needed copy of a live model, and a spare only if its weights remain on three servers', () => {
      const requirements = makeRequirements({ mayEvictSpares: true });
      for (const [modelsOnDisk, evictableCount] of [
        [[], 0],
        [['a'], 1],
      ] as const) {
        const servers = makeServers(['a', 'a', ''], LIVE, { modelsOnDisk });
        const values = makeValues(servers);
        const costs = servers.map((server) => values.getCostMs(server, 'a', requirements));
        expect(costs.filter((costMs) => costMs !== undefined)).to.have.length(evictableCount);
      }
    });

    it('values a model without demand at almost nothing', () => {
      const servers = makeServers(['a'], { ...BATCH, idleForMs: 100_000 }, { modelsOnDisk: ['a'] });
      const [server] = servers;
      expect(server && makeValues(servers).getCostMs(server, 'a', makeRequirements())).to.equal(10);
    });
  });

  describe('getPacePenaltyMs', () => {
    it('is higher for live models where pauses would exceed the limit in a slow period, and 0 without a source', () => {
      const [server] = makeServers(['a'], BATCH);
      if (!server) {
        throw new Error('There is no server.');
      }
      const gaps = { [toServerId('x')]: 100 };
      const live = makeValues([server], gaps).getPacePenaltyMs(
        server,
        makeRequirements({ isInteractive: true }),
      );
      const batch = makeValues([server], gaps).getPacePenaltyMs(server, makeRequirements());
      expect(live).to.be.greaterThan(batch);
      expect(
        makeValues([server]).getPacePenaltyMs(server, makeRequirements({ isInteractive: true })),
      ).to.equal(0);
    });
  });
});

describe('planEviction', () => {
  // Guards against a model that is loaded for other callers and evicted at once for the next one in the queue.
  it('makes room for the models that the server is to load first too', () => {
    const idle = { ...BATCH, idleForMs: 50_000 };
    const [server] = makeServers(['ab'], idle, { queuedModels: ['c'] });
    const evictionPolicy = server && makeValues([server]);
    const plan = server && planEviction(makeRequirements({ evictionPolicy }), server, PROFILE);
    expect(plan?.evictedModels).to.have.members(['a', 'b']);
  });
});
