import { randomBytes } from 'node:crypto';
import { AdminServer } from '../admin/index.js';
import {
  AgentService,
  AttemptRunner,
  GrantTable,
  HttpBackendClient,
  LoadGate,
  ResidencyController,
  ResidencyService,
} from '../agent/index.js';
import { toRouterId, toServerId, type RouterId } from '../domain/index.js';
import {
  ClaimsService,
  SchedulerService,
  PacerService,
  LoadPermitClient,
  PlacementReviewer,
} from '../home/index.js';
import { ServiceContainer, Random, SystemClock } from '../kernel/index.js';
import { HttpInstanceList, HttpObjectStore, PlatformHttp } from '../platform/index.js';
import {
  AttemptClient,
  Authenticator,
  BudgetService,
  EntryServer,
  OwnerClient,
  RequestParser,
} from '../router/index.js';
import { Catalogue, Membership, StateStore, StateWatcher } from '../state/index.js';
import type { AgentSettings, DaemonSettings, RouterSettings, Secrets } from '../settings/index.js';
import { AuditTrail, Log, Metrics } from '../telemetry/index.js';
import { PeerDialer, PeerServer, TrafficMeter } from '../transport/index.js';
import { getAgentAdminSource, getRouterAdminSource } from './adminSources.js';
import { getCallbackMethods, getRouterMethods } from './routerMethods.js';
import { SERVICE_NAMES } from './serviceNames.js';

/** Microseconds in a second. */
const MICROSECONDS_PER_SECOND = 1_000_000;
/** Random bytes that name one run of a process. */
const INCARNATION_BYTES = 6;

/**
 * Builds and starts a process.
 * @param settings - Its settings.
 * @param secrets - Its secrets.
 */
export async function startDaemon(settings: DaemonSettings, secrets: Secrets): Promise<ServiceContainer> {
  const kernel = new ServiceContainer();
  const incarnation = `${settings.id}.${randomBytes(INCARNATION_BYTES).toString('hex')}`;
  registerCommon(kernel, settings, secrets);
  try {
    if (settings.role === 'router') {
      await startRouter(kernel, settings, secrets, incarnation);
    } else {
      await startAgent(kernel, settings, secrets, incarnation);
    }
  } catch (error) {
    await kernel.stop();
    throw error;
  }
  kernel
    .getOrThrow(SERVICE_NAMES.log)
    .info('started', { role: settings.role, dataCentre: settings.dataCentre });
  return kernel;
}

function registerCommon(kernel: ServiceContainer, settings: DaemonSettings, secrets: Secrets): void {
  const clock = kernel.register(SERVICE_NAMES.clock, new SystemClock());
  kernel.register(SERVICE_NAMES.random, new Random(randomBytes(4).readInt32LE()));
  kernel.register(SERVICE_NAMES.log, new Log(settings.id));
  const metrics = kernel.register(SERVICE_NAMES.metrics, new Metrics());
  const http = kernel.register(
    SERVICE_NAMES.platformHttp,
    new PlatformHttp(settings.platform.url, secrets.platformToken),
  );
  const store = kernel.register(SERVICE_NAMES.store, new HttpObjectStore(http));
  kernel.register(SERVICE_NAMES.instances, new HttpInstanceList(http));
  kernel.register(SERVICE_NAMES.audit, new AuditTrail(store, clock, settings.id));
  const traffic = kernel.register(SERVICE_NAMES.traffic, new TrafficMeter());
  kernel.register(SERVICE_NAMES.dialer, new PeerDialer(settings.id, secrets.peerSecret, clock, traffic));
  metrics.gauge('peer_sent_bytes', () => traffic.sentBytes);
  metrics.gauge('peer_received_bytes', () => traffic.receivedBytes);
  metrics.gauge('platform_bytes', () => http.byteCount);
  metrics.gauge('cpu_seconds', () => getCpuSeconds());
  metrics.gauge('platform_calls', () => http.callCount);
  metrics.gauge('resident_bytes', () => process.memoryUsage.rss());
}

