import { expect } from 'chai';
import { toDataCentreId, toServerId } from '../../../src/domain/index.js';
import { FleetView, ServerChooser, type ServerEntry } from '../../../src/direct/index.js';
import { ENGINES, makeHeldModel, makeEntry, makeReport } from '../fleetFixtures.js';

const LOCAL_DATA_CENTRE = toDataCentreId('here');

function makeChooser(entries: readonly ServerEntry[]): { view: FleetView; chooser: ServerChooser } {
  const view = new FleetView();
  view.applyList(entries, 0);
  return { view, chooser: new ServerChooser(view, LOCAL_DATA_CENTRE, () => 0) };
}

const REQUIREMENTS = {
  serviceId: ENGINES,
  model: 'a',
  isInteractive: true,
  excludedServerIds: new Set<never>(),
};

describe('ServerChooser', () => {
  describe('chooseServer', () => {
    it('chooses a server on which the model is loaded', () => {
      const { chooser } = makeChooser([makeEntry('x'), makeEntry('y', { heldModels: [makeHeldModel('a')] })]);
      expect(chooser.chooseServer(REQUIREMENTS, 0)?.entry.serverId).to.equal('y');
      expect(chooser.chooseServer({ ...REQUIREMENTS, model: 'b' }, 0)).to.equal(undefined);
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
