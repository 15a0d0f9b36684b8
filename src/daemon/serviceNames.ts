import { serviceName } from '../kernel/index.js';
import type { AgentService, AttemptRunner, GrantTable, ResidencyService } from '../agent/index.js';
import type { ClaimsService, SchedulerService, LoadPermitClient, PacerService } from '../home/index.js';
import type { Clock, Random } from '../kernel/index.js';
import type { InstanceList, ObjectStore, PlatformHttp } from '../platform/index.js';
import type { AttemptClient, EntryServer } from '../router/index.js';
import type { Catalogue, Membership, StateStore, StateWatcher } from '../state/index.js';
import type { AuditTrail, Log, Metrics } from '../telemetry/index.js';
import type { PeerDialer, TrafficMeter } from '../transport/index.js';

/** Names under which the services of a process are registered in its container. */
export const SERVICE_NAMES = {
  clock: serviceName<Clock>('clock'),
  random: serviceName<Random>('random'),
  log: serviceName<Log>('log'),
  metrics: serviceName<Metrics>('metrics'),
  platformHttp: serviceName<PlatformHttp>('platformHttp'),
  store: serviceName<ObjectStore>('store'),
  instances: serviceName<InstanceList>('instances'),
  audit: serviceName<AuditTrail>('audit'),
  traffic: serviceName<TrafficMeter>('traffic'),
  dialer: serviceName<PeerDialer>('dialer'),
  state: serviceName<StateStore>('state'),
  membership: serviceName<Membership>('membership'),
  catalogue: serviceName<Catalogue>('catalogue'),
  stateWatcher: serviceName<StateWatcher>('stateWatcher'),
  scheduler: serviceName<SchedulerService>('scheduler'),
  claims: serviceName<ClaimsService>('claims'),
  pacer: serviceName<PacerService>('pacer'),
  permits: serviceName<LoadPermitClient>('permits'),
  attempts: serviceName<AttemptClient>('attempts'),
  entry: serviceName<EntryServer>('entry'),
  grants: serviceName<GrantTable>('grants'),
  residency: serviceName<ResidencyService>('residency'),
  runner: serviceName<AttemptRunner>('runner'),
  agent: serviceName<AgentService>('agent'),
} as const;
