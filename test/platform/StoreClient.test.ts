import { expect } from 'chai';
import { StoreClient } from '../../platform/StoreClient.js';
import { SystemClock } from '../../src/kernel/index.js';
import { CALLER_LIMITS, ObjectStore } from '../../standins/users/index.js';

describe('StoreClient', () => {
  let store: ObjectStore;
  let client: StoreClient;

  beforeEach(async () => {
    store = new ObjectStore();
    store.put('config', 'main', { Version: 1, Routes: [], Services: [], Limits: CALLER_LIMITS });
    const address = await store.start();
    client = new StoreClient(new SystemClock(), () => address);
  });

  afterEach(() => {
    client.close();
    store.stop();
  });

  // Issue 50, CONFIG: after a call on a dead connection, the next one waited for an answer on another one that was as dead.
  it('opens a connection after a call that was lost, instead of using one that was idle meanwhile', async () => {
    const first = await Promise.all([client.get('config'), client.get('config')]);
    expect(first.map(({ kind }) => kind)).to.deep.equal(['answered', 'answered']);
    store.silenceOpenConnections();
    expect((await client.get('config')).kind).to.equal('lost');
    expect((await client.get('config')).kind).to.equal('answered');
  });
});
