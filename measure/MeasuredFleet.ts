import { spawnSync } from 'node:child_process';
import { Agent, request } from 'undici';
import type { ServiceConfiguration } from '../src/domain/index.js';
import { ChildProcess } from '../standins/ChildProcess.js';
import { DEMO_ENVIRONMENT, DemoFleet } from '../standins/DemoFleet.js';

const TOKEN = 'measure-token';
/** SHA-256 of the token. */
const TOKEN_SHA256 = '7ff0894860117c1372b0875a77d41c27e670f86e866c99e3c2b7d3802886476f';

/** How one engine is set up. */
export interface EngineSetup {
  readonly capacityBytes: number;
  readonly slotCount: number;
  readonly tokenMs: number;
  readonly memoryLoadMs: number;
  readonly diskLoadMs: number;
}

/** What to start. */
export interface FleetSetup {
  readonly routerCount: number;
  readonly engineCount: number;
  readonly dataCentres: readonly string[];
  readonly engine: EngineSetup;
  readonly weightStore: {
    readonly readMs: number;
    readonly readsPerSecond: number;
    readonly fullSpeedReads: number;
  };
  readonly services: readonly ServiceConfiguration[];
}

/** Answer to one measured call. */
export interface TimedAnswer {
  readonly status: number;
  readonly totalMs: number;
  /** Time that the engine says it took, in milliseconds; 0 where it says nothing. */
  readonly engineMs: number;
  readonly headers: Record<string, string | string[] | undefined>;
}

