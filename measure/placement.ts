import { CopyValues, ServerPace } from '../src/placement/index.js';
import { choosePlacement, type KnownServer } from '../src/direct/index.js';
import { toDataCentreId, toServerId, toServiceId } from '../src/domain/index.js';
import { Random } from '../src/kernel/index.js';
import { roundFigure, type Figure } from './Figure.js';

/** Numbers of engines now and later. */
const ENGINE_COUNTS = [31, 4_300];
/** Number of calls that are measured, after as many to warm up. */
const ROUNDS = 100;
const HELD_COUNT = 3;
const DISK_COUNT = 7;

/**
 * Measures the processor time of the placement decision: the values of all copies, and the choice of a server.
 * @param seed - Seed of the models that the engines hold.
 */
export function measurePlacement(seed: number): Figure[] {
  return ENGINE_COUNTS.flatMap((engineCount) => measureFleet(engineCount, new Random(seed)));
}

function measureFleet(engineCount: number, random: Random): Figure[] {
  const modelCount = Math.max(93, Math.round(1.5 * engineCount));
  const footprint = {
    weightsMb: 25_000,
    adapterMb: 66,
    adapterCount: 0,
    storeLoadMs: 10_200,
    diskLoadMs: 600,
    memoryLoadMs: 400,
  };
  const names = Array.from({ length: modelCount }, (_, index) => `m${index}`);
  const profile = {
    batchSlotCount: 32,
    weightsMb: 83_000,
    adapterSlotCount: 8,
    loadsPerSecond: 12,
    models: new Map(names.map((name) => [name, footprint])),
  };
  const draw = (count: number) =>
    Array.from({ length: count }, () => names[random.nextInt(modelCount)] ?? '');
  const servers = Array.from({ length: engineCount }, (_, index) => makeServer(index, engineCount, draw));
  const pace = new ServerPace({ getPaceFactor: () => 1, getExpectedGapMs: () => 60 }, 200);
  let values = new CopyValues(servers, profile, () => 0, pace);
  const valuesMs = measureMs(() => {
    values = new CopyValues(servers, profile, () => 0, pace);
  });
  const choiceMs = measureMs((round) => {
    const requirements = { isInteractive: false, maxStartMs: Infinity, mayFetchCopy: true, footprint };
    choosePlacement({ ...requirements, model: `m${round % 90}`, evictionPolicy: values }, servers, profile);
  });
  const choiceBeforeMs = measureMs((round) => {
    const requirements = { isInteractive: false, maxStartMs: Infinity, mayFetchCopy: true, footprint };
    choosePlacement({ ...requirements, model: `m${round % 90}` }, servers, profile);
  });
  return [
    { name: `placement values, ${engineCount} engines`, value: valuesMs, unit: 'ms' },
    {
      name: `placement choice, ${engineCount} engines`,
      value: choiceMs,
      unit: 'ms',
      baseline: choiceBeforeMs,
    },
  ];
}

/** Returns the mean duration of a call in the second half of the rounds, in milliseconds. */
function measureMs(run: (round: number) => void): number {
  let startedAtMs = 0;
  for (let round = 0; round < 2 * ROUNDS; round++) {
    if (round === ROUNDS) {
      startedAtMs = performance.now();
    }
    run(round);
  }
  return roundFigure((performance.now() - startedAtMs) / ROUNDS);
}

function makeServer(index: number, count: number, draw: (count: number) => string[]): KnownServer {
  const address = `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:1`;
  const heldModels = [...new Set(draw(HELD_COUNT))].map((name) => ({ name, adapters: [] }));
  const uses = heldModels.map(({ name }, position) => [
    name,
    { runningCount: position, idleForMs: 500 * position, isProtected: position === 0 },
  ]);
  const weights = { heldModels, modelsInMemory: draw(2), modelsOnDisk: draw(DISK_COUNT) };
  return {
    entry: {
      serverId: toServerId(`engine-${index}`),
      serviceId: toServiceId('engines'),
      address,
      dataCentre: toDataCentreId('here'),
      slotCount: 32,
      isLeaving: false,
      bornAtMs: 1,
      ...weights,
    },
    rank: index,
    rankShare: index / count,
    heldModels,
    report: {
      bornAtMs: 1,
      address,
      ...weights,
      comingAdapters: [],
      isBusy: false,
      orderCount: 0,
      waitingCount: 0,
      runningCount: 3,
      usedCacheTokens: 0,
      cacheTokens: 96_000,
      uses: Object.fromEntries(uses) as never,
      loadingForMs: 0,
      queuedModels: [],
      routerCount: 410,
      crashCounts: {},
    },
    reportedAtMs: 0,
    maxRequestsPerSecond: undefined,
    softwareVersion: 'v1',
  };
}
