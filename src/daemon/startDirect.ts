import { randomBytes } from 'node:crypto';
import type { DataCentreId, ServiceId } from '../domain/index.js';
import { LateReadGuard } from '../admission/index.js';
import {
  AgentConnections,
  CallerServer,
  CrashRecordClient,
  CrashTracker,
  EngineController,
  FleetView,
  FleetWatcher,
  ModelLoader,
  PermitIssuer,
  PromptPartSuspects,
  QuotaGate,
  ReadinessServer,
  RequestPermits,
  SharedRetryBudget,
  ServerChooser,
  StreamOriginClient,
  StreamOriginStore,
  toQuotaFleet,
  type EnginePort,
  type FleetSource,
  type HeaderCodec,
  type RetryLimits,
} from '../direct/index.js';
import {
  ByteBudget,
  onBackgroundError,
  Random,
  SystemClock,
  type Service,
  type ServiceContainer,
} from '../kernel/index.js';
import {
  QuotaClient,
  QuotaIssuer,
  RequestAuthorizer,
  type QuotaTolerance,
  type RevocationLimits,
} from '../organisations/index.js';
import { PaceReporter } from '../pace/index.js';
import { BoundedOutput, Log, Metrics, MetricsServer } from '../telemetry/index.js';
import { divideIngress, divideInternalIngress, type IngressSettings } from './divideIngress.js';
import { divideMemory } from './divideMemory.js';
import { SERVICE_NAMES } from './serviceNames.js';
import { PeerDialer, PeerServer, TrafficMeter, type ListenAddress } from '../transport/index.js';

const MS_PER_SECOND = 1_000;

/** Options of both kinds of process. */
interface CommonOptions {
  /** Receives all services; may be stopped while they are starting. */
  readonly services: ServiceContainer;
  /** Receives the log lines; stops after all other services. */
  readonly output: BoundedOutput;
  readonly instanceId: string;
  readonly peerSecret: string;
  readonly metricsAddress: ListenAddress;
  /** Memory of the machine, in bytes; undefined when it is not known. */
  readonly memoryLimitBytes?: number;
  /** Limits of connections that the settings state. */
  readonly ingress?: IngressSettings;
  /** Returns the time from the stop signal until the process is killed, in milliseconds. */
  readonly getStopGraceMs: () => number;
  /** Returns how far the requests of an organisation may exceed its quota. */
  readonly getQuotaTolerance: () => QuotaTolerance;
}

/** Options of a router that sends requests directly to backend servers. */
export interface DirectRouterOptions extends CommonOptions {
  readonly dataCentre: DataCentreId;
  readonly callerAddress: ListenAddress;
  readonly readinessAddress: ListenAddress;
  readonly agentPort: number;
  readonly getRetryLimits: () => RetryLimits;
  /** Returns the time in which a change in the store must take effect, in milliseconds. */
  readonly getUpdateLimitMs: () => number;
  /** Returns how long keys are trusted that the store does not confirm. */
  readonly getRevocationLimits: () => RevocationLimits;
  /** Returns whether servers are chosen by their pace. */
  readonly isPaceRoutingEnabled: () => boolean;
  readonly source: FleetSource;
  readonly codec: HeaderCodec;
}

/** Options of an agent that controls the models of one engine. */
export interface EngineAgentOptions extends CommonOptions {
  readonly peerAddress: ListenAddress;
  readonly engineAddress: string;
  readonly engine: EnginePort;
}

/**
 * Creates and starts a router that sends requests directly to backend servers.
 * @param options - Settings and adapters of the router.
 */