async function startRouter(
  kernel: ServiceContainer,
  settings: RouterSettings,
  secrets: Secrets,
  incarnation: string,
): Promise<void> {
  const selfId = toRouterId(settings.id);
  registerState(kernel, settings, selfId);
  registerHomes(kernel, settings, selfId, incarnation);
  const entry = registerEntry(kernel, settings, selfId, incarnation);
  const clock = kernel.getOrThrow(SERVICE_NAMES.clock);
  const dialer = kernel.getOrThrow(SERVICE_NAMES.dialer);
  dialer.exposeMethods(getCallbackMethods(kernel));
  const traffic = kernel.getOrThrow(SERVICE_NAMES.traffic);
  await kernel.start({ start: () => Promise.resolve(), stop: () => closeLast(kernel) });
  await kernel.start(
    new PeerServer(settings.peer, secrets.peerSecret, clock, getRouterMethods(kernel), traffic),
  );
  await kernel.start(kernel.getOrThrow(SERVICE_NAMES.stateWatcher));
  await kernel.start(kernel.getOrThrow(SERVICE_NAMES.audit));
  const metrics = kernel.getOrThrow(SERVICE_NAMES.metrics);
  await kernel.start(
    new AdminServer(settings.admin, secrets.adminToken, metrics, getRouterAdminSource(kernel, settings.id)),
  );
  await kernel.start(kernel.getOrThrow(SERVICE_NAMES.scheduler));
  await kernel.start(entry);
}

function registerState(kernel: ServiceContainer, settings: RouterSettings, selfId: RouterId): void {
  const state = kernel.register(SERVICE_NAMES.state, new StateStore());
  const membership = kernel.register(SERVICE_NAMES.membership, new Membership(selfId));
  kernel.register(SERVICE_NAMES.catalogue, new Catalogue(state));
  const watcher = new StateWatcher({
    clock: kernel.getOrThrow(SERVICE_NAMES.clock),
    random: kernel.getOrThrow(SERVICE_NAMES.random),
    store: kernel.getOrThrow(SERVICE_NAMES.store),
    instances: kernel.getOrThrow(SERVICE_NAMES.instances),
    state,
    membership,
    dialer: kernel.getOrThrow(SERVICE_NAMES.dialer),
    seedAddresses: settings.seedRouters,
    log: kernel.getOrThrow(SERVICE_NAMES.log),
    metrics: kernel.getOrThrow(SERVICE_NAMES.metrics),
  });
  kernel.register(SERVICE_NAMES.stateWatcher, watcher);
}

function registerHomes(
  kernel: ServiceContainer,
  settings: RouterSettings,
  selfId: RouterId,
  incarnation: string,
): void {
  const clock = kernel.getOrThrow(SERVICE_NAMES.clock);
  const shared = {
    clock,
    store: kernel.getOrThrow(SERVICE_NAMES.store),
    state: kernel.getOrThrow(SERVICE_NAMES.state),
    catalogue: kernel.getOrThrow(SERVICE_NAMES.catalogue),
    membership: kernel.getOrThrow(SERVICE_NAMES.membership),
    dialer: kernel.getOrThrow(SERVICE_NAMES.dialer),
    audit: kernel.getOrThrow(SERVICE_NAMES.audit),
    metrics: kernel.getOrThrow(SERVICE_NAMES.metrics),
    log: kernel.getOrThrow(SERVICE_NAMES.log),
  };
  const reviewer = new PlacementReviewer(shared);
  const homes = kernel.register(SERVICE_NAMES.scheduler, new SchedulerService({ ...shared, reviewer }));
  const pacer = kernel.register(
    SERVICE_NAMES.pacer,
    new PacerService(clock, settings.weightStore, incarnation),
  );
  kernel.register(SERVICE_NAMES.claims, new ClaimsService(clock, shared.store, shared.dialer, incarnation));
  kernel.register(
    SERVICE_NAMES.permits,
    new LoadPermitClient(selfId, clock, shared.membership, shared.dialer, homes, pacer),
  );
}

