import { rounded, type Figure } from './Figure.js';
import { LOAD_SETUP, sendAtRate } from './load.js';
import { createService, MeasuredFleet, type FleetSetup } from './MeasuredFleet.js';

/** Time over which processor time and traffic are counted, in milliseconds. */
const WINDOW_MS = 10_000;
/** Agents of the fleet under load. */
const AGENT_IDS = ['engine-1', 'engine-2'];
/** Streams started in a second while the cost of a token is measured. */
const STREAM_RATE = 20;

/** What one process used while it was watched. */
interface Usage {
  readonly cpuShare: number;
  readonly peerBytesPerSecond: number;
  readonly platformCallsPerSecond: number;
  readonly residentBytes: number;
}

const NO_USAGE: Usage = { cpuShare: 0, peerBytesPerSecond: 0, platformCallsPerSecond: 0, residentBytes: 0 };

/** What a router used, and some agents together. */
interface FleetUsage {
  readonly router: Usage;
  readonly agents: Usage;
}

/** Processor time of one request, from two rates. */
export async function measureRequestCost(): Promise<Figure[]> {
  const [slowRate, fastRate] = [50, 250];
  const fleet = await startLoaded();
  try {
    const send = (ordinal: number) => fleet.chat(1, 'load/m0', `s ${ordinal}`, 1);
    await sendAtRate(200, WINDOW_MS / 2, send);
    const slow = await watch(fleet, AGENT_IDS, () => sendAtRate(slowRate, WINDOW_MS, send));
    const fast = await watch(fleet, AGENT_IDS, () => sendAtRate(fastRate, WINDOW_MS, send));
    const perRequest = (of: (usage: FleetUsage) => number) => (of(fast) - of(slow)) / (fastRate - slowRate);
    return [
      figure('slope.routerCpuPerRequest', perRequest((usage) => usage.router.cpuShare) * 1e3, 'ms'),
      figure('slope.agentCpuPerRequest', perRequest((usage) => usage.agents.cpuShare) * 1e3, 'ms'),
      figure(
        'slope.routerPeerBytesPerRequest',
        perRequest((usage) => usage.router.peerBytesPerSecond),
        'bytes',
      ),
    ];
  } finally {
    await fleet.stop();
  }
}

/** Processor time of one streamed token, from two lengths of answers. */
export async function measureTokenCost(): Promise<Figure[]> {
  const [shortCount, longCount] = [10, 210];
  const fleet = await startLoaded();
  try {
    const send = (tokenCount: number) => (ordinal: number) =>
      fleet.stream(1, 'load/m0', `t ${ordinal}`, tokenCount);
    await sendAtRate(STREAM_RATE, WINDOW_MS / 4, send(100));
    const short = await watch(fleet, AGENT_IDS, () => sendAtRate(STREAM_RATE, WINDOW_MS, send(shortCount)));
    const long = await watch(fleet, AGENT_IDS, () => sendAtRate(STREAM_RATE, WINDOW_MS, send(longCount)));
    const tokensPerSecond = STREAM_RATE * (longCount - shortCount);
    const perToken = (of: (usage: FleetUsage) => number) => (of(long) - of(short)) / tokensPerSecond;
    return [
      figure('slope.routerCpuPerToken', perToken((usage) => usage.router.cpuShare) * 1e6, 'us'),
      figure('slope.agentCpuPerToken', perToken((usage) => usage.agents.cpuShare) * 1e6, 'us'),
      figure(
        'slope.peerBytesPerToken',
        perToken((usage) => usage.router.peerBytesPerSecond),
        'bytes',
      ),
    ];
  } finally {
    await fleet.stop();
  }
}

/** Cost of a fleet without work, from two numbers of agents and two of routers. */
export async function measureIdleCost(): Promise<Figure[]> {
  const small = await watchIdle({ routerCount: 2, engineCount: 2 });
  const moreAgents = await watchIdle({ routerCount: 2, engineCount: 10 });
  const moreRouters = await watchIdle({ routerCount: 10, engineCount: 2 });
  const { router, agents } = small;
  return [
    figure('idle.routerCpu', router.cpuShare * 100, '% of a core', '<= 1.6'),
    figure('idle.agentCpu', agents.cpuShare * 100, '% of a core', '<= 1.6'),
    figure('idle.routerResident', router.residentBytes / 1e6, 'MB', '<= 128'),
    figure('idle.agentResident', agents.residentBytes / 1e6, 'MB', '<= 128'),
    figure('idle.routerPeerBytes', router.peerBytesPerSecond, 'bytes/s', '<= 6000'),
    figure('idle.agentPeerBytes', agents.peerBytesPerSecond, 'bytes/s', '<= 6000'),
    figure('idle.routerPlatformCalls', router.platformCallsPerSecond, 'calls/s'),
    figure(
      'slope.routerPeerBytesPerAgent',
      (moreAgents.router.peerBytesPerSecond - router.peerBytesPerSecond) / 8,
      'bytes/s',
    ),
    figure(
      'slope.routerPeerBytesPerRouter',
      (moreRouters.router.peerBytesPerSecond - router.peerBytesPerSecond) / 8,
      'bytes/s',
    ),
  ];
}

