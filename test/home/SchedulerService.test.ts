import { expect } from 'chai';
import { toModelId, toOrganisationId, toRequestId, toRouterId } from '../../src/domain/index.js';
import { SchedulerService, PlacementReviewer } from '../../src/home/index.js';
import { SystemClock } from '../../src/kernel/index.js';
import { Catalogue, Membership, StateStore } from '../../src/state/index.js';
import { AuditTrail, Log, Metrics } from '../../src/telemetry/index.js';
import { PeerDialer, TrafficMeter } from '../../src/transport/index.js';
import { MemoryObjectStore } from '../fakes/MemoryObjectStore.js';
import { DEFAULT_SERVICE } from '../process/TestSystem.js';

function createScheduler(): SchedulerService {
  const clock = new SystemClock();
  const store = new MemoryObjectStore();
  const state = new StateStore();
  state.apply({
    path: 'state/services/quotes',
    value: DEFAULT_SERVICE,
    version: 1,
    deleted: false,
    revision: 1,
  });
  const dependencies = {
    clock,
    store,
    state,
    catalogue: new Catalogue(state),
    membership: new Membership(toRouterId('r0')),
    dialer: new PeerDialer('r0', 'secret', clock, new TrafficMeter()),
    audit: new AuditTrail(store, clock, 'r0'),
    metrics: new Metrics(),
    log: new Log('r0', () => undefined),
  };
  return new SchedulerService({ ...dependencies, reviewer: new PlacementReviewer(dependencies) });
}

describe('SchedulerService', () => {
  describe('abandon', () => {
    it('refuses the assignment that is still waiting, so that its router does not wait forever', async () => {
      const scheduler = createScheduler();
      const reply = scheduler.assign({
        requestId: toRequestId('r1'),
        organisationId: toOrganisationId('mosquitero'),
        modelId: toModelId('quotes/base'),
        requestClass: 'interactive',
        remainingMs: 60_000,
        fingerprint: 'f',
        idempotent: true,
        excludedServerIds: [],
      });
      scheduler.abandon({ requestId: 'r1', modelId: 'quotes/base' });
      expect(await reply).to.include({ kind: 'refused', reason: 'cancelled' });
    });
  });
});
