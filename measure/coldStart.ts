import type { Figure } from './Figure.js';
import { quantile, roundFigure } from './Figure.js';
import { createService, MeasuredFleet, type FleetOptions } from './MeasuredFleet.js';

/** Requests of a burst, divided evenly among its models and rounded up for each. */
const REQUESTS_PER_BURST = 40;
/** Models that are loaded at the same time. */
const MODELS_PER_BURST = 3;

/** Tenant with the models and the fleet that the target specifies for it. */
interface Tenant {
  readonly name: 'mosquitero' | 'rimalia';
  readonly modelCount: number;
  readonly fleetOptions: Omit<FleetOptions, 'services'>;
}

const TENANTS: readonly Tenant[] = [
  {
    name: 'mosquitero',
    modelCount: 40,
    fleetOptions: {
      routerCount: 3,
      engineCount: 8,
      dataCentres: ['salto', 'paysandu', 'montevideo'],
      engine: { capacityBytes: 100, slotCount: 16, tokenMs: 2, memoryLoadMs: 500, diskLoadMs: 1_500 },
      weightStore: { readMs: 2_000, readsPerSecond: 3, fullSpeedReads: 4 },
    },
  },
  {
    name: 'rimalia',
    modelCount: 20,
    fleetOptions: {
      routerCount: 4,
      engineCount: 8,
      dataCentres: ['milano-a', 'milano-b', 'bergamo', 'brescia'],
      engine: { capacityBytes: 100, slotCount: 16, tokenMs: 2, memoryLoadMs: 500, diskLoadMs: 1_500 },
      weightStore: { readMs: 2_000, readsPerSecond: 5, fullSpeedReads: 4 },
    },
  },
];

/** Measures the cold starts of bursts at all routers, first from the weight store and then from the local caches. */
export async function measureColdStarts(): Promise<Figure[]> {
  const figures: Figure[] = [];
  for (const tenant of TENANTS) {
    figures.push(...(await measureTenant(tenant)));
  }
  return figures;
}

async function measureTenant(tenant: Tenant): Promise<Figure[]> {
  // Idle time at this cost makes the scheduler unload a model as soon as it is idle.
  const weighing = { coldStartSecond: 1, idleAcceleratorHour: 1_000_000 };
  const service = createService(tenant.name, tenant.modelCount, { maxReplicas: 1, weighing });
  const fleet = await MeasuredFleet.start({ ...tenant.fleetOptions, services: [service] });
  try {
    const { engine, weightStore } = tenant.fleetOptions;
    const writesBefore = (await fleet.controlPlatform()).writeCount;
    const remoteMs = await loadAllModels(fleet, tenant);
    await waitForUnload();
    const cachedMs = await loadAllModels(fleet, tenant);
    const writesPerLoad =
      ((await fleet.controlPlatform()).writeCount - writesBefore) / (2 * tenant.modelCount);
    const remoteLoadMs = weightStore.readMs + engine.diskLoadMs;
    return [
      {
        name: `coldStartTailOverLimit.${tenant.name}`,
        value: roundFigure(quantile(cachedMs, 0.99) / engine.memoryLoadMs),
        unit: 'ratio',
        target: '<= 1.25',
      },
      {
        name: `coldStartP99FromMemory.${tenant.name}`,
        value: roundFigure(quantile(cachedMs, 0.99)),
        unit: 'ms',
      },
      {
        name: `coldStartP50FromMemory.${tenant.name}`,
        value: roundFigure(quantile(cachedMs, 0.5)),
        unit: 'ms',
      },
      {
        name: `coldStartTailOverRemote.${tenant.name}`,
        value: roundFigure(quantile(remoteMs, 0.99) / remoteLoadMs),
        unit: 'ratio',
      },
      {
        name: `platformWritesPerWake.${tenant.name}`,
        value: roundFigure(writesPerLoad),
        unit: 'writes',
        target: '0',
      },
    ];
  } finally {
    await fleet.stop();
  }
}

/** Loads every model by bursts at all routers and returns the time that each request waited for its model. */
async function loadAllModels(fleet: MeasuredFleet, tenant: Tenant): Promise<number[]> {
  const waitsMs: number[] = [];
  for (let first = 0; first < tenant.modelCount; first += MODELS_PER_BURST) {
    const waits: Promise<number>[] = [];
    for (let model = first; model < Math.min(tenant.modelCount, first + MODELS_PER_BURST); model++) {
      for (let index = 0; index < REQUESTS_PER_BURST / MODELS_PER_BURST; index++) {
        const router = (index % tenant.fleetOptions.routerCount) + 1;
        waits.push(measureWait(fleet, router, `${tenant.name}/m${model}`, `b ${index}`));
      }
    }
    waitsMs.push(...(await Promise.all(waits)));
  }
  return waitsMs;
}

async function measureWait(
  fleet: MeasuredFleet,
  router: number,
  model: string,
  prompt: string,
): Promise<number> {
  const response = await fleet.chat(router, model, prompt, 1);
  if (response.status !== 200) {
    throw new Error(`A request that loads ${model} was refused with status ${response.status}.`);
  }
  return response.totalMs - response.engineMs;
}

/** Waits long enough for all idle models to be unloaded. */
async function waitForUnload(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 3_000));
}
