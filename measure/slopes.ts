import type { Figure } from './Figure.js';
import { rounded } from './Figure.js';
import { sendAtRate, LOAD_SETUP } from './load.js';
import { createService, MeasuredFleet, type FleetSetup } from './MeasuredFleet.js';

/** Time over which processor time and traffic are counted, in milliseconds. */
const WINDOW_MS = 10_000;

/** What one process used while it was watched. */
interface Usage {
  readonly cpuShare: number;
  readonly peerBytesPerSecond: number;
  readonly platformBytesPerSecond: number;
  readonly platformCallsPerSecond: number;
  readonly residentBytes: number;
}

/** Measures how the cost of a router and an agent grows with what the fleet holds and does. */
export async function measureSlopes(): Promise<Figure[]> {
  return [
    ...(await measureRequestCost()),
    ...(await measureChunkCost()),
    ...(await measureIdleCost()),
    ...(await measureStateCost()),
  ];
}

/** Processor time of one request, from two rates. */
async function measureRequestCost(): Promise<Figure[]> {
  const fleet = await MeasuredFleet.start({ ...LOAD_SETUP, engine: { ...LOAD_SETUP.engine, slotCount: 64 } });
  try {
    const send = (ordinal: number) => fleet.chat(1, 'load/m0', `s ${ordinal}`, 1);
    await sendAtRate(200, WINDOW_MS / 2, send);
    const slow = await watch(fleet, ['router-1', 'engine-1', 'engine-2'], () =>
      sendAtRate(50, WINDOW_MS, send),
    );
    const fast = await watch(fleet, ['router-1', 'engine-1', 'engine-2'], () =>
      sendAtRate(250, WINDOW_MS, send),
    );
    const routerMs = ((fast[0]!.cpuShare - slow[0]!.cpuShare) / 200) * 1_000;
    const agentShare = fast[1]!.cpuShare + fast[2]!.cpuShare - slow[1]!.cpuShare - slow[2]!.cpuShare;
    const bytes = (fast[0]!.peerBytesPerSecond - slow[0]!.peerBytesPerSecond) / 200;
    return [
      { name: 'slope.routerCpuPerRequest', value: rounded(routerMs), unit: 'ms' },
      { name: 'slope.agentCpuPerRequest', value: rounded((agentShare / 200) * 1_000), unit: 'ms' },
      { name: 'slope.routerPeerBytesPerRequest', value: rounded(bytes), unit: 'bytes' },
    ];
  } finally {
    await fleet.stop();
  }
}

/** Processor time of one streamed piece of an answer, from two lengths of answers. */
async function measureChunkCost(): Promise<Figure[]> {
  const fleet = await MeasuredFleet.start({
    ...LOAD_SETUP,
    engine: { ...LOAD_SETUP.engine, slotCount: 64, tokenMs: 2 },
  });
  const rate = 20;
  try {
    const send = (tokenCount: number) => (ordinal: number) =>
      fleet.stream(1, 'load/m0', `t ${ordinal}`, tokenCount);
    await sendAtRate(rate, WINDOW_MS / 4, send(100));
    const ids = ['router-1', 'engine-1', 'engine-2'];
    const short = await watch(fleet, ids, () => sendAtRate(rate, WINDOW_MS, send(10)));
    const long = await watch(fleet, ids, () => sendAtRate(rate, WINDOW_MS, send(210)));
    const chunksPerSecond = rate * 200;
    const agentShare = long[1]!.cpuShare + long[2]!.cpuShare - short[1]!.cpuShare - short[2]!.cpuShare;
    return [
      {
        name: 'slope.routerCpuPerToken',
        value: rounded(((long[0]!.cpuShare - short[0]!.cpuShare) / chunksPerSecond) * 1_000_000),
        unit: 'us',
      },
      {
        name: 'slope.agentCpuPerToken',
        value: rounded((agentShare / chunksPerSecond) * 1_000_000),
        unit: 'us',
      },
      {
        name: 'slope.peerBytesPerToken',
        value: rounded((long[0]!.peerBytesPerSecond - short[0]!.peerBytesPerSecond) / chunksPerSecond),
        unit: 'bytes',
      },
    ];
  } finally {
    await fleet.stop();
  }
}

