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
import { ClaimsService, HomeService, PacerService, PermitDesk, PlacementReviewer } from '../home/index.js';
import { Kernel, Random, SystemClock } from '../kernel/index.js';
import { HttpInstanceList, HttpObjectStore, PlatformHttp } from '../platform/index.js';
import {
  AttemptClient,
  Authenticator,
  BudgetService,
  EntryServer,
  HomeDirectory,
  RequestParser,
} from '../router/index.js';
import { Catalogue, Membership, StateStore, StateWatcher } from '../state/index.js';
import type { AgentSettings, DaemonSettings, RouterSettings, Secrets } from '../settings/index.js';
import { AuditTrail, Log, Metrics } from '../telemetry/index.js';
import { PeerDialer, PeerServer, TrafficMeter } from '../transport/index.js';
import { getAgentAdminSource, getRouterAdminSource } from './adminSources.js';
import { getCallbackMethods, getRouterMethods } from './routerMethods.js';
import { NAMES } from './serviceNames.js';

/** Microseconds in a second. */
const MICROSECONDS_PER_SECOND = 1_000_000;
/** Random bytes that name one run of a process. */
const INCARNATION_BYTES = 6;

/**
 * Builds and starts a process.
 * @param settings - Its settings.
 * @param secrets - Its secrets.
 */
export async function startDaemon(settings: DaemonSettings, secrets: Secrets): Promise<Kernel> {
  const kernel = new Kernel();
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
    .getOrThrow(NAMES.log)
    .stateChanged('started', { role: settings.role, dataCentre: settings.dataCentre });
  return kernel;
}

function registerCommon(kernel: Kernel, settings: DaemonSettings, secrets: Secrets): void {
  const clock = kernel.register(NAMES.clock, new SystemClock());
  kernel.register(NAMES.random, new Random(randomBytes(4).readInt32LE()));
  kernel.register(NAMES.log, new Log(settings.id));
  const metrics = kernel.register(NAMES.metrics, new Metrics());
  const http = kernel.register(
    NAMES.platformHttp,
    new PlatformHttp(settings.platform.url, secrets.platformToken),
  );
  const store = kernel.register(NAMES.store, new HttpObjectStore(http));
  kernel.register(NAMES.instances, new HttpInstanceList(http));
  kernel.register(NAMES.audit, new AuditTrail(store, clock, settings.id));
  const traffic = kernel.register(NAMES.traffic, new TrafficMeter());
  kernel.register(NAMES.dialer, new PeerDialer(settings.id, secrets.peerSecret, clock, traffic));
  metrics.gauge('peer_sent_bytes', () => traffic.sentBytes);
  metrics.gauge('peer_received_bytes', () => traffic.receivedBytes);
  metrics.gauge('platform_bytes', () => http.byteCount);
  metrics.gauge('cpu_seconds', () => getCpuSeconds());
  metrics.gauge('platform_calls', () => http.callCount);
  metrics.gauge('resident_bytes', () => process.memoryUsage.rss());
}

async function startRouter(
  kernel: Kernel,
  settings: RouterSettings,
  secrets: Secrets,
  incarnation: string,
): Promise<void> {
  const selfId = toRouterId(settings.id);
  registerState(kernel, settings, selfId);
  registerHomes(kernel, settings, selfId, incarnation);
  const entry = registerEntry(kernel, settings, selfId, incarnation);
  const clock = kernel.getOrThrow(NAMES.clock);
  const dialer = kernel.getOrThrow(NAMES.dialer);
  dialer.offer(getCallbackMethods(kernel));
  const traffic = kernel.getOrThrow(NAMES.traffic);
  await kernel.start({ start: () => Promise.resolve(), stop: () => closeLast(kernel) });
  await kernel.start(
    new PeerServer(settings.peer, secrets.peerSecret, clock, getRouterMethods(kernel), traffic),
  );
  await kernel.start(kernel.getOrThrow(NAMES.watcher));
  await kernel.start(kernel.getOrThrow(NAMES.audit));
  const metrics = kernel.getOrThrow(NAMES.metrics);
  await kernel.start(
    new AdminServer(settings.admin, secrets.adminToken, metrics, getRouterAdminSource(kernel, settings.id)),
  );
  await kernel.start(kernel.getOrThrow(NAMES.homes));
  await kernel.start(entry);
}

