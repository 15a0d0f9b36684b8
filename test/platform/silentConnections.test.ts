import { expect } from 'chai';
import { toServerId } from '../../src/domain/index.js';
import { FleetView, type FleetWatcher } from '../../src/direct/index.js';
import { CALLER_LIMITS, ObjectStore } from '../../standins/users/index.js';
import { sleepMs, waitUntil } from '../waiting.js';
import { makeWatcher } from './makeWatcher.js';

/**
 * Time limits for an update (`ConfigApplyMs`, `DrainMs`), each with the time after a disturbance of its connections from which a
 * machine must meet them (`StableWindowMs`), in milliseconds.
 */
const LIMITS_MS = [
  { updateLimitMs: 2_000, stableWindowMs: 3_000 },
  { updateLimitMs: 3_000, stableWindowMs: 4_000 },
  { updateLimitMs: 4_000, stableWindowMs: 5_000 },
];
/** Time after which the servers' watch waits for further changes while its connection is idle, in milliseconds. */
const SETTLE_MS = 30;

// Issue 50, CONFIG: after a watch on a dead connection, the next one waited as long on another kept connection that was as dead.
for (const { updateLimitMs, stableWindowMs } of LIMITS_MS) {
  describe(`FleetWatcher whose connections to the store fall silent, with ${updateLimitMs} ms for an update`, function () {
    this.timeout(30_000);
    let store: ObjectStore;
    let view: FleetView;
    let watcher: FleetWatcher;

    function writeObjects(version: number, state: string): void {
      const configuration = { Version: version, Routes: [], Services: [], Limits: CALLER_LIMITS };
      store.put('config', 'main', configuration);
      store.put('servers', 'i-1', { Service: 's', Address: '10.0.0.1:1', Zone: 'z', Slots: 4, State: state });
    }

    beforeEach(async () => {
      store = new ObjectStore();
      const address = await store.start();
      writeObjects(1, 'ready');
      view = new FleetView();
      watcher = makeWatcher(address, view, updateLimitMs);
      await watcher.start();
      await waitUntil(() => view.isComplete, 1_000);
      // Lets the configuration's watch begin anew, and leaves the connection of the servers' watch idle.
      writeObjects(2, 'ready');
      await waitUntil(() => view.configuration?.version === 2, 1_000);
      await sleepMs(SETTLE_MS);
    });

    afterEach(async () => {
      await watcher.stop();
      store.stop();
    });

    it('applies a configuration and a leaving server once the machine must be in step again', async () => {
      store.silenceOpenConnections();
      writeObjects(9, 'draining');
      await sleepMs(stableWindowMs);
      expect(view.configuration?.version).to.equal(9);
      expect(view.getEntry(toServerId('i-1'))?.isLeaving).to.equal(true);
    });
  });
}
