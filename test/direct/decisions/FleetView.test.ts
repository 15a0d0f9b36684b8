import { expect } from 'chai';
import { toServerId } from '../../../src/domain/index.js';
import { FleetView, getHeldModel } from '../../../src/direct/index.js';
import {
  ENGINES,
  makeHeldModel,
  makeConfiguration,
  makeEntry,
  makeReport,
  makeRoute,
} from '../fleetFixtures.js';

const X = toServerId('x');

function readyIds(view: FleetView, nowMs: number): string[] {
  return [...view.getReadyServers(ENGINES, nowMs)].map((server) => server.entry.serverId);
}

describe('FleetView', () => {
  describe('applyConfiguration', () => {
    it('ignores configurations that are not newer than the current one', () => {
      const view = new FleetView();
      expect(view.applyConfiguration(makeConfiguration(7, [makeRoute()]))).to.equal(true);
      expect(view.applyConfiguration(makeConfiguration(5))).to.equal(false);
      expect(view.applyConfiguration(makeConfiguration(7))).to.equal(false);
      expect(view.configuration?.version).to.equal(7);
      expect(view.routeTable.getRoute('a.example', '/drafts/x')?.name).to.equal('drafts');
    });
  });

  describe('removeEntry', () => {
    it('removes a server at once while the store responds', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x')], 0);
      view.removeEntry(X, 10);
      expect(readyIds(view, 10)).to.deep.equal([]);
    });

    it('removes a server that expired in an outage two seconds after the outage, unless it is listed again', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x'), makeEntry('y')], 0);
      view.markStoreUnavailable(1_000);
      view.markStoreAvailable(6_000);
      view.removeEntry(X, 6_000);
      view.removeEntry(toServerId('y'), 6_000);
      expect(readyIds(view, 7_000)).to.have.members(['x', 'y']);
      view.applyEntry(makeEntry('x'));
      expect(view.expire(8_000)).to.deep.equal(['y']);
      expect(readyIds(view, 8_000)).to.deep.equal(['x']);
    });

    it('removes a leaving server at once, even after an outage', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x', { isLeaving: true })], 0);
      view.markStoreUnavailable(1_000);
      view.markStoreAvailable(6_000);
      view.removeEntry(X, 6_000);
      expect(view.getEntry(X)).to.equal(undefined);
    });

    it('applies the same grace period to servers that are missing from a complete list', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x')], 0);
      view.markStoreUnavailable(1_000);
      view.markStoreAvailable(6_000);
      view.applyList([], 6_000);
      expect(readyIds(view, 7_000)).to.deep.equal(['x']);
      view.expire(8_000);
      expect(readyIds(view, 8_000)).to.deep.equal([]);
    });
  });

  describe('applyRestoredList', () => {
    const NEVER_BEFORE_MS = 1_000;

    it('keeps a leaving server leaving, also when the list of the copy has it as ready', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x', { isLeaving: true })], 0);
      view.applyRestoredList([makeEntry('x')], NEVER_BEFORE_MS);
      expect(readyIds(view, NEVER_BEFORE_MS)).to.deep.equal([]);
      view.applyEntry(makeEntry('x'));
      expect(readyIds(view, NEVER_BEFORE_MS)).to.deep.equal([]);
      view.applyEntry(makeEntry('x', { bornAtMs: 2 }));
      expect(readyIds(view, NEVER_BEFORE_MS)).to.deep.equal(['x']);
    });

    const signsOfLife: readonly [string, (view: FleetView) => void][] = [
      ['a change of its entry', (view) => view.applyEntry(makeEntry('x'))],
      ['a report of its agent', (view) => view.applyReport(makeReport(makeEntry('x')), 1_000)],
      ['staying listed longer than a silent server would be', (view) => view.expire(10_000)],
      [
        'a new incarnation in the next list',
        (view) => view.applyList([makeEntry('x', { bornAtMs: 2 })], 1_000),
      ],
    ];
    for (const [sign, show] of signsOfLife) {
      it(`uses a server that was removed before only after ${sign}`, () => {
        const view = new FleetView();
        view.applyList([makeEntry('x')], 0);
        view.removeEntry(X, 10);
        view.applyRestoredList([makeEntry('x')], NEVER_BEFORE_MS);
        view.expire(NEVER_BEFORE_MS + 100);
        expect(readyIds(view, NEVER_BEFORE_MS)).to.deep.equal([]);
        show(view);
        expect(readyIds(view, 11_000)).to.deep.equal(['x']);
      });
    }

    it('does not take a long outage for staying listed', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x')], 0);
      view.removeEntry(X, 10);
      view.applyRestoredList([makeEntry('x')], NEVER_BEFORE_MS);
      view.markStoreUnavailable(2_000);
      view.expire(20_000);
      view.markStoreAvailable(20_000);
      view.expire(21_000);
      expect(readyIds(view, 21_000)).to.deep.equal([]);
    });

    it('keeps servers that the copy lacks for the grace period', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x')], 0);
      view.applyRestoredList([], NEVER_BEFORE_MS);
      view.expire(2_900);
      expect(readyIds(view, 2_900)).to.deep.equal(['x']);
      view.expire(3_000);
      expect(readyIds(view, 3_000)).to.deep.equal([]);
    });

    it('keeps the newer incarnation of a server', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x', { bornAtMs: 7 })], 0);
      view.applyRestoredList([makeEntry('x', { bornAtMs: 3 })], NEVER_BEFORE_MS);
      expect(view.getEntry(X)?.bornAtMs).to.equal(7);
    });
  });

  describe('recordLeaving', () => {
    it('ends the use of an incarnation for good, and not of the next one', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x')], 0);
      expect(view.recordLeaving({ serverId: X, bornAtMs: 1 })).to.equal(true);
      expect(view.recordLeaving({ serverId: X, bornAtMs: 1 })).to.equal(false);
      view.applyList([makeEntry('x')], 10);
      expect(readyIds(view, 10)).to.deep.equal([]);
      view.applyEntry(makeEntry('x', { bornAtMs: 2 }));
      expect(readyIds(view, 20)).to.deep.equal(['x']);
    });
  });

  describe('holdServer', () => {
    // Review, case 10: a pause of 80 s was cut to 60 s.
    it('holds a server for as long as it has asked for, up to a day', () => {
      const view = new FleetView();
      const entry = makeEntry('x');
      view.applyList([entry], 0);
      view.holdServer(X, 80_000, 0);
      expect(view.acceptsRequests(entry, 79_999)).to.equal(false);
      expect(view.acceptsRequests(entry, 80_000)).to.equal(true);
      view.holdServer(X, 1e12, 80_000);
      expect(view.acceptsRequests(entry, 80_000 + 86_399_999)).to.equal(false);
      expect(view.acceptsRequests(entry, 80_000 + 86_400_000)).to.equal(true);
    });

    it('excludes a server until the end of the longest pause that it asked for, also in an incarnation that becomes known meanwhile', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x'), makeEntry('y')], 0);
      view.holdServer(X, 2_000, 0);
      view.holdServer(X, 500, 100);
      expect(readyIds(view, 1_999)).to.deep.equal(['y']);
      expect(view.getShortestHoldMs(ENGINES, undefined, 1_500)).to.equal(500);
      expect(readyIds(view, 2_000)).to.deep.equal(['x', 'y']);
      expect(view.getShortestHoldMs(ENGINES, undefined, 2_000)).to.equal(undefined);
      view.holdServer(X, 2_000, 3_000);
      view.applyEntry(makeEntry('x', { bornAtMs: 2 }));
      expect(readyIds(view, 4_900)).to.deep.equal(['y']);
      expect(readyIds(view, 5_000)).to.include('x');
    });

    it('counts for a model only on servers that hold it', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x', { heldModels: [makeHeldModel('a')] })], 0);
      view.holdServer(X, 2_000, 0);
      expect(view.getShortestHoldMs(ENGINES, 'a', 100)).to.equal(1_900);
      expect(view.getShortestHoldMs(ENGINES, 'b', 100)).to.equal(undefined);
    });
  });

  describe('getReadyServers', () => {
    it('skips leaving servers', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x')], 0);
      view.applyEntry(makeEntry('x', { isLeaving: true }));
      expect(readyIds(view, 1)).to.deep.equal([]);
    });

    function heldModelNames(view: FleetView, nowMs: number): string[] {
      const names: string[] = [];
      for (const server of view.getReadyServers(ENGINES, nowMs)) {
        names.push(...server.heldModels.map(({ name }) => name));
      }
      return names;
    }

    it("prefers an agent's report to the list, unless it is outdated or from before a restart of the server", () => {
      const view = new FleetView();
      const entry = makeEntry('x', { heldModels: [makeHeldModel('a')], bornAtMs: 5 });
      view.applyList([entry], 0);
      view.applyReport(makeReport(entry, { heldModels: [makeHeldModel('b')] }), 1_000);
      expect(heldModelNames(view, 1_100)).to.deep.equal(['b']);
      expect(heldModelNames(view, 9_000)).to.deep.equal(['a']);
      view.applyReport(makeReport(entry, { heldModels: [makeHeldModel('b')], bornAtMs: 4 }), 9_000);
      expect(heldModelNames(view, 9_001)).to.deep.equal(['a']);
    });

    it('treats a model that a server refused as not loaded for a short time', () => {
      const view = new FleetView();
      view.applyList([makeEntry('x', { heldModels: [makeHeldModel('a')] })], 0);
      view.recordModelRefusal(X, 'a', 100);
      expect(heldModelNames(view, 200)).to.deep.equal([]);
      expect(heldModelNames(view, 600)).to.deep.equal(['a']);
      const [server] = [...view.getReadyServers(ENGINES, 600)];
      expect(server && getHeldModel(server, 'a')?.name).to.equal('a');
    });
  });

  describe('getCrashCount', () => {
    it('returns the largest count that an agent reports', () => {
      const view = new FleetView();
      view.applyReport(makeReport(makeEntry('x'), { crashCounts: { f: 1 } }), 0);
      view.applyReport(makeReport(makeEntry('longer'), { crashCounts: { f: 2 } }), 0);
      expect(view.getCrashCount('f')).to.equal(2);
      expect(view.getCrashCount('g')).to.equal(0);
    });
  });
});
