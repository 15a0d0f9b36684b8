import { randomBytes } from 'node:crypto';
import type { DataCentreId, ServiceId } from '../domain/index.js';
import {
  AgentConnections,
  CallerServer,
  CrashTracker,
  EngineController,
  FleetView,
  FleetWatcher,
  ModelLoader,
  ReadinessServer,
  SharedRetryBudget,
  ServerChooser,
  type EnginePort,
  type FleetSource,
  type HeaderCodec,
  type RetryLimits,
} from '../direct/index.js';
import { ServiceContainer, Random, SystemClock } from '../kernel/index.js';
import { BoundedOutput, Log, Metrics, MetricsServer } from '../telemetry/index.js';
import { SERVICE_NAMES } from './serviceNames.js';
import { PeerDialer, PeerServer, TrafficMeter, type ListenAddress } from '../transport/index.js';

const MS_PER_SECOND = 1_000;

/** What both kinds of process need. */
interface CommonOptions {
  readonly instanceId: string;
  readonly peerSecret: string;
  readonly metricsAddress: ListenAddress;
}

/** A router that sends straight to backend servers. */
export interface DirectRouterOptions extends CommonOptions {
  readonly dataCentre: DataCentreId;
  readonly callerAddress: ListenAddress;
  readonly readinessAddress: ListenAddress;
  readonly agentPort: number;
  readonly getStopGraceMs: () => number;
  readonly getRetryLimits: () => RetryLimits;
  readonly source: FleetSource;
  readonly codec: HeaderCodec;
}

/** An agent that keeps the models of one engine. */
export interface EngineAgentOptions extends CommonOptions {
  readonly peerAddress: ListenAddress;
  readonly engineAddress: string;
  readonly engine: EnginePort;
}

/**
 * Builds and starts a router that sends straight to backend servers.
 * @param options - What it is made of.
 */
export async function startDirectRouter(options: DirectRouterOptions): Promise<ServiceContainer> {
  const { kernel, clock, random, log, metrics } = startCommon(options);
  const { codec, source } = options;
  const view = new FleetView();
  const dialer = new PeerDialer(options.instanceId, options.peerSecret, clock, new TrafficMeter());
  const links = new AgentConnections({ clock, dialer, view, peerPort: options.agentPort, log });
  dialer.exposeMethods(links.getMethods());
  const chooser = new ServerChooser(view, options.dataCentre, () => random.fraction());
  const desk = new ModelLoader({ clock, view, chooser, agentConnections: links, log });
  const watcher = new FleetWatcher({ clock, random, source, view, log, metrics });
  const allowances = new Map<ServiceId, SharedRetryBudget>();
  const allowanceOf = (serviceId: ServiceId) => {
    const allowance = allowances.get(serviceId) ?? new SharedRetryBudget(options.getRetryLimits);
    allowances.set(serviceId, allowance);
    return allowance;
  };
  const suspects = new CrashTracker();
  const callers = new CallerServer({
    address: options.callerAddress,
    clock,
    random,
    view,
    codec,
    forwarder: {
      clock,
      view,
      chooser,
      modelLoader: desk,
      agentConnections: links,
      codec,
      crashTracker: suspects,
      log,
      metrics,
      getRetryBudget: allowanceOf,
    },
    log,
    metrics,
    getStopGraceMs: options.getStopGraceMs,
  });
  const isReady = () => view.isComplete && !callers.isStopping;
  let hasBeenReady = false;
  watcher.onChange(() => {
    if (!hasBeenReady && isReady()) {
      hasBeenReady = true;
      log.info('ready for callers', { sinceStartMs: Math.round(process.uptime() * MS_PER_SECOND) });
    }
    callers.applyLimits();
    chooser.prune();
    links.updateConnections();
    desk.scheduleReview();
  });
  links.onReport(() => desk.scheduleReview());
  await kernel.start(watcher);
  await kernel.start(links);
  await kernel.start(desk);
  await kernel.start(new ReadinessServer(options.readinessAddress, isReady));
  await kernel.start(callers);
  return kernel;
}

/**
 * Builds and starts an agent.
 * @param options - What it is made of.
 */
export async function startEngineAgent(options: EngineAgentOptions): Promise<ServiceContainer> {
  const { kernel, clock, log, metrics } = startCommon(options);
  const { engine, engineAddress } = options;
  const keeper = new EngineController({ clock, engine, engineAddress, log, metrics });
  await kernel.start(
    new PeerServer(options.peerAddress, options.peerSecret, clock, keeper.getMethods(), new TrafficMeter()),
  );
  await kernel.start(keeper);
  return kernel;
}

function startCommon(options: CommonOptions) {
  const kernel = new ServiceContainer();
  const clock = new SystemClock();
  const random = new Random(randomBytes(4).readInt32LE());
  const output = new BoundedOutput(clock);
  const log = kernel.register(SERVICE_NAMES.log, new Log(options.instanceId, (line) => output.write(line)));
  const metrics = new Metrics();
  metrics.gauge('log_lines_dropped', () => output.droppedCount);
  // Started first, so that it stops last and the other services' last lines get out.
  void kernel.start(output);
  void kernel.start(new MetricsServer(options.metricsAddress, metrics));
  return { kernel, clock, random, log, metrics };
}
