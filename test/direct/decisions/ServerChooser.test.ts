import { expect } from 'chai';
import { toDataCentreId, toServerId } from '../../../src/domain/index.js';
import { FleetView, ServerChooser, type ServerEntry } from '../../../src/direct/index.js';
import { ENGINES, makeHeldModel, makeEntry, makeReport, ORDERS } from '../fleetFixtures.js';

const LOCAL_DATA_CENTRE = toDataCentreId('here');

function makeChooser(
  entries: readonly ServerEntry[],
  usesPace = true,
): { view: FleetView; chooser: ServerChooser } {
  const view = new FleetView();
  view.applyList(entries, 0);
  return {
    view,
    chooser: new ServerChooser(
      view,
      LOCAL_DATA_CENTRE,
      () => 0,
      () => usesPace,
    ),
  };
}

const REQUIREMENTS = {
  serviceId: ENGINES,
  model: 'a',
  isInteractive: true,
  excludedServerIds: new Set<never>(),
};

describe('ServerChooser', () => {
  describe('isResponsive', () => {
    const entry = makeEntry('x', { heldModels: [makeHeldModel('a')] });
    const serverId = toServerId('x');

    function isResponsive(
      reportedAtMs: number | undefined,
      heardAtMs: number | undefined,
      sinceMs?: number,
    ): boolean {
      const { view, chooser } = makeChooser([entry]);
      if (reportedAtMs !== undefined) {
        view.applyReport(makeReport(entry), reportedAtMs);
      }
      if (heardAtMs !== undefined) {
        chooser.recordSent(serverId, heardAtMs);
        chooser.recordHeard(serverId, heardAtMs);
      }
      const [server] = view.getReadyServers(ENGINES, 10_000);
      return server !== undefined && chooser.isResponsive(server, 10_000, sinceMs);
    }

    it('is true after a recent report or response, and without any sign for an idle server', () => {
      expect(isResponsive(9_500, undefined)).to.equal(true);
      expect(isResponsive(5_000, 9_500)).to.equal(true);
      expect(isResponsive(undefined, 9_500)).to.equal(true);
      expect(isResponsive(undefined, undefined)).to.equal(true);
    });

    // Soak seed 5: a stream moved to an engine that had been silent for so long that its report was discarded.
    it('is false if the last report or response is old, however old', () => {
      expect(isResponsive(9_000, undefined)).to.equal(false);
      expect(isResponsive(1_000, undefined)).to.equal(false);
      expect(isResponsive(undefined, 9_000)).to.equal(false);
    });

    // Several servers that stall at once: the last sign of each is from before the stall.
    it('is false if the last report or response is from before the given time', () => {
      expect(isResponsive(9_500, undefined, 9_600)).to.equal(false);
      expect(isResponsive(undefined, 9_500, 9_600)).to.equal(false);
      expect(isResponsive(9_700, 9_500, 9_600)).to.equal(true);
    });
  });

  describe('chooseServer', () => {
    it('chooses a server on which the model is loaded', () => {
      const { chooser } = makeChooser([makeEntry('x'), makeEntry('y', { heldModels: [makeHeldModel('a')] })]);
      expect(chooser.chooseServer(REQUIREMENTS, 0)?.entry.serverId).to.equal('y');
      expect(chooser.chooseServer({ ...REQUIREMENTS, model: 'b' }, 0)).to.equal(undefined);
    });

    // Engines preempted 147 requests on a calm day, and crash if they hold too many.
    it('avoids an engine without room for the request beside the unseen ones of all routers', () => {
      const entries = ['x', 'y'.repeat(2)].map((id) => makeEntry(id, { heldModels: [makeHeldModel('a')] }));
      const { view, chooser } = makeChooser(entries);
      const [full, other] = entries as [ServerEntry, ServerEntry];
      view.applyReport(makeReport(full, { usedCacheTokens: 600, routerCount: 10 }), 0);
      view.applyReport(makeReport(other, { usedCacheTokens: 500, runningCount: 40, routerCount: 10 }), 0);
      const choose = (tokenCount: number) =>
        chooser.chooseServer({ ...REQUIREMENTS, tokenCount }, 0)?.entry.serverId;
      expect(choose(10)).to.equal(full.serverId);
      expect(choose(450)).to.equal(other.serverId);
      for (let index = 0; index < 10; index++) {
        chooser.recordArrival(REQUIREMENTS, 0);
        chooser.recordSent(full.serverId, 0, 30);
      }
      expect(choose(30)).to.equal(other.serverId);
    });

    it('avoids an engine whose pauses are too long for the route, unless that is turned off', () => {
      const entries = ['x', 'y'.repeat(2)].map((id) => makeEntry(id, { heldModels: [makeHeldModel('a')] }));
      const [slow, fast] = entries as [ServerEntry, ServerEntry];
      const choose = (usesPace: boolean, maxGapMs: number | undefined) => {
        const { view, chooser } = makeChooser(entries, usesPace);
        const makePaces = (gapMs: number) => ({ a: { gapMs, streamCount: 8, runningCount: 4 } });
        view.applyReport(makeReport(slow, { paces: makePaces(120) }), 0);
        view.applyReport(makeReport(fast, { paces: makePaces(40), runningCount: 10 }), 1_000);
        view.applyReport(makeReport(slow, { paces: makePaces(120) }), 2_000);
        return chooser.chooseServer({ ...REQUIREMENTS, maxGapMs }, 2_000)?.entry.serverId;
      };
      expect(choose(true, 200)).to.equal(fast.serverId);
      expect(choose(false, 200)).to.equal(slow.serverId);
      expect(choose(true, undefined)).to.equal(slow.serverId);
    });

    it('prefers the plain server with the least expected delay, and tries a slow one again later', () => {
      const entries = ['x', 'y'.repeat(2)].map((id) => makeEntry(id, { serviceId: ORDERS, slotCount: 6 }));
      const { chooser } = makeChooser(entries);
      const [slow, fast] = entries as [ServerEntry, ServerEntry];
      const requirements = { ...REQUIREMENTS, serviceId: ORDERS, model: undefined, isInteractive: false };
      chooser.recordSent(fast.serverId, 0);
      chooser.recordEnded(fast.serverId, false, 0, 50);
      chooser.recordSent(slow.serverId, 0);
      chooser.recordEnded(slow.serverId, false, 0, 250);
      chooser.recordSent(fast.serverId, 0);
      expect(chooser.chooseServer(requirements, 0)?.entry.serverId).to.equal(fast.serverId);
      chooser.recordSent(fast.serverId, 20_000);
      expect(chooser.chooseServer(requirements, 20_000)?.entry.serverId).to.equal(slow.serverId);
    });

    it('skips excluded servers', () => {
      const { chooser } = makeChooser([makeEntry('x', { heldModels: [makeHeldModel('a')] })]);
      const excludedServerIds = new Set([toServerId('x')]);
      expect(chooser.chooseServer({ ...REQUIREMENTS, excludedServerIds }, 0)).to.equal(undefined);
    });

    it('prefers the server that has the adapter', () => {
      const { chooser } = makeChooser([
        makeEntry('x', { heldModels: [makeHeldModel('a')] }),
        makeEntry('yy', { heldModels: [makeHeldModel('a', ['a1'])] }),
      ]);
      expect(chooser.chooseServer({ ...REQUIREMENTS, adapter: 'a1' }, 0)?.entry.serverId).to.equal('yy');
    });

    it('prefers the less loaded server', () => {
      const x = makeEntry('x', { heldModels: [makeHeldModel('a')] });
      const yy = makeEntry('yy', { heldModels: [makeHeldModel('a')] });
      const { view, chooser } = makeChooser([x, yy]);
      view.applyReport(makeReport(x, { runningCount: 30 }), 0);
      view.applyReport(makeReport(yy, { runningCount: 3 }), 0);
      expect(chooser.chooseServer(REQUIREMENTS, 1)?.entry.serverId).to.equal('yy');
    });

    it('avoids a server after failures and tries it again after some seconds', () => {
      const { chooser } = makeChooser([
        makeEntry('x', { heldModels: [makeHeldModel('a')] }),
        makeEntry('yy', { heldModels: [makeHeldModel('a')], dataCentre: toDataCentreId('there') }),
      ]);
      for (let failure = 0; failure < 3; failure++) {
        chooser.recordOutcome(toServerId('x'), true, 0);
      }
      expect(chooser.chooseServer(REQUIREMENTS, 100)?.entry.serverId).to.equal('yy');
      expect(chooser.chooseServer(REQUIREMENTS, 30_000)?.entry.serverId).to.equal('x');
    });
  });

  describe('getLoad', () => {
    it('counts the requests of this router for a server without a report', () => {
      const { view, chooser } = makeChooser([makeEntry('x', { heldModels: [makeHeldModel('a')] })]);
      chooser.recordSent(toServerId('x'), 0);
      const [server] = [...view.getReadyServers(ENGINES, 0)];
      expect(server && chooser.getLoad(server)).to.equal(1 / 48);
      chooser.recordEnded(toServerId('x'), false, 0);
      expect(server && chooser.getLoad(server)).to.equal(0);
    });
  });
});