/** Cost of a fleet without work, from two numbers of agents and two of routers. */
async function measureIdleCost(): Promise<Figure[]> {
  const small = await watchIdle({ routerCount: 2, engineCount: 2 });
  const moreAgents = await watchIdle({ routerCount: 2, engineCount: 10 });
  const moreRouters = await watchIdle({ routerCount: 10, engineCount: 2 });
  const agentBytes = (moreAgents.router.peerBytesPerSecond - small.router.peerBytesPerSecond) / 8;
  const routerBytes = (moreRouters.router.peerBytesPerSecond - small.router.peerBytesPerSecond) / 8;
  return [
    {
      name: 'idle.routerCpu',
      value: rounded(small.router.cpuShare * 100),
      unit: '% of a core',
      target: '<= 1.6',
    },
    {
      name: 'idle.agentCpu',
      value: rounded(small.agent.cpuShare * 100),
      unit: '% of a core',
      target: '<= 1.6',
    },
    {
      name: 'idle.routerResident',
      value: rounded(small.router.residentBytes / 1e6),
      unit: 'MB',
      target: '<= 128',
    },
    {
      name: 'idle.agentResident',
      value: rounded(small.agent.residentBytes / 1e6),
      unit: 'MB',
      target: '<= 128',
    },
    {
      name: 'idle.routerPeerBytes',
      value: rounded(small.router.peerBytesPerSecond),
      unit: 'bytes/s',
      target: '<= 6000',
    },
    {
      name: 'idle.agentPeerBytes',
      value: rounded(small.agent.peerBytesPerSecond),
      unit: 'bytes/s',
      target: '<= 6000',
    },
    {
      name: 'idle.routerPlatformCalls',
      value: rounded(small.router.platformCallsPerSecond),
      unit: 'calls/s',
    },
    { name: 'idle.agentPlatformCalls', value: rounded(small.agent.platformCallsPerSecond), unit: 'calls/s' },
    { name: 'slope.routerPeerBytesPerAgent', value: rounded(agentBytes), unit: 'bytes/s' },
    { name: 'slope.routerPeerBytesPerRouter', value: rounded(routerBytes), unit: 'bytes/s' },
    {
      name: 'slope.routerCpuPerRouter',
      value: rounded(((moreRouters.router.cpuShare - small.router.cpuShare) / 8) * 100),
      unit: '% of a core',
    },
  ];
}

async function watchIdle(
  size: Pick<FleetSetup, 'routerCount' | 'engineCount'>,
): Promise<{ router: Usage; agent: Usage }> {
  const fleet = await MeasuredFleet.start({ ...LOAD_SETUP, ...size, services: [createService('load', 20)] });
  try {
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    const usages = await watch(
      fleet,
      ['router-1', 'engine-1'],
      () => new Promise((resolve) => setTimeout(resolve, WINDOW_MS)),
    );
    return { router: usages[0]!, agent: usages[1]! };
  } finally {
    await fleet.stop();
  }
}

/** Memory and processor time of a router, from the state that it holds but is not the home of. */
async function measureStateCost(): Promise<Figure[]> {
  const fleet = await MeasuredFleet.start({ ...LOAD_SETUP, routerCount: 1 });
  try {
    const before = fleet.residentBytes('router-1');
    const adapters = Array.from({ length: 38 }, (_, index) => ({ name: `a${index}`, sizeBytes: 10 }));
    for (let service = 0; service < 180; service++) {
      const created = createService(`bulk-${service}`, 10, { pool: 'none' });
      await fleet.put(`state/services/bulk-${service}`, {
        ...created,
        models: created.models.map((model) => ({ ...model, adapters })),
      });
    }
    await new Promise((resolve) => setTimeout(resolve, 4_000));
    const idle = await watch(
      fleet,
      ['router-1'],
      () => new Promise((resolve) => setTimeout(resolve, WINDOW_MS)),
    );
    const after = fleet.residentBytes('router-1');
    return [
      {
        name: 'state.residentFor1800ModelsAnd68400Adapters',
        value: rounded(after / 1e6),
        unit: 'MB',
        baseline: rounded(before / 1e6),
        target: '<= 128',
      },
      {
        name: 'state.cpuAsOnlyHomeOf1800Models',
        value: rounded(idle[0]!.cpuShare * 100),
        unit: '% of a core',
      },
    ];
  } finally {
    await fleet.stop();
  }
}

/** Watches some processes while something goes on. */
async function watch(
  fleet: MeasuredFleet,
  ids: readonly string[],
  run: () => Promise<unknown>,
): Promise<Usage[]> {
  const read = (id: string) =>
    Promise.all(
      ['cpu_seconds', 'peer_sent_bytes', 'peer_received_bytes', 'platform_bytes', 'platform_calls'].map(
        (name) => fleet.metric(id, name),
      ),
    );
  const before = await Promise.all(ids.map(read));
  const startedAtMs = performance.now();
  await run();
  const seconds = (performance.now() - startedAtMs) / 1_000;
  const after = await Promise.all(ids.map(read));
  return ids.map((id, index) => {
    const perSecond = (field: number) =>
      ((after[index]![field] ?? 0) - (before[index]![field] ?? 0)) / seconds;
    return {
      cpuShare: perSecond(0),
      peerBytesPerSecond: perSecond(1) + perSecond(2),
      platformBytesPerSecond: perSecond(3),
      platformCallsPerSecond: perSecond(4),
      residentBytes: fleet.residentBytes(id),
    };
  });
}
