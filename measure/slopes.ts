import { roundFigure, type Figure } from './Figure.js';
import { LOAD_FLEET_OPTIONS, sendAtRate } from './load.js';
import { createService, MeasuredFleet, type FleetOptions } from './MeasuredFleet.js';

/** Time over which CPU time and traffic are measured, in milliseconds. */
const MEASUREMENT_WINDOW_MS = 10_000;
/** Agents of the fleet of `startLoadFleet`. */
const AGENT_IDS = ['engine-1', 'engine-2'];
/** Rate at which streams are started while the cost of a token is measured. */
const STREAMS_PER_SECOND = 20;

/** Resource usage of one process during a measurement. */
interface ProcessUsage {
  /** CPU time divided by elapsed time; 1 is one fully used core. */
  readonly cpuShare: number;
  readonly peerBytesPerSecond: number;
  readonly platformCallsPerSecond: number;
  readonly residentBytes: number;
}

const NO_USAGE: ProcessUsage = {
  cpuShare: 0,
  peerBytesPerSecond: 0,
  platformCallsPerSecond: 0,
  residentBytes: 0,
};

/** Resource usage of the first router, and the sum over the measured agents. */
interface FleetUsage {
  readonly router: ProcessUsage;
  readonly agents: ProcessUsage;
}

/** Measures the CPU time and peer traffic per request, as the slope between two request rates. */
export async function measureRequestCost(): Promise<Figure[]> {
  const [lowRate, highRate] = [50, 250];
  const fleet = await startLoadFleet();
  try {
    const send = (ordinal: number) => fleet.chat(1, 'load/m0', `s ${ordinal}`, 1);
    await sendAtRate(200, MEASUREMENT_WINDOW_MS / 2, send);
    const lowRateUsage = await measureUsage(fleet, AGENT_IDS, () =>
      sendAtRate(lowRate, MEASUREMENT_WINDOW_MS, send),
    );
    const highRateUsage = await measureUsage(fleet, AGENT_IDS, () =>
      sendAtRate(highRate, MEASUREMENT_WINDOW_MS, send),
    );
    const perRequest = (select: (usage: FleetUsage) => number) =>
      (select(highRateUsage) - select(lowRateUsage)) / (highRate - lowRate);
    return [
      createFigure('slope.routerCpuPerRequest', perRequest((usage) => usage.router.cpuShare) * 1e3, 'ms'),
      createFigure('slope.agentCpuPerRequest', perRequest((usage) => usage.agents.cpuShare) * 1e3, 'ms'),
      createFigure(
        'slope.routerPeerBytesPerRequest',
        perRequest((usage) => usage.router.peerBytesPerSecond),
        'bytes',
      ),
    ];
  } finally {
    await fleet.stop();
  }
}

/** Measures the CPU time and peer traffic per streamed token, as the slope between two response lengths. */
export async function measureTokenCost(): Promise<Figure[]> {
  const [shortTokenCount, longTokenCount] = [10, 210];
  const fleet = await startLoadFleet();
  try {
    const send = (tokenCount: number) => (ordinal: number) =>
      fleet.streamChat(1, 'load/m0', `t ${ordinal}`, tokenCount);
    await sendAtRate(STREAMS_PER_SECOND, MEASUREMENT_WINDOW_MS / 4, send(100));
    const shortUsage = await measureUsage(fleet, AGENT_IDS, () =>
      sendAtRate(STREAMS_PER_SECOND, MEASUREMENT_WINDOW_MS, send(shortTokenCount)),
    );
    const longUsage = await measureUsage(fleet, AGENT_IDS, () =>
      sendAtRate(STREAMS_PER_SECOND, MEASUREMENT_WINDOW_MS, send(longTokenCount)),
    );
    const tokensPerSecond = STREAMS_PER_SECOND * (longTokenCount - shortTokenCount);
    const perToken = (select: (usage: FleetUsage) => number) =>
      (select(longUsage) - select(shortUsage)) / tokensPerSecond;
    return [
      createFigure('slope.routerCpuPerToken', perToken((usage) => usage.router.cpuShare) * 1e6, 'us'),
      createFigure('slope.agentCpuPerToken', perToken((usage) => usage.agents.cpuShare) * 1e6, 'us'),
      createFigure(
        'slope.peerBytesPerToken',
        perToken((usage) => usage.router.peerBytesPerSecond),
        'bytes',
      ),
    ];
  } finally {
    await fleet.stop();
  }
}

/** Measures an idle fleet, and the peer traffic of a router per further agent and per further router. */
export async function measureIdleCost(): Promise<Figure[]> {
  const small = await measureIdleUsage({ routerCount: 2, engineCount: 2 });
  const moreAgents = await measureIdleUsage({ routerCount: 2, engineCount: 10 });
  const moreRouters = await measureIdleUsage({ routerCount: 10, engineCount: 2 });
  const { router, agents } = small;
  return [
    createFigure('idle.routerCpu', router.cpuShare * 100, '% of a core', '<= 1.6'),
    createFigure('idle.agentCpu', agents.cpuShare * 100, '% of a core', '<= 1.6'),
    createFigure('idle.routerResident', router.residentBytes / 1e6, 'MB', '<= 128'),
    createFigure('idle.agentResident', agents.residentBytes / 1e6, 'MB', '<= 128'),
    createFigure('idle.routerPeerBytes', router.peerBytesPerSecond, 'bytes/s', '<= 6000'),
    createFigure('idle.agentPeerBytes', agents.peerBytesPerSecond, 'bytes/s', '<= 6000'),
    createFigure('idle.routerPlatformCalls', router.platformCallsPerSecond, 'calls/s'),
    createFigure(
      'slope.routerPeerBytesPerAgent',
      (moreAgents.router.peerBytesPerSecond - router.peerBytesPerSecond) / 8,
      'bytes/s',
    ),
    createFigure(
      'slope.routerPeerBytesPerRouter',
      (moreRouters.router.peerBytesPerSecond - router.peerBytesPerSecond) / 8,
      'bytes/s',
    ),
  ];
}

