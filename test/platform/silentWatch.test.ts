import { expect } from 'chai';
import { toServerId } from '../../src/domain/index.js';
import { FleetView, type FleetWatcher } from '../../src/direct/index.js';
import { CALLER_LIMITS, ObjectStore } from '../../standins/users/index.js';
import { sleepMs, waitUntil } from '../waiting.js';
import { makeWatcher } from './makeWatcher.js';

/** Shorter of the time limits for a new configuration (`ConfigApplyMs`) and a leaving server (`DrainMs`) of the sites. */
const UPDATE_LIMITS_MS = [2_000, 3_000, 4_000];

/** Writes a configuration and the entry of a server with a state. */
function writeObjects(store: ObjectStore, version: number, state: string): void {
  const configuration = { Version: version, Routes: [], Services: [], Limits: CALLER_LIMITS };
  store.put('config', 'main', configuration);
  store.put('servers', 'i-1', { Service: 's', Address: '10.0.0.1:1', Zone: 'z', Slots: 4, State: state });
}

for (const updateLimitMs of UPDATE_LIMITS_MS) {
  describe(`FleetWatcher with a store that stops responding to watches and ${updateLimitMs} ms for an update`, function () {
    this.timeout(20_000);
    let store: ObjectStore;
    let view: FleetView;
    let watcher: FleetWatcher;

    beforeEach(async () => {
      store = new ObjectStore();
      const address = await store.start();
      writeObjects(store, 1, 'ready');
      view = new FleetView();
      watcher = makeWatcher(address, view, updateLimitMs);
      await watcher.start();
      await waitUntil(() => view.isComplete, 1_000);
    });

    afterEach(async () => {
      await watcher.stop();
      store.stop();
    });

    async function expectUpdateInTime(): Promise<void> {
      const isUpdated = () =>
        view.configuration?.version === 9 && view.getEntry(toServerId('i-1'))?.isLeaving === true;
      await waitUntil(isUpdated, updateLimitMs);
      expect(isUpdated()).to.equal(true);
    }

    it('applies a configuration and a leaving server within their time limits', async () => {
      // Both watches have just begun, so the time until their timeouts is the longest possible.
      await sleepMs(30);
      store.silenceWatches(0);
      writeObjects(store, 9, 'draining');
      await expectUpdateInTime();
    });

    it('applies them in time also when the watches begin after the delay for earlier changes', async () => {
      writeObjects(store, 2, 'ready');
      await waitUntil(() => view.configuration?.version === 2, 1_500);
      store.silenceWatches(0.35 * updateLimitMs);
      writeObjects(store, 9, 'draining');
      await expectUpdateInTime();
    });
  });
}