function registerEntry(
  kernel: ServiceContainer,
  settings: RouterSettings,
  selfId: RouterId,
  incarnation: string,
): EntryServer {
  const clock = kernel.getOrThrow(SERVICE_NAMES.clock);
  const dialer = kernel.getOrThrow(SERVICE_NAMES.dialer);
  const metrics = kernel.getOrThrow(SERVICE_NAMES.metrics);
  const catalogue = kernel.getOrThrow(SERVICE_NAMES.catalogue);
  const membership = kernel.getOrThrow(SERVICE_NAMES.membership);
  const attempts = kernel.register(SERVICE_NAMES.attempts, new AttemptClient(clock, dialer, metrics));
  const homes = new OwnerClient(
    selfId,
    clock,
    membership,
    dialer,
    kernel.getOrThrow(SERVICE_NAMES.scheduler),
    kernel.getOrThrow(SERVICE_NAMES.claims),
  );
  const entry = new EntryServer({
    address: settings.entry,
    incarnation,
    clock,
    authenticator: new Authenticator(catalogue),
    parser: new RequestParser(catalogue),
    budgets: new BudgetService(clock, kernel.getOrThrow(SERVICE_NAMES.store), incarnation),
    owners: homes,
    attempts,
    metrics,
  });
  return kernel.register(SERVICE_NAMES.entry, entry);
}

async function startAgent(
  kernel: ServiceContainer,
  settings: AgentSettings,
  secrets: Secrets,
  incarnation: string,
): Promise<void> {
  const clock = kernel.getOrThrow(SERVICE_NAMES.clock);
  const metrics = kernel.getOrThrow(SERVICE_NAMES.metrics);
  const { backend: backendSettings } = settings;
  const plainSlotCount = backendSettings.kind === 'plain' ? backendSettings.slotCount : undefined;
  const backend = new HttpBackendClient(backendSettings.url, plainSlotCount);
  const serverId = toServerId(settings.id);
  const grants = kernel.register(SERVICE_NAMES.grants, new GrantTable(serverId));
  const gate = new LoadGate(clock, settings.adapterLoadsAtOnce);
  const residency = new ResidencyService(clock, backend, new ResidencyController(grants), gate);
  kernel.register(SERVICE_NAMES.residency, residency);
  const runner = kernel.register(SERVICE_NAMES.runner, new AttemptRunner(clock, backend, residency, metrics));
  const agent = new AgentService({
    serverId,
    incarnation,
    clock,
    store: kernel.getOrThrow(SERVICE_NAMES.store),
    grants,
    residency,
    runner,
    isPlain: backendSettings.kind === 'plain',
    log: kernel.getOrThrow(SERVICE_NAMES.log),
  });
  kernel.register(SERVICE_NAMES.agent, agent);
  await kernel.start({
    start: () => Promise.resolve(),
    stop: () => closeLast(kernel, () => backend.close()),
  });
  await kernel.start(
    new PeerServer(
      settings.peer,
      secrets.peerSecret,
      clock,
      agent.getMethods(),
      kernel.getOrThrow(SERVICE_NAMES.traffic),
    ),
  );
  await kernel.start(
    new AdminServer(settings.admin, secrets.adminToken, metrics, getAgentAdminSource(kernel, settings.id)),
  );
  await kernel.start(agent);
}

/** Processor time that this process has used, in seconds. */
function getCpuSeconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_SECOND;
}

/** Closes what every other service may still need while it stops. */
async function closeLast(kernel: ServiceContainer, closeMore?: () => Promise<void>): Promise<void> {
  await kernel.getOrThrow(SERVICE_NAMES.dialer).close();
  await closeMore?.();
  await kernel.getOrThrow(SERVICE_NAMES.platformHttp).close();
}