export async function startDirectRouter(options: DirectRouterOptions): Promise<ServiceContainer> {
  const { services, clock, random, log, metrics, ingressLimits, internalPort } = startCommon(options);
  const { codec, source } = options;
  const memory = divideMemory(options.memoryLimitBytes);
  const view = new FleetView();
  const dialer = new PeerDialer(options.instanceId, options.peerSecret, clock, new TrafficMeter());
  const agentConnections = new AgentConnections({ clock, dialer, view, peerPort: options.agentPort, log });
  dialer.exposeMethods(agentConnections.getMethods());
  const chooser = new ServerChooser(
    view,
    options.dataCentre,
    () => random.nextFraction(),
    options.isPaceRoutingEnabled,
  );
  const modelLoader = new ModelLoader({
    clock,
    view,
    chooser,
    agentConnections,
    log,
    metrics,
    pace: options.isPaceRoutingEnabled() ? view.pace : undefined,
  });
  const watcher = new FleetWatcher({
    clock,
    random,
    source,
    view,
    log,
    metrics,
    getUpdateLimitMs: options.getUpdateLimitMs,
  });
  const startedAtMs = clock.nowMs();
  const retryBudgets = new Map<ServiceId, SharedRetryBudget>();
  const getRetryBudget = (serviceId: ServiceId) => {
    const retryBudget =
      retryBudgets.get(serviceId) ?? new SharedRetryBudget(options.getRetryLimits, startedAtMs);
    retryBudgets.set(serviceId, retryBudget);
    return retryBudget;
  };
  const crashTracker = new CrashTracker();
  const partSuspects = new PromptPartSuspects(({ promptPart, crashCount, evidence }) => {
    metrics.count('prompt_parts_blocked');
    log.decision('prompt part blocked', { promptPart, crashCount, evidence: Math.round(evidence) });
  });
  agentConnections.onRequestCompleted((fingerprint) => {
    crashTracker.applyCompletion(fingerprint, clock.nowMs());
  });
  agentConnections.onEngineCrashes((address, crashes) => {
    const promptParts = partSuspects.applyCrashes(address, crashes, clock.nowMs());
    if (promptParts.length > 0) {
      agentConnections.notifyPartsAnswered([address], { promptParts });
    }
  });
  const streamOrigins = new StreamOriginClient({ clock, view, agentConnections, log, metrics });
  const authorizer = new RequestAuthorizer(
    clock,
    () => view.configurationKnowledge,
    options.getRevocationLimits,
  );
  const quotaClient = new QuotaClient({
    clock,
    routerId: options.instanceId,
    links: agentConnections,
    fleet: toQuotaFleet(view),
    getTolerance: options.getQuotaTolerance,
    log,
    metrics,
  });
  const lateReadGuard = new LateReadGuard({ clock, log, metrics });
  const callerServer = new CallerServer({
    address: options.callerAddress,
    clock,
    random,
    view,
    codec,
    forwarder: {
      clock,
      view,
      chooser,
      modelLoader,
      agentConnections,
      streamOrigins,
      permits: new RequestPermits({ clock, random, view, agentConnections, log, metrics }),
      codec,
      crashRecords: new CrashRecordClient(agentConnections),
      crashTracker,
      partSuspects,
      log,
      metrics,
      bufferBudget: new ByteBudget(memory.responseBytes),
      getRetryBudget,
    },
    authorizer,
    lateReadGuard,
    quotaGate: new QuotaGate(quotaClient),
    bodyBudget: new ByteBudget(memory.bodyBytes),
    log,
    metrics,
    ingressLimits,
    getStopGraceMs: options.getStopGraceMs,
  });
  const isReady = () => view.isComplete && callerServer.isListening && !callerServer.isStopping;
  let hasBeenReady = false;
  const logWhenReady = () => {
    if (!hasBeenReady && isReady()) {
      hasBeenReady = true;
      log.info('ready for callers', { sinceStartMs: Math.round(process.uptime() * MS_PER_SECOND) });
    }
  };
  watcher.onChange(() => {
    logWhenReady();
    callerServer.applyLimits();
    callerServer.refuseRevoked();
    chooser.prune();
    agentConnections.updateConnections();
    modelLoader.scheduleReview();
  });
  agentConnections.onReport(() => modelLoader.scheduleReview());
  await services.start(watcher);
  await services.start(agentConnections);
  await services.start(streamOrigins);
  await services.start(quotaClient);
  await services.start(lateReadGuard);
  await services.start(modelLoader);
  await services.start(
    new PaceReporter({ clock, pace: view.pace, log, metrics, isEnabled: options.isPaceRoutingEnabled }),
  );
  const readinessServer = new ReadinessServer(options.readinessAddress, isReady, internalPort);
  await startTogether(services, [readinessServer, callerServer]);
  logWhenReady();
  return services;
}

/**
 * Creates and starts an agent that controls one engine.
 * @param options - Settings and engine of the agent.
 */
export async function startEngineAgent(options: EngineAgentOptions): Promise<ServiceContainer> {
  const { services, clock, log, metrics, internalPort } = startCommon(options);
  const { engine, engineAddress } = options;
  const controller = new EngineController({ clock, engine, engineAddress, log, metrics });
  const originStore = new StreamOriginStore();
  const getRouterCount = () => controller.routerCount;
  const permitIssuer = new PermitIssuer({ clock, engineAddress, getRouterCount, metrics });
  const quotaIssuer = new QuotaIssuer({
    clock,
    issuerId: randomBytes(8).toString('hex'),
    getRouterCount,
    getTolerance: options.getQuotaTolerance,
    metrics,
  });
  const peerServer = new PeerServer(
    options.peerAddress,
    options.peerSecret,
    clock,
    {
      ...controller.getMethods(),
      ...permitIssuer.getMethods(),
      ...quotaIssuer.getMethods(),
      ...originStore.getMethods(),
    },
    new TrafficMeter(),
    internalPort,
  );
  await startTogether(services, [peerServer, controller]);
  return services;
}

/** Starts services in their order without waiting for one before the next, as a port may be taken for long. */
async function startTogether(services: ServiceContainer, group: readonly Service[]): Promise<void> {
  await Promise.all(group.map((service) => services.start(service)));
}

function startCommon(options: CommonOptions) {
  const { services, output } = options;
  services.limitStop(options.getStopGraceMs);
  const clock = new SystemClock();
  const random = new Random(randomBytes(4).readInt32LE());
  const log = services.register(SERVICE_NAMES.log, new Log(options.instanceId, (line) => output.write(line)));
  onBackgroundError((error, task) => log.backgroundError(error, task));
  const metrics = services.register(SERVICE_NAMES.metrics, new Metrics());
  metrics.gauge('log_lines_dropped', () => output.droppedCount);
  const ingressLimits = divideIngress(options.memoryLimitBytes, options.ingress);
  const internalPort = { clock, log, metrics, ingressLimits: divideInternalIngress(ingressLimits) };
  // Services stop in reverse order of their start: started first, the output still writes the last lines of the others.
  void services.start(output);
  // The process serves without its metrics until their port is available.
  services
    .start(new MetricsServer(options.metricsAddress, metrics, internalPort))
    .catch((error: unknown) => log.warn('metrics not served', { error: String(error) }));
  return { services, clock, random, log, metrics, ingressLimits, internalPort };
}