/** Routers, agents and stand-ins, each a process of its own, and a caller that measures. */
export class MeasuredFleet {
  private readonly standIns: ChildProcess[] = [];
  private readonly client = new Agent({
    connections: 2_000,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private fleet!: DemoFleet;
  private platformUrl = '';

  /** @param setup - What to start. */
  static async start(setup: FleetSetup): Promise<MeasuredFleet> {
    const measured = new MeasuredFleet();
    measured.platformUrl = await measured.startStandIn('platform', setup.weightStore);
    measured.fleet = await DemoFleet.create(measured.platformUrl);
    await measured.put('state/organisations/measure', {
      organisation: 'measure',
      tokenSha256s: [TOKEN_SHA256],
    });
    for (const service of setup.services) {
      await measured.put(`state/services/${service.service}`, service);
    }
    const { readsPerSecond, fullSpeedReads } = setup.weightStore;
    for (let index = 0; index < setup.engineCount; index++) {
      await measured.startEngine(index, setup);
    }
    for (let index = 0; index < setup.routerCount; index++) {
      const dataCentre = setup.dataCentres[index % setup.dataCentres.length] ?? '';
      await measured.fleet.startRouter(`router-${index + 1}`, dataCentre, {
        weightStore: { loadsPerSecond: readsPerSecond, concurrentLoads: fullSpeedReads },
      });
    }
    await measured.whenPlaced(setup);
    return measured;
  }

  /** Sends a chat completion and measures it. */
  async chat(
    router: number,
    model: string,
    prompt: string,
    maxTokens: number,
    timeoutMs = 30_000,
  ): Promise<TimedAnswer> {
    const startedAtMs = performance.now();
    const response = await request(
      `${this.fleet.getOrThrow(`router-${router}`).entryUrl ?? ''}/v1/chat/completions`,
      {
        method: 'POST',
        dispatcher: this.client,
        headers: { authorization: `Bearer ${TOKEN}`, 'request-timeout-ms': String(timeoutMs) },
        body: JSON.stringify({ model, messages: [{ role: 'user', content: prompt }], max_tokens: maxTokens }),
      },
    );
    const body = (await response.body.json()) as { engineMs?: number };
    const totalMs = performance.now() - startedAtMs;
    return { status: response.statusCode, totalMs, engineMs: body.engineMs ?? 0, headers: response.headers };
  }

  /** Sends a streamed chat completion and reads it to its end. */
  async stream(router: number, model: string, prompt: string, maxTokens: number): Promise<TimedAnswer> {
    const startedAtMs = performance.now();
    const response = await request(
      `${this.fleet.getOrThrow(`router-${router}`).entryUrl ?? ''}/v1/chat/completions`,
      {
        method: 'POST',
        dispatcher: this.client,
        headers: { authorization: `Bearer ${TOKEN}` },
        body: JSON.stringify({
          model,
          stream: true,
          messages: [{ role: 'user', content: prompt }],
          max_tokens: maxTokens,
        }),
      },
    );
    await response.body.dump({ limit: 10_000_000 });
    return {
      status: response.statusCode,
      totalMs: performance.now() - startedAtMs,
      engineMs: 0,
      headers: response.headers,
    };
  }

  /** Reads one number off a process's metrics; 0 when it is not there. */
  async metric(id: string, name: string): Promise<number> {
    const response = await request(`${this.fleet.getOrThrow(id).adminUrl}/metrics`, {
      headers: { authorization: `Bearer ${DEMO_ENVIRONMENT.MONSOONGLADE_ADMIN_TOKEN}` },
    });
    const text = await response.body.text();
    return Number(new RegExp(`^monsoonglade_${name} (.+)$`, 'm').exec(text)?.[1] ?? 0);
  }

  /** Reads the counters of the stand-in platform, and may change its faults. */
  async platform(change: object = {}): Promise<{ writeCount: number; callCount: number }> {
    const response = await request(`${this.platformUrl}/control`, {
      method: 'POST',
      body: JSON.stringify(change),
    });
    return (await response.body.json()) as { writeCount: number; callCount: number };
  }

  /** Writes an object of the platform that does not exist yet. */
  async put(path: string, value: object): Promise<void> {
    const response = await request(`${this.platformUrl}/objects/${path}`, {
      method: 'PUT',
      body: JSON.stringify({ value, ifVersion: 0 }),
    });
    await response.body.dump();
  }

  /** Resident memory of a process in bytes, as the system accounts for it. */
  residentBytes(id: string): number {
    const { pid } = this.fleet.getOrThrow(id).process;
    const shown = spawnSync('ps', ['-o', 'rss=', '-p', String(pid)], { encoding: 'utf8' });
    return Number(shown.stdout.trim()) * 1024;
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    await this.client.destroy();
    await this.fleet.stop();
    await Promise.all(this.standIns.map((standIn) => standIn.stop()));
  }

  private async startEngine(index: number, setup: FleetSetup): Promise<void> {
    const { memoryLoadMs, diskLoadMs, ...engine } = setup.engine;
    const url = await this.startStandIn('engine', {
      ...engine,
      loadMsByTier: { memory: memoryLoadMs, disk: diskLoadMs },
      weightStoreUrl: this.platformUrl,
      adapterLoadMs: 5,
      fencing: true,
      restartMs: 500,
    });
    const dataCentre = setup.dataCentres[index % setup.dataCentres.length] ?? '';
    await this.fleet.startAgent(`engine-${index + 1}`, dataCentre, 'engines', { kind: 'engine', url });
  }

  private async startStandIn(kind: string, options: object): Promise<string> {
    const started = await ChildProcess.start(kind, 'standins/main.js', [kind, JSON.stringify(options)]);
    this.standIns.push(started.process);
    return `http://127.0.0.1:${started.ready}`;
  }

  private async whenPlaced(setup: FleetSetup): Promise<void> {
    const modelCount = setup.services.reduce((sum, service) => sum + service.models.length, 0);
    for (let attempt = 0; attempt < 600; attempt++) {
      const response = await request(`${this.platformUrl}/list?prefix=state/placements/`);
      const listing = (await response.body.json()) as { objects: { value: { grants: unknown[] } }[] };
      if (listing.objects.filter((object) => object.value.grants.length > 0).length >= modelCount) {
        await new Promise((resolve) => setTimeout(resolve, 1_500));
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    throw new Error('The models were not placed in time.');
  }
}

/** A service of some equal models, for measuring. */
export function createService(
  service: string,
  modelCount: number,
  changes: Partial<ServiceConfiguration> = {},
): ServiceConfiguration {
  return {
    service,
    kind: 'model',
    pool: 'engines',
    organisations: ['measure'],
    models: Array.from({ length: modelCount }, (_, index) => ({
      name: `m${index}`,
      version: '1',
      weightBytes: 10,
      kvCacheBytes: 0,
      adapters: [],
    })),
    maxReplicas: 2,
    weighing: { coldStartSecond: 1, idleAcceleratorHour: 10 },
    requestClass: 'interactive',
    defaultDeadlineMs: 30_000,
    idempotent: true,
    ...changes,
  };
}