async function watchIdle(size: Pick<FleetSetup, 'routerCount' | 'engineCount'>): Promise<FleetUsage> {
  const fleet = await MeasuredFleet.start({ ...LOAD_SETUP, ...size, services: [createService('load', 20)] });
  try {
    await pause(3_000);
    return await watch(fleet, ['engine-1'], () => pause(WINDOW_MS));
  } finally {
    await fleet.stop();
  }
}

/** Memory and processor time of one router among 410, with the target's models, adapters and servers. */
export async function measureTargetState(): Promise<Figure[]> {
  const fleet = await MeasuredFleet.start({ ...LOAD_SETUP, routerCount: 1 });
  try {
    const beforeBytes = fleet.residentBytes('router-1');
    await enterTargetFleet(fleet);
    await pause(25_000);
    const { router } = await watch(fleet, [], () => pause(WINDOW_MS));
    const afterBytes = fleet.residentBytes('router-1');
    return [
      {
        ...figure('target.routerResident', afterBytes / 1e6, 'MB', '<= 128'),
        baseline: rounded(beforeBytes / 1e6),
      },
      figure('target.routerCpu', router.cpuShare * 100, '% of a core', '<= 1.6'),
      figure('target.routerHomeModels', await fleet.metric('router-1', 'home_models'), 'models'),
    ];
  } finally {
    await fleet.stop();
  }
}

/** Tells the platform of the target's other instances, models and adapters; none of those instances answers. */
async function enterTargetFleet(fleet: MeasuredFleet): Promise<void> {
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
    await fleet.platform({ setInstance });
  }
  const adapters = Array.from({ length: 38 }, (_, index) => ({ name: `a${index}`, sizeBytes: 10 }));
  for (let index = 0; index < 180; index++) {
    const service = createService(`bulk-${index}`, 10, { pool: 'far' });
    const models = service.models.map((model) => ({ ...model, adapters }));
    for (const model of models) {
      const modelId = `${service.service}/${model.name}`;
      const grants = [1, 2].map((grantNumber) => toGrant(500 + index * 10 + grantNumber, grantNumber));
      await fleet.put(`state/placements/${modelId}`, {
        modelId,
        decidedReplicas: 2,
        lastGrantNumber: 2,
        grants,
      });
    }
    await fleet.put(`state/services/${service.service}`, { ...service, models });
  }
}

function toGrant(server: number, grantNumber: number) {
  return { serverId: `far-${server}`, grantNumber, state: 'active' };
}

function startLoaded(): Promise<MeasuredFleet> {
  return MeasuredFleet.start({ ...LOAD_SETUP, engine: { ...LOAD_SETUP.engine, slotCount: 64, tokenMs: 2 } });
}

/** Watches the first router and some agents while something goes on; the agents' usage is added up. */
async function watch(
  fleet: MeasuredFleet,
  agentIds: readonly string[],
  run: () => Promise<unknown>,
): Promise<FleetUsage> {
  const ids = ['router-1', ...agentIds];
  const before = await Promise.all(ids.map((id) => readCounters(fleet, id)));
  const startedAtMs = performance.now();
  await run();
  const seconds = (performance.now() - startedAtMs) / 1_000;
  const after = await Promise.all(ids.map((id) => readCounters(fleet, id)));
  const usages = ids.map((id, index): Usage => {
    const perSecond = (field: number) =>
      ((after[index]?.[field] ?? 0) - (before[index]?.[field] ?? 0)) / seconds;
    return {
      cpuShare: perSecond(0),
      peerBytesPerSecond: perSecond(1) + perSecond(2),
      platformCallsPerSecond: perSecond(3),
      residentBytes: fleet.residentBytes(id),
    };
  });
  const [router = NO_USAGE, ...agents] = usages;
  return { router, agents: agents.reduce(addUp, NO_USAGE) };
}

function readCounters(fleet: MeasuredFleet, id: string): Promise<number[]> {
  const names = ['cpu_seconds', 'peer_sent_bytes', 'peer_received_bytes', 'platform_calls'];
  return Promise.all(names.map((name) => fleet.metric(id, name)));
}

function addUp(left: Usage, right: Usage): Usage {
  return {
    cpuShare: left.cpuShare + right.cpuShare,
    peerBytesPerSecond: left.peerBytesPerSecond + right.peerBytesPerSecond,
    platformCallsPerSecond: left.platformCallsPerSecond + right.platformCallsPerSecond,
    residentBytes: left.residentBytes + right.residentBytes,
  };
}

function figure(name: string, value: number, unit: string, target?: string): Figure {
  return { name, value: rounded(value), unit, target };
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
