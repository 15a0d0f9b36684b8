import type { Figure } from './Figure.js';
import { quantile, rounded } from './Figure.js';
import { createService, MeasuredFleet, type FleetSetup } from './MeasuredFleet.js';

/** Requests that meet a waking model at once. */
const BURST_SIZE = 40;
/** Models that wake at the same moment. */
const MODELS_AT_ONCE = 3;

/** A tenant at the brief's size. */
interface TenantSetup {
  readonly name: 'mosquitero' | 'rimalia';
  readonly modelCount: number;
  readonly setup: Omit<FleetSetup, 'services'>;
}

const TENANTS: readonly TenantSetup[] = [
  {
    name: 'mosquitero',
    modelCount: 40,
    setup: {
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
    setup: {
      routerCount: 4,
      engineCount: 8,
      dataCentres: ['milano-a', 'milano-b', 'bergamo', 'brescia'],
      engine: { capacityBytes: 100, slotCount: 16, tokenMs: 2, memoryLoadMs: 500, diskLoadMs: 1_500 },
      weightStore: { readMs: 2_000, readsPerSecond: 5, fullSpeedReads: 4 },
    },
  },
];

/** Measures wake-ups in a burst at all routers: first from the remote store, then from the local caches. */
export async function measureColdStarts(): Promise<Figure[]> {
  const figures: Figure[] = [];
  for (const tenant of TENANTS) {
    figures.push(...(await measureTenant(tenant)));
  }
  return figures;
}

async function measureTenant(tenant: TenantSetup): Promise<Figure[]> {
  const weighing = { coldStartSecond: 1, idleAcceleratorHour: 1_000_000 };
  const service = createService(tenant.name, tenant.modelCount, { maxReplicas: 1, weighing });
  const fleet = await MeasuredFleet.start({ ...tenant.setup, services: [service] });
  try {
    const { engine, weightStore } = tenant.setup;
    const writesBefore = (await fleet.platform()).writeCount;
    const remoteMs = await wakeAll(fleet, tenant);
    await settle();
    const cachedMs = await wakeAll(fleet, tenant);
    const writesPerWake = ((await fleet.platform()).writeCount - writesBefore) / (2 * tenant.modelCount);
    const remoteOwnMs = weightStore.readMs + engine.diskLoadMs;
    return [
      {
        name: `coldStartTailOverLimit.${tenant.name}`,
        value: rounded(quantile(cachedMs, 0.99) / engine.memoryLoadMs),
        unit: 'ratio',
        target: '<= 1.25',
      },
      { name: `coldStartP99FromMemory.${tenant.name}`, value: rounded(quantile(cachedMs, 0.99)), unit: 'ms' },
      { name: `coldStartP50FromMemory.${tenant.name}`, value: rounded(quantile(cachedMs, 0.5)), unit: 'ms' },
      {
        name: `coldStartTailOverRemote.${tenant.name}`,
        value: rounded(quantile(remoteMs, 0.99) / remoteOwnMs),
        unit: 'ratio',
      },
      {
        name: `platformWritesPerWake.${tenant.name}`,
        value: rounded(writesPerWake),
        unit: 'writes',
        target: '0',
      },
    ];
  } finally {
    await fleet.stop();
  }
}

/** Wakes every model by a burst at all routers, some models at once; gives each request's wait for its model. */
async function wakeAll(fleet: MeasuredFleet, tenant: TenantSetup): Promise<number[]> {
  const waitsMs: number[] = [];
  for (let first = 0; first < tenant.modelCount; first += MODELS_AT_ONCE) {
    const bursts: Promise<number>[] = [];
    for (let model = first; model < Math.min(tenant.modelCount, first + MODELS_AT_ONCE); model++) {
      for (let index = 0; index < BURST_SIZE / MODELS_AT_ONCE; index++) {
        const router = (index % tenant.setup.routerCount) + 1;
        bursts.push(waitOf(fleet, router, `${tenant.name}/m${model}`, `b ${index}`));
      }
    }
    waitsMs.push(...(await Promise.all(bursts)));
  }
  return waitsMs;
}

async function waitOf(fleet: MeasuredFleet, router: number, model: string, prompt: string): Promise<number> {
  const answer = await fleet.chat(router, model, prompt, 1);
  if (answer.status !== 200) {
    throw new Error(`A wake-up of ${model} was refused with ${answer.status}.`);
  }
  return answer.totalMs - answer.engineMs;
}

/** Waits until idle models are unloaded. */
async function settle(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 3_000));
}
