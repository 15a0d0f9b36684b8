import { expect } from 'chai';
import { toServiceId } from '../../src/domain/index.js';
import { FleetView, type FleetWatcher } from '../../src/direct/index.js';
import { SystemClock } from '../../src/kernel/index.js';
import { CALLER_LIMITS, ObjectStore } from '../../standins/users/index.js';
import { sleepMs, waitUntil } from '../waiting.js';
import { makeWatcher } from './makeWatcher.js';

/** Shorter of the platform's time limits for a new configuration (`ConfigApplyMs`) and for a leaving server (`DrainMs`). */
const UPDATE_LIMIT_MS = 2_000;
const SERVICE = toServiceId('s');

function writeConfiguration(store: ObjectStore, version: number): void {
  store.put('config', 'main', { Version: version, Routes: [], Services: [], Limits: CALLER_LIMITS });
}

function writeServer(store: ObjectStore, name: string, state = 'ready'): void {
  store.put('servers', name, {
    Service: 's',
    Address: '10.0.0.1:1',
    Zone: 'z',
    Slots: 4,
    State: state,
    born: 1,
  });
}

describe('FleetWatcher with a store that was restored from a copy', () => {
  const clock = new SystemClock();
  let store: ObjectStore;
  let view: FleetView;
  let watcher: FleetWatcher;

  beforeEach(async () => {
    store = new ObjectStore();
    const address = await store.start();
    writeConfiguration(store, 1);
    writeServer(store, 'i-1');
    writeServer(store, 'i-2');
    view = new FleetView();
    watcher = makeWatcher(address, view);
    await watcher.start();
    await waitUntil(() => view.isComplete, 1_000);
  });

  afterEach(async () => {
    await watcher.stop();
    store.stop();
  });

  function readyIds(): string[] {
    return [...view.getReadyServers(SERVICE, clock.nowMs())].map(({ entry }) => entry.serverId).sort();
  }

  it('does not go back, and sees changes whose revisions were given out before', async () => {
    const copy = store.takeCopy();
    writeConfiguration(store, 5);
    writeServer(store, 'i-1', 'draining');
    store.remove('servers', 'i-2');
    await waitUntil(() => view.configuration?.version === 5 && readyIds().length === 0, UPDATE_LIMIT_MS);
    store.restore(copy);
    // The new changes get the revisions that the lost ones had.
    writeServer(store, 'i-3');
    writeServer(store, 'i-4');
    writeServer(store, 'i-5');
    await waitUntil(() => readyIds().length === 3, UPDATE_LIMIT_MS);
    expect(readyIds()).to.deep.equal(['i-3', 'i-4', 'i-5']);
    expect(view.configuration?.version).to.equal(5);
    writeConfiguration(store, 6);
    await waitUntil(() => view.configuration?.version === 6, UPDATE_LIMIT_MS);
    expect(view.configuration?.version).to.equal(6);
  });

  it('uses a removed server again only after it has changed its entry', async () => {
    const copy = store.takeCopy();
    store.remove('servers', 'i-2');
    await waitUntil(() => readyIds().length === 1, UPDATE_LIMIT_MS);
    store.restore(copy);
    await sleepMs(UPDATE_LIMIT_MS);
    expect(readyIds()).to.deep.equal(['i-1']);
    writeServer(store, 'i-2');
    await waitUntil(() => readyIds().length === 2, UPDATE_LIMIT_MS);
    expect(readyIds()).to.deep.equal(['i-1', 'i-2']);
  });
});
