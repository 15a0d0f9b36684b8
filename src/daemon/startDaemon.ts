import { randomBytes } from 'node:crypto';
import { AdminServer } from '../admin/index.js';
import {
  AgentService,
  AttemptRunner,
  GrantTable,
  HttpBackendClient,
  LoadLimiter,
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
import type { IngressLimits } from '../ingress/index.js';
import {
  ByteBudget,
  onBackgroundError,
  Random,
  SystemClock,
  type ServiceContainer,
} from '../kernel/index.js';
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
import { PeerDialer, PeerServer, TrafficMeter, type PortListenerDependencies } from '../transport/index.js';
import { getAgentAdminSource, getRouterAdminSource } from './adminSources.js';
import { divideIngress } from './divideIngress.js';
import { getCallbackMethods, getRouterMethods } from './routerMethods.js';
import { SERVICE_NAMES } from './serviceNames.js';

const MICROSECONDS_PER_SECOND = 1_000_000;
/** Maximum size of the request bodies that a router holds at the same time, in bytes. */
const MAX_REQUEST_BODY_BYTES = 48 * 1024 * 1024;
/** Number of random bytes in an incarnation, which identifies one run of a process. */
const INCARNATION_BYTES = 6;

/**
 * Creates and starts a router or an agent.
 * @param settings - Settings; their role selects the kind of process.
 * @param secrets - Secrets of the process.
 * @param services - Receives all services; may be stopped while they are starting.
 */
export async function startDaemon(
  settings: DaemonSettings,
  secrets: Secrets,
  services: ServiceContainer,
): Promise<void> {
  const incarnation = `${settings.id}.${randomBytes(INCARNATION_BYTES).toString('hex')}`;
  registerCommon(services, settings, secrets);
  try {
    if (settings.role === 'router') {
      await startRouter(services, settings, secrets, incarnation);
    } else {
      await startAgent(services, settings, secrets, incarnation);
    }
  } catch (error) {
    await services.stop();
    throw error;
  }
  services
    .getOrThrow(SERVICE_NAMES.log)
    .info('started', { role: settings.role, dataCentre: settings.dataCentre });
}

function registerCommon(services: ServiceContainer, settings: DaemonSettings, secrets: Secrets): void {
  const clock = services.register(SERVICE_NAMES.clock, new SystemClock());
  services.register(SERVICE_NAMES.random, new Random(randomBytes(4).readInt32LE()));
  const log = services.register(SERVICE_NAMES.log, new Log(settings.id));
  onBackgroundError((error, task) => log.backgroundError(error, task));
  const metrics = services.register(SERVICE_NAMES.metrics, new Metrics());
  const http = services.register(
    SERVICE_NAMES.platformHttp,
    new PlatformHttp(settings.platform.url, secrets.platformToken),
  );
  const store = services.register(SERVICE_NAMES.store, new HttpObjectStore(http));
  services.register(SERVICE_NAMES.instances, new HttpInstanceList(http));
  services.register(SERVICE_NAMES.audit, new AuditTrail(store, clock, settings.id));
  const traffic = services.register(SERVICE_NAMES.traffic, new TrafficMeter());
  services.register(SERVICE_NAMES.dialer, new PeerDialer(settings.id, secrets.peerSecret, clock, traffic));
  metrics.gauge('peer_sent_bytes', () => traffic.sentBytes);
  metrics.gauge('peer_received_bytes', () => traffic.receivedBytes);
  metrics.gauge('platform_bytes', () => http.byteCount);
  metrics.gauge('cpu_seconds', () => getCpuSeconds());
  metrics.gauge('platform_calls', () => http.requestCount);
  metrics.gauge('resident_bytes', () => process.memoryUsage.rss());
}

async function startRouter(
  services: ServiceContainer,
  settings: RouterSettings,
  secrets: Secrets,
  incarnation: string,
): Promise<void> {
  const selfId = toRouterId(settings.id);
  registerState(services, settings, selfId);
  registerOwnerServices(services, settings, selfId, incarnation);
  const entry = registerEntry(services, settings, selfId, incarnation);
  const clock = services.getOrThrow(SERVICE_NAMES.clock);
  const dialer = services.getOrThrow(SERVICE_NAMES.dialer);
  dialer.exposeMethods(getCallbackMethods(services));
  const traffic = services.getOrThrow(SERVICE_NAMES.traffic);
  await services.start({ start: () => Promise.resolve(), stop: () => closeLast(services) });
  await services.start(
    new PeerServer(
      settings.peer,
      secrets.peerSecret,
      clock,
      getRouterMethods(services),
      traffic,
      getListenerDependencies(services, settings),
    ),
  );
  await services.start(services.getOrThrow(SERVICE_NAMES.stateWatcher));
  await services.start(services.getOrThrow(SERVICE_NAMES.audit));
  const metrics = services.getOrThrow(SERVICE_NAMES.metrics);
  await services.start(
    new AdminServer(
      settings.admin,
      secrets.adminToken,
      metrics,
      getRouterAdminSource(services, settings.id),
      getListenerDependencies(services, settings),
    ),
  );
  await services.start(services.getOrThrow(SERVICE_NAMES.scheduler));
  await services.start(entry);
}

function registerState(services: ServiceContainer, settings: RouterSettings, selfId: RouterId): void {
  const state = services.register(SERVICE_NAMES.state, new StateStore());
  const membership = services.register(SERVICE_NAMES.membership, new Membership(selfId));
  services.register(SERVICE_NAMES.catalogue, new Catalogue(state));
  const watcher = new StateWatcher({
    clock: services.getOrThrow(SERVICE_NAMES.clock),
    random: services.getOrThrow(SERVICE_NAMES.random),
    store: services.getOrThrow(SERVICE_NAMES.store),
    instances: services.getOrThrow(SERVICE_NAMES.instances),
    state,
    membership,
    dialer: services.getOrThrow(SERVICE_NAMES.dialer),
    seedAddresses: settings.seedRouters,
    log: services.getOrThrow(SERVICE_NAMES.log),
    metrics: services.getOrThrow(SERVICE_NAMES.metrics),
  });
  services.register(SERVICE_NAMES.stateWatcher, watcher);
}

function registerOwnerServices(
  services: ServiceContainer,
  settings: RouterSettings,
  selfId: RouterId,
  incarnation: string,
): void {
  const clock = services.getOrThrow(SERVICE_NAMES.clock);
  const shared = {
    clock,
    store: services.getOrThrow(SERVICE_NAMES.store),
    state: services.getOrThrow(SERVICE_NAMES.state),
    catalogue: services.getOrThrow(SERVICE_NAMES.catalogue),
    membership: services.getOrThrow(SERVICE_NAMES.membership),
    dialer: services.getOrThrow(SERVICE_NAMES.dialer),
    audit: services.getOrThrow(SERVICE_NAMES.audit),
    metrics: services.getOrThrow(SERVICE_NAMES.metrics),
    log: services.getOrThrow(SERVICE_NAMES.log),
  };
  const reviewer = new PlacementReviewer(shared);
  const scheduler = services.register(SERVICE_NAMES.scheduler, new SchedulerService({ ...shared, reviewer }));
  const pacer = services.register(
    SERVICE_NAMES.pacer,
    new PacerService(clock, settings.weightStore, incarnation),
  );
  services.register(SERVICE_NAMES.claims, new ClaimsService(clock, shared.store, shared.dialer, incarnation));
  services.register(
    SERVICE_NAMES.permits,
    new LoadPermitClient(selfId, clock, shared.membership, shared.dialer, scheduler, pacer),
  );
}

function registerEntry(
  services: ServiceContainer,
  settings: RouterSettings,
  selfId: RouterId,
  incarnation: string,
): EntryServer {
  const clock = services.getOrThrow(SERVICE_NAMES.clock);
  const dialer = services.getOrThrow(SERVICE_NAMES.dialer);
  const metrics = services.getOrThrow(SERVICE_NAMES.metrics);
  const catalogue = services.getOrThrow(SERVICE_NAMES.catalogue);
  const membership = services.getOrThrow(SERVICE_NAMES.membership);
  const attempts = services.register(SERVICE_NAMES.attempts, new AttemptClient(clock, dialer, metrics));
  const owners = new OwnerClient(
    selfId,
    clock,
    membership,
    dialer,
    services.getOrThrow(SERVICE_NAMES.scheduler),
    services.getOrThrow(SERVICE_NAMES.claims),
  );
  const entry = new EntryServer({
    address: settings.entry,
    incarnation,
    clock,
    authenticator: new Authenticator(catalogue),
    parser: new RequestParser(catalogue),
    budgets: new BudgetService(clock, services.getOrThrow(SERVICE_NAMES.store), incarnation),
    bodyBudget: new ByteBudget(MAX_REQUEST_BODY_BYTES),
    owners,
    attempts,
    metrics,
    log: services.getOrThrow(SERVICE_NAMES.log),
    ingressLimits: getIngressLimits(settings),
  });
  return services.register(SERVICE_NAMES.entry, entry);
}

async function startAgent(
  services: ServiceContainer,
  settings: AgentSettings,
  secrets: Secrets,
  incarnation: string,
): Promise<void> {
  const clock = services.getOrThrow(SERVICE_NAMES.clock);
  const metrics = services.getOrThrow(SERVICE_NAMES.metrics);
  const { backend: backendSettings } = settings;
  const plainSlotCount = backendSettings.kind === 'plain' ? backendSettings.slotCount : undefined;
  const backend = new HttpBackendClient(backendSettings.url, plainSlotCount);
  const serverId = toServerId(settings.id);
  const grants = services.register(SERVICE_NAMES.grants, new GrantTable(serverId));
  const loadLimiter = new LoadLimiter(clock, settings.adapterLoadsAtOnce);
  const residency = new ResidencyService(clock, backend, new ResidencyController(grants), loadLimiter);
  services.register(SERVICE_NAMES.residency, residency);
  const runner = services.register(
    SERVICE_NAMES.runner,
    new AttemptRunner(clock, backend, residency, metrics),
  );
  const agent = new AgentService({
    serverId,
    incarnation,
    clock,
    store: services.getOrThrow(SERVICE_NAMES.store),
    grants,
    residency,
    runner,
    isPlain: backendSettings.kind === 'plain',
    log: services.getOrThrow(SERVICE_NAMES.log),
  });
  services.register(SERVICE_NAMES.agent, agent);
  await services.start({
    start: () => Promise.resolve(),
    stop: () => closeLast(services, () => backend.close()),
  });
  await services.start(
    new PeerServer(
      settings.peer,
      secrets.peerSecret,
      clock,
      agent.getMethods(),
      services.getOrThrow(SERVICE_NAMES.traffic),
      getListenerDependencies(services, settings),
    ),
  );
  await services.start(
    new AdminServer(
      settings.admin,
      secrets.adminToken,
      metrics,
      getAgentAdminSource(services, settings.id),
      getListenerDependencies(services, settings),
    ),
  );
  await services.start(agent);
}

/** Returns what listeners need; a port that is taken fails the start, since an operator or a service manager reads its exit code. */
function getListenerDependencies(
  services: ServiceContainer,
  settings: DaemonSettings,
): PortListenerDependencies {
  return {
    clock: services.getOrThrow(SERVICE_NAMES.clock),
    log: services.getOrThrow(SERVICE_NAMES.log),
    metrics: services.getOrThrow(SERVICE_NAMES.metrics),
    failsIfTaken: true,
    ingressLimits: getIngressLimits(settings),
  };
}

function getIngressLimits({ ingress }: DaemonSettings): IngressLimits {
  return divideIngress(undefined, {
    connectionCount: ingress.connections,
    unfinishedBytes: ingress.unfinishedHeadBytes,
    waitingBytes: ingress.waitingBytes,
    pipelinedCount: ingress.pipelinedRequests,
  });
}

/** Returns the processor time that this process has used, user and system together. */
function getCpuSeconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_SECOND;
}

/** Closes the connections that other services may still use while they stop. */
async function closeLast(services: ServiceContainer, closeBackend?: () => Promise<void>): Promise<void> {
  await services.getOrThrow(SERVICE_NAMES.dialer).close();
  await closeBackend?.();
  await services.getOrThrow(SERVICE_NAMES.platformHttp).close();
}
