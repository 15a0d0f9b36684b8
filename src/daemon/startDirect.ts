import { randomBytes } from 'node:crypto';
import type { DataCentreId, ServiceId } from '../domain/index.js';
import {
  AgentLinks,
  CallerServer,
  CrashSuspects,
  EngineKeeper,
  FleetView,
  FleetWatcher,
  ModelDesk,
  ReadinessServer,
  RepeatAllowance,
  ServerChooser,
  type EnginePort,
  type FleetSource,
  type HeaderCodec,
  type RepeatBound,
} from '../direct/index.js';
import { Kernel, Random, SystemClock } from '../kernel/index.js';
import { BoundedOutput, Log, Metrics, MetricsServer } from '../telemetry/index.js';
import { NAMES } from './serviceNames.js';
import { PeerDialer, PeerServer, TrafficMeter, type ListenAddress } from '../transport/index.js';

const MS_PER_SECOND = 1_000;

/** What both kinds of process need. */
interface CommonParts {
  readonly instanceId: string;
  readonly peerSecret: string;
  readonly metricsAddress: ListenAddress;
}

/** A router that sends straight to backend servers. */
export interface DirectRouterParts extends CommonParts {
  readonly dataCentre: DataCentreId;
  readonly callerAddress: ListenAddress;
  readonly readinessAddress: ListenAddress;
  readonly agentPort: number;
  readonly getStopGraceMs: () => number;
  readonly getRepeatBound: () => RepeatBound;
  readonly source: FleetSource;
  readonly codec: HeaderCodec;
}

/** An agent that keeps the models of one engine. */
export interface EngineAgentParts extends CommonParts {
  readonly peerAddress: ListenAddress;
  readonly engineAddress: string;
  readonly engine: EnginePort;
}

/**
 * Builds and starts a router that sends straight to backend servers.
 * @param parts - What it is made of.
 */
export async function startDirectRouter(parts: DirectRouterParts): Promise<Kernel> {
  const { kernel, clock, random, log, metrics } = startCommon(parts);
  const { codec, source } = parts;
  const view = new FleetView();
  const dialer = new PeerDialer(parts.instanceId, parts.peerSecret, clock, new TrafficMeter());
  const links = new AgentLinks({ clock, dialer, view, peerPort: parts.agentPort, log });
  dialer.offer(links.getMethods());
  const chooser = new ServerChooser(view, parts.dataCentre, () => random.fraction());
  const desk = new ModelDesk({ clock, view, chooser, links, log });
  const watcher = new FleetWatcher({ clock, random, source, view, log, metrics });
  const allowances = new Map<ServiceId, RepeatAllowance>();
  const allowanceOf = (serviceId: ServiceId) => {
    const allowance = allowances.get(serviceId) ?? new RepeatAllowance(parts.getRepeatBound);
    allowances.set(serviceId, allowance);
    return allowance;
  };
  const suspects = new CrashSuspects();
  const callers = new CallerServer({
    address: parts.callerAddress,
    clock,
    random,
    view,
    codec,
    flow: { clock, view, chooser, desk, links, codec, suspects, log, metrics, allowanceOf },
    log,
    metrics,
    getStopGraceMs: parts.getStopGraceMs,
  });
  const isReady = () => view.isComplete && !callers.isStopping;
  let hasBeenReady = false;
  watcher.onChange(() => {
    if (!hasBeenReady && isReady()) {
      hasBeenReady = true;
      log.stateChanged('ready for callers', { sinceStartMs: Math.round(process.uptime() * MS_PER_SECOND) });
    }
    callers.applyLimits();
    chooser.prune();
    links.maintain();
    desk.noteNews();
  });
  links.onReport(() => desk.noteNews());
  await kernel.start(watcher);
  await kernel.start(links);
  await kernel.start(desk);
  await kernel.start(new ReadinessServer(parts.readinessAddress, isReady));
  await kernel.start(callers);
  return kernel;
}

/**
 * Builds and starts an agent.
 * @param parts - What it is made of.
 */
export async function startEngineAgent(parts: EngineAgentParts): Promise<Kernel> {
  const { kernel, clock, log, metrics } = startCommon(parts);
  const { engine, engineAddress } = parts;
  const keeper = new EngineKeeper({ clock, engine, engineAddress, log, metrics });
  await kernel.start(
    new PeerServer(parts.peerAddress, parts.peerSecret, clock, keeper.getMethods(), new TrafficMeter()),
  );
  await kernel.start(keeper);
  return kernel;
}

function startCommon(parts: CommonParts) {
  const kernel = new Kernel();
  const clock = new SystemClock();
  const random = new Random(randomBytes(4).readInt32LE());
  const output = new BoundedOutput(clock);
  const log = kernel.register(NAMES.log, new Log(parts.instanceId, (line) => output.write(line)));
  const metrics = new Metrics();
  metrics.gauge('log_lines_dropped', () => output.droppedCount);
  // Started first, so that it stops last and the other services' last lines get out.
  void kernel.start(output);
  void kernel.start(new MetricsServer(parts.metricsAddress, metrics));
  return { kernel, clock, random, log, metrics };
}
