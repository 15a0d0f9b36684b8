import { expect } from 'chai';
import { StoreClient } from '../../platform/StoreClient.js';
import { StoreFleetSource } from '../../platform/StoreFleetSource.js';
import { toServerId } from '../../src/domain/index.js';
import { FleetView, FleetWatcher } from '../../src/direct/index.js';
import { Random, SystemClock } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { CALLER_LIMITS, ObjectStore } from '../../standins/users/index.js';
import { sleepMs, waitUntil } from '../waiting.js';

/** The shorter of the platform's bounds for a configuration (`ConfigApplyMs`) and for a leaving server (`DrainMs`). */
const BOUND_MS = 2_000;

/** Writes a configuration and the entry of a server. */
function write(store: ObjectStore, version: number, state: string): void {
  const configuration = { Version: version, Routes: [], Services: [], Limits: CALLER_LIMITS };
  store.put('config', 'main', configuration);
  store.put('servers', 'i-1', { Service: 's', Address: '10.0.0.1:1', Zone: 'z', Slots: 4, State: state });
}

describe('a watch that falls silent', () => {
  let store: ObjectStore;
  let view: FleetView;
  let watcher: FleetWatcher;

  beforeEach(async () => {
    store = new ObjectStore();
    const address = await store.start();
    write(store, 1, 'ready');
    view = new FleetView();
    watcher = new FleetWatcher({
      clock: new SystemClock(),
      random: new Random(1),
      source: new StoreFleetSource(new StoreClient(() => address)),
      view,
      log: new Log('test', () => undefined),
      metrics: new Metrics(),
    });
    await watcher.start();
    await waitUntil(() => view.isComplete, 1_000);
  });

  afterEach(async () => {
    await watcher.stop();
    store.stop();
  });

  async function expectNewsInTime(): Promise<void> {
    const isTold = () =>
      view.configuration?.version === 9 && view.getEntry(toServerId('i-1'))?.isLeaving === true;
    await waitUntil(isTold, BOUND_MS);
    expect(isTold()).to.equal(true);
  }

  it('delays neither a configuration nor a leaving server beyond their bounds', async () => {
    // Both watches have only just begun, so their time-outs are as far off as they can be.
    await sleepMs(30);
    store.silenceWatches(0);
    write(store, 9, 'draining');
    await expectNewsInTime();
  });

  it('does not, either, when it follows the pause after other changes', async () => {
    write(store, 2, 'ready');
    await waitUntil(() => view.configuration?.version === 2, 1_500);
    store.silenceWatches(700);
    write(store, 9, 'draining');
    await expectNewsInTime();
  });
});
