import { spawnSync } from 'node:child_process';
import { Agent, request } from 'undici';
import type { ServiceConfiguration } from '../src/domain/index.js';
import { ChildProcess } from '../standins/ChildProcess.js';
import { DEMO_ENVIRONMENT, DemoFleet } from '../standins/DemoFleet.js';

const TOKEN = 'measure-token';
/** SHA-256 of `TOKEN` in hexadecimal. */
const TOKEN_SHA256 = '7ff0894860117c1372b0875a77d41c27e670f86e866c99e3c2b7d3802886476f';

/** Options of each engine stand-in of the fleet. */
export interface EngineOptions {
  readonly capacityBytes: number;
  readonly slotCount: number;
  readonly tokenMs: number;
  readonly memoryLoadMs: number;
  readonly diskLoadMs: number;
}

/** Size, engines and services of a `MeasuredFleet`. */
export interface FleetOptions {
  readonly routerCount: number;
  readonly engineCount: number;
  readonly dataCentres: readonly string[];
  readonly engine: EngineOptions;
  readonly weightStore: {
    readonly readMs: number;
    readonly readsPerSecond: number;
    readonly fullSpeedReads: number;
  };
  readonly services: readonly ServiceConfiguration[];
}

/** Response to a measured request. */
export interface TimedResponse {
  readonly status: number;
  readonly totalMs: number;
  /** Generation time that the engine reported, in milliseconds; 0 if it reported none. */
  readonly engineMs: number;
  readonly headers: Record<string, string | string[] | undefined>;
}

/** Fleet of routers, agents and stand-ins, each in a separate process, with an HTTP client that measures requests. */
export class MeasuredFleet {
  private readonly standInProcesses: ChildProcess[] = [];
  private readonly client = new Agent({
    connections: 2_000,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private fleet!: DemoFleet;
  private platformUrl = '';

  /**
   * Starts the processes and waits until every model has a grant.
   * @param options - Size, engines and services of the fleet.
   */
  static async start(options: FleetOptions): Promise<MeasuredFleet> {
    const measuredFleet = new MeasuredFleet();
    measuredFleet.platformUrl = await measuredFleet.startStandIn('platform', options.weightStore);
    measuredFleet.fleet = await DemoFleet.create(measuredFleet.platformUrl);
    await measuredFleet.createObject('state/organisations/measure', {
      organisation: 'measure',
      tokenSha256s: [TOKEN_SHA256],
    });
    for (const service of options.services) {
      await measuredFleet.createObject(`state/services/${service.service}`, service);
    }
    const { readsPerSecond, fullSpeedReads } = options.weightStore;
    for (let index = 0; index < options.engineCount; index++) {
      await measuredFleet.startEngine(index, options);
    }
    for (let index = 0; index < options.routerCount; index++) {
      const dataCentre = options.dataCentres[index % options.dataCentres.length] ?? '';
      await measuredFleet.fleet.startRouter(`router-${index + 1}`, dataCentre, {
        weightStore: { loadsPerSecond: readsPerSecond, concurrentLoads: fullSpeedReads },
      });
    }
    await measuredFleet.waitUntilPlaced(options);
    return measuredFleet;
  }

  /** Sends a chat completion that is not streamed, and measures its duration. */
  async chat(
    router: number,
    model: string,
    prompt: string,
    maxTokens: number,
    timeoutMs = 30_000,
  ): Promise<TimedResponse> {
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

  /** Sends a streamed chat completion, reads the response to its end, and measures its duration. */
  async streamChat(router: number, model: string, prompt: string, maxTokens: number): Promise<TimedResponse> {
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

  /** Reads one metric of a router or agent; 0 if the metric is absent. */
  async readMetric(id: string, name: string): Promise<number> {
    const response = await request(`${this.fleet.getOrThrow(id).adminUrl}/metrics`, {
      headers: { authorization: `Bearer ${DEMO_ENVIRONMENT.MONSOONGLADE_ADMIN_TOKEN}` },
    });
    const text = await response.body.text();
    return Number(new RegExp(`^monsoonglade_${name} (.+)$`, 'm').exec(text)?.[1] ?? 0);
  }

  /** Applies a control request to the stand-in platform and returns the platform's counters. */
  async controlPlatform(controlRequest: object = {}): Promise<{ writeCount: number; callCount: number }> {
    const response = await request(`${this.platformUrl}/control`, {
      method: 'POST',
      body: JSON.stringify(controlRequest),
    });
    return (await response.body.json()) as { writeCount: number; callCount: number };
  }

  /** Creates an object of the platform. */
  async createObject(path: string, value: object): Promise<void> {
    const response = await request(`${this.platformUrl}/objects/${path}`, {
      method: 'PUT',
      body: JSON.stringify({ value, ifVersion: 0 }),
    });
    await response.body.dump();
  }

  /** Reads the resident set size of a process from `ps`, in bytes. */
  readResidentBytes(id: string): number {
    const { pid } = this.fleet.getOrThrow(id).process;
    const psResult = spawnSync('ps', ['-o', 'rss=', '-p', String(pid)], { encoding: 'utf8' });
    return Number(psResult.stdout.trim()) * 1024;
  }

  /** Closes the client and stops all processes. */
  async stop(): Promise<void> {
    await this.client.destroy();
    await this.fleet.stop();
    await Promise.all(this.standInProcesses.map((standIn) => standIn.stop()));
  }

  private async startEngine(index: number, options: FleetOptions): Promise<void> {
    const { memoryLoadMs, diskLoadMs, ...engine } = options.engine;
    const url = await this.startStandIn('engine', {
      ...engine,
      loadMsByTier: { memory: memoryLoadMs, disk: diskLoadMs },
      weightStoreUrl: this.platformUrl,
      adapterLoadMs: 5,
      fencing: true,
      restartMs: 500,
    });
    const dataCentre = options.dataCentres[index % options.dataCentres.length] ?? '';
    await this.fleet.startAgent(`engine-${index + 1}`, dataCentre, 'engines', { kind: 'engine', url });
  }

  private async startStandIn(kind: string, options: object): Promise<string> {
    const started = await ChildProcess.start(kind, 'standins/main.js', [kind, JSON.stringify(options)]);
    this.standInProcesses.push(started.process);
    return `http://127.0.0.1:${started.ready}`;
  }

  private async waitUntilPlaced(options: FleetOptions): Promise<void> {
    const modelCount = options.services.reduce((sum, service) => sum + service.models.length, 0);
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

/**
 * Creates the configuration of a service with identical models.
 * @param service - Name of the service.
 * @param modelCount - Number of models, named `m0`, `m1` and so on.
 * @param overrides - Fields that replace the defaults.
 */
export function createService(
  service: string,
  modelCount: number,
  overrides: Partial<ServiceConfiguration> = {},
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
    ...overrides,
  };
}
