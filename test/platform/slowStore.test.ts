import { expect } from 'chai';
import { FleetView, type FleetWatcher } from '../../src/direct/index.js';
import { CALLER_LIMITS, ObjectStore } from '../../standins/users/index.js';
import { waitUntil } from '../waiting.js';
import { makeWatcher } from './makeWatcher.js';

/** Time in which a router must read a slow store after its start, in milliseconds. */
const START_LIMIT_MS = 8_000;
/** Time in which a change in a slow store must be applied, in milliseconds. */
const CHANGE_LIMIT_MS = 5_000;

for (const delayMs of [800, 1_500]) {
  describe(`FleetWatcher with a store that takes ${delayMs} ms for each response`, function () {
    this.timeout(20_000);
    let store: ObjectStore;
    let view: FleetView;
    let watcher: FleetWatcher;

    function writeConfiguration(version: number): void {
      store.put('config', 'main', { Version: version, Routes: [], Services: [], Limits: CALLER_LIMITS });
    }

    beforeEach(async () => {
      store = new ObjectStore();
      const address = await store.start();
      store.delayMs = delayMs;
      writeConfiguration(1);
      view = new FleetView();
      watcher = makeWatcher(address, view);
      await watcher.start();
    });

    afterEach(async () => {
      await watcher.stop();
      store.stop();
    });

    it('reads the configuration and the servers, and then applies a change', async () => {
      await waitUntil(() => view.isComplete, START_LIMIT_MS);
      expect(view.isComplete).to.equal(true);
      writeConfiguration(2);
      await waitUntil(() => view.configuration?.version === 2, CHANGE_LIMIT_MS);
      expect(view.configuration?.version).to.equal(2);
    });
  });
}