async function measureIdleUsage(
  counts: Pick<FleetOptions, 'routerCount' | 'engineCount'>,
): Promise<FleetUsage> {
  const fleet = await MeasuredFleet.start({
    ...LOAD_FLEET_OPTIONS,
    ...counts,
    services: [createService('load', 20)],
  });
  try {
    await sleep(3_000);
    return await measureUsage(fleet, ['engine-1'], () => sleep(MEASUREMENT_WINDOW_MS));
  } finally {
    await fleet.stop();
  }
}

/** Measures the memory and CPU time of one of 410 routers, with the target's number of models, adapters and servers. */
export async function measureTargetState(): Promise<Figure[]> {
  const fleet = await MeasuredFleet.start({ ...LOAD_FLEET_OPTIONS, routerCount: 1 });
  try {
    const beforeBytes = fleet.readResidentBytes('router-1');
    await registerTargetFleet(fleet);
    await sleep(25_000);
    const { router } = await measureUsage(fleet, [], () => sleep(MEASUREMENT_WINDOW_MS));
    const afterBytes = fleet.readResidentBytes('router-1');
    return [
      {
        ...createFigure('target.routerResident', afterBytes / 1e6, 'MB', '<= 128'),
        baseline: roundFigure(beforeBytes / 1e6),
      },
      createFigure('target.routerCpu', router.cpuShare * 100, '% of a core', '<= 1.6'),
      createFigure('target.routerHomeModels', await fleet.readMetric('router-1', 'home_models'), 'models'),
    ];
  } finally {
    await fleet.stop();
  }
}

/** Registers the other instances, models and adapters of the target with the platform; the instances are unreachable. */
async function registerTargetFleet(fleet: MeasuredFleet): Promise<void> {
  for (let index = 0; index < 4_709; index++) {
    const role = index < 409 ? 'router' : 'agent';
    const pool = role === 'router' ? '' : 'far';
    const dataCentre = `dc-${index % 15}`;
    const setInstance = {
      id: `far-${index}`,
      role,
      dataCentre,
      pool,
      peerAddress: '127.0.0.1:1',
      state: 'live',
    };
    await fleet.controlPlatform({ setInstance });
  }
  const adapters = Array.from({ length: 38 }, (_, index) => ({ name: `a${index}`, sizeBytes: 10 }));
  for (let index = 0; index < 180; index++) {
    const service = createService(`bulk-${index}`, 10, { pool: 'far' });
    const models = service.models.map((model) => ({ ...model, adapters }));
    for (const model of models) {
      const modelId = `${service.service}/${model.name}`;
      const grants = [1, 2].map((grantNumber) => createGrant(500 + index * 10 + grantNumber, grantNumber));
      await fleet.createObject(`state/placements/${modelId}`, {
        modelId,
        decidedReplicas: 2,
        lastGrantNumber: 2,
        grants,
      });
    }
    await fleet.createObject(`state/services/${service.service}`, { ...service, models });
  }
}

function createGrant(server: number, grantNumber: number) {
  return { serverId: `far-${server}`, grantNumber, state: 'active' };
}

function startLoadFleet(): Promise<MeasuredFleet> {
  return MeasuredFleet.start({
    ...LOAD_FLEET_OPTIONS,
    engine: { ...LOAD_FLEET_OPTIONS.engine, slotCount: 64, tokenMs: 2 },
  });
}

/** Measures the resource usage of the first router and of some agents during an activity. */
async function measureUsage(
  fleet: MeasuredFleet,
  agentIds: readonly string[],
  activity: () => Promise<unknown>,
): Promise<FleetUsage> {
  const ids = ['router-1', ...agentIds];
  const before = await Promise.all(ids.map((id) => readCounters(fleet, id)));
  const startedAtMs = performance.now();
  await activity();
  const seconds = (performance.now() - startedAtMs) / 1_000;
  const after = await Promise.all(ids.map((id) => readCounters(fleet, id)));
  const usages = ids.map((id, index): ProcessUsage => {
    const perSecond = (field: number) =>
      ((after[index]?.[field] ?? 0) - (before[index]?.[field] ?? 0)) / seconds;
    return {
      cpuShare: perSecond(0),
      peerBytesPerSecond: perSecond(1) + perSecond(2),
      platformCallsPerSecond: perSecond(3),
      residentBytes: fleet.readResidentBytes(id),
    };
  });
  const [router = NO_USAGE, ...agents] = usages;
  return { router, agents: agents.reduce(addUsage, NO_USAGE) };
}

function readCounters(fleet: MeasuredFleet, id: string): Promise<number[]> {
  const metricNames = ['cpu_seconds', 'peer_sent_bytes', 'peer_received_bytes', 'platform_calls'];
  return Promise.all(metricNames.map((name) => fleet.readMetric(id, name)));
}

function addUsage(left: ProcessUsage, right: ProcessUsage): ProcessUsage {
  return {
    cpuShare: left.cpuShare + right.cpuShare,
    peerBytesPerSecond: left.peerBytesPerSecond + right.peerBytesPerSecond,
    platformCallsPerSecond: left.platformCallsPerSecond + right.platformCallsPerSecond,
    residentBytes: left.residentBytes + right.residentBytes,
  };
}

function createFigure(name: string, value: number, unit: string, target?: string): Figure {
  return { name, value: roundFigure(value), unit, target };
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