function registerState(kernel: Kernel, settings: RouterSettings, selfId: RouterId): void {
  const state = kernel.register(NAMES.state, new StateStore());
  const membership = kernel.register(NAMES.membership, new Membership(selfId));
  kernel.register(NAMES.catalogue, new Catalogue(state));
  const watcher = new StateWatcher({
    clock: kernel.getOrThrow(NAMES.clock),
    random: kernel.getOrThrow(NAMES.random),
    store: kernel.getOrThrow(NAMES.store),
    instances: kernel.getOrThrow(NAMES.instances),
    state,
    membership,
    dialer: kernel.getOrThrow(NAMES.dialer),
    seedAddresses: settings.seedRouters,
    log: kernel.getOrThrow(NAMES.log),
    metrics: kernel.getOrThrow(NAMES.metrics),
  });
  kernel.register(NAMES.watcher, watcher);
}

function registerHomes(
  kernel: Kernel,
  settings: RouterSettings,
  selfId: RouterId,
  incarnation: string,
): void {
  const clock = kernel.getOrThrow(NAMES.clock);
  const shared = {
    clock,
    store: kernel.getOrThrow(NAMES.store),
    state: kernel.getOrThrow(NAMES.state),
    catalogue: kernel.getOrThrow(NAMES.catalogue),
    membership: kernel.getOrThrow(NAMES.membership),
    dialer: kernel.getOrThrow(NAMES.dialer),
    audit: kernel.getOrThrow(NAMES.audit),
    metrics: kernel.getOrThrow(NAMES.metrics),
    log: kernel.getOrThrow(NAMES.log),
  };
  const reviewer = new PlacementReviewer(shared);
  const homes = kernel.register(NAMES.homes, new HomeService({ ...shared, reviewer }));
  const pacer = kernel.register(NAMES.pacer, new PacerService(clock, settings.weightStore, incarnation));
  kernel.register(NAMES.claims, new ClaimsService(clock, shared.store, shared.dialer, incarnation));
  kernel.register(
    NAMES.permits,
    new PermitDesk(selfId, clock, shared.membership, shared.dialer, homes, pacer),
  );
}

function registerEntry(
  kernel: Kernel,
  settings: RouterSettings,
  selfId: RouterId,
  incarnation: string,
): EntryServer {
  const clock = kernel.getOrThrow(NAMES.clock);
  const dialer = kernel.getOrThrow(NAMES.dialer);
  const metrics = kernel.getOrThrow(NAMES.metrics);
  const catalogue = kernel.getOrThrow(NAMES.catalogue);
  const membership = kernel.getOrThrow(NAMES.membership);
  const attempts = kernel.register(NAMES.attempts, new AttemptClient(clock, dialer, metrics));
  const homes = new HomeDirectory(
    selfId,
    clock,
    membership,
    dialer,
    kernel.getOrThrow(NAMES.homes),
    kernel.getOrThrow(NAMES.claims),
  );
  const entry = new EntryServer({
    address: settings.entry,
    incarnation,
    clock,
    authenticator: new Authenticator(catalogue),
    parser: new RequestParser(catalogue),
    budgets: new BudgetService(clock, kernel.getOrThrow(NAMES.store), incarnation),
    homes,
    attempts,
    metrics,
  });
  return kernel.register(NAMES.entry, entry);
}

async function startAgent(
  kernel: Kernel,
  settings: AgentSettings,
  secrets: Secrets,
  incarnation: string,
): Promise<void> {
  const clock = kernel.getOrThrow(NAMES.clock);
  const metrics = kernel.getOrThrow(NAMES.metrics);
  const { backend: backendSettings } = settings;
  const plainSlotCount = backendSettings.kind === 'plain' ? backendSettings.slotCount : undefined;
  const backend = new HttpBackendClient(backendSettings.url, plainSlotCount);
  const serverId = toServerId(settings.id);
  const grants = kernel.register(NAMES.grants, new GrantTable(serverId));
  const gate = new LoadGate(clock, settings.adapterLoadsAtOnce);
  const residency = new ResidencyService(clock, backend, new ResidencyController(grants), gate);
  kernel.register(NAMES.residency, residency);
  const runner = kernel.register(NAMES.runner, new AttemptRunner(clock, backend, residency, metrics));
  const agent = new AgentService({
    serverId,
    incarnation,
    clock,
    store: kernel.getOrThrow(NAMES.store),
    grants,
    residency,
    runner,
    isPlain: backendSettings.kind === 'plain',
    log: kernel.getOrThrow(NAMES.log),
  });
  kernel.register(NAMES.agent, agent);
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
      kernel.getOrThrow(NAMES.traffic),
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
async function closeLast(kernel: Kernel, closeMore?: () => Promise<void>): Promise<void> {
  await kernel.getOrThrow(NAMES.dialer).close();
  await closeMore?.();
  await kernel.getOrThrow(NAMES.platformHttp).close();
}
