import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { DEMO_ENVIRONMENT, DemoFleet } from '../../standins/DemoFleet.js';
import { EngineStandIn, type EngineOptions } from '../../standins/EngineStandIn.js';
import { OrderServiceStandIn } from '../../standins/OrderServiceStandIn.js';
import { PlatformStandIn } from '../../standins/PlatformStandIn.js';
import type { ServiceConfiguration } from '../../src/domain/index.js';

/** Bearer tokens of the two organisations in these tests. */
export const TOKENS = { mosquitero: 'mosquitero-demo-token', rimalia: 'rimalia-demo-token' };
const TOKEN_SHA256S = {
  mosquitero: '219e1b62aa2edae28d010f27ed4a3f866978662c076a67b4cd37f98b09293222',
  rimalia: '2242b19c157341b1775bad35bcdbdb511dacc7632a415dcbdb3551e5083f6c91',
};

/** Options for starting a system. */
export interface SystemOptions {
  readonly routerCount?: number;
  readonly engineCount?: number;
  readonly orderCount?: number;
  readonly engine?: Partial<EngineOptions>;
  readonly services?: readonly Partial<ServiceConfiguration>[];
  readonly orderMs?: number;
}

/** Complete response to a request of a caller. */
export interface CallerResponse {
  readonly status: number;
  readonly text: string;
  readonly headers: Headers;
}

/** Daemons that run as separate processes, and in-process stand-ins whose counters a test can read. */
export class TestSystem {
  readonly platform = new PlatformStandIn({ readMs: 50, readsPerSecond: 100, fullSpeedReads: 4 });
  readonly engines: EngineStandIn[] = [];
  readonly orders = new OrderServiceStandIn(20);
  fleet!: DemoFleet;
  platformUrl = '';

  /**
   * Starts a system and waits until its routers are configured and its models are placed.
   * @param options - Numbers of processes, and settings of engines and services.
   */
  static async start(options: SystemOptions = {}): Promise<TestSystem> {
    const system = new TestSystem();
    await system.startStandIns(options);
    await system.writeConfiguration(options.services ?? [{}]);
    const { engineCount = 2, orderCount = 0, routerCount = 2 } = options;
    const routers = Array.from({ length: routerCount }, (_, index) => `router-${index + 1}`);
    const ordersUrl = `http://127.0.0.1:${orderCount > 0 ? await system.orders.start() : 0}`;
    await Promise.all([
      ...routers.map((id) => system.fleet.startRouter(id, 'salto')),
      ...Array.from({ length: engineCount }, (_, index) => system.startEngine(index)),
      ...Array.from({ length: orderCount }, (_, index) =>
        system.fleet.startAgent(`orders-${index + 1}`, `dc-${index}`, 'orders', {
          kind: 'plain',
          url: ordersUrl,
        }),
      ),
    ]);
    await system.waitUntilConfigured(routers);
    return system;
  }

  /** Sends a request to the port of a router for callers and reads the complete response. */
  async request(
    router: string,
    path: string,
    init: RequestInit & { token?: string; onFirstChunk?: () => void } = {},
  ): Promise<CallerResponse> {
    const url = `${this.fleet.getOrThrow(router).entryUrl ?? ''}${path}`;
    const headers = new Headers(init.headers);
    headers.set('authorization', `Bearer ${init.token ?? TOKENS.mosquitero}`);
    const response = await fetch(url, { ...init, headers });
    const decoder = new TextDecoder();
    let text = '';
    for await (const chunk of response.body ?? []) {
      text += decoder.decode(chunk as Uint8Array, { stream: true });
      init.onFirstChunk?.();
    }
    return { status: response.status, text, headers: response.headers };
  }

  /** Sends a chat completion. */
  chat(router: string, prompt: string, extra: ChatExtra = {}): Promise<CallerResponse> {
    const { token, headers, onFirstChunk, ...fields } = extra;
    const body = JSON.stringify({
      model: 'quotes/base',
      messages: [{ role: 'user', content: prompt }],
      max_tokens: 5,
      ...fields,
    });
    return this.request(router, '/v1/chat/completions', {
      method: 'POST',
      body,
      headers,
      token,
      onFirstChunk,
    });
  }

  /** Sends a frame order, which is not idempotent. */
  sendOrder(
    router: string,
    reference: string,
    key: string | undefined,
    timeoutMs = 5_000,
  ): Promise<CallerResponse> {
    const headers: Record<string, string> = { 'request-timeout-ms': String(timeoutMs) };
    if (key !== undefined) {
      headers['idempotency-key'] = key;
    }
    return this.request(router, '/services/orders/make', {
      method: 'POST',
      body: JSON.stringify({ reference }),
      headers,
    });
  }

  /** Writes the configuration of a service to the platform, as `publish` does. */
  async configureService(service: Partial<ServiceConfiguration>): Promise<void> {
    const value = { ...DEFAULT_SERVICE, ...service };
    await this.writeObject(`state/services/${value.service}`, value);
  }

  /** Writes an object, replacing its current version. */
  async writeObject(path: string, value: unknown): Promise<void> {
    const ifVersion = this.platform.getObject(path)?.version ?? 0;
    await fetch(`${this.platformUrl}/objects/${path}`, {
      method: 'PUT',
      body: JSON.stringify({ value, ifVersion }),
    });
  }

  /** Reads the status of a process from its admin port. */
  async getStatus(id: string): Promise<Record<string, unknown>> {
    const response = await fetch(`${this.fleet.getOrThrow(id).adminUrl}/status`, {
      headers: { authorization: `Bearer ${DEMO_ENVIRONMENT.MONSOONGLADE_ADMIN_TOKEN}` },
    });
    return (await response.json()) as Record<string, unknown>;
  }

  /** Counts the engines that have a model loaded or are loading it. */
  countLoadedReplicas(modelId: string): number {
    return this.engines.filter((engine) => engine.items.has(modelId)).length;
  }

  /** Polls a condition until it holds; throws an error with the description after the timeout. */
  async waitUntil(
    description: string,
    condition: () => boolean | Promise<boolean>,
    timeoutMs = 10_000,
  ): Promise<void> {
    const deadlineMs = Date.now() + timeoutMs;
    while (!(await condition())) {
      if (Date.now() > deadlineMs) {
        throw new Error(`Condition not met in time: ${description}.`);
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** Runs the command-line tool. */
  runCli(
    args: readonly string[],
  ): Promise<{ readonly code: number; readonly out: string; readonly error: string }> {
    const script = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
    const env = { ...process.env, ...DEMO_ENVIRONMENT, MONSOONGLADE_PLATFORM_URL: this.platformUrl };
    const child = spawn(process.execPath, [script, ...args], { env, stdio: ['ignore', 'pipe', 'pipe'] });
    let out = '';
    let error = '';
    child.stdout.on('data', (chunk) => (out += String(chunk)));
    child.stderr.on('data', (chunk) => (error += String(chunk)));
    return new Promise((resolve) => child.on('close', (code) => resolve({ code: code ?? -1, out, error })));
  }

  /** Stops all daemons and stand-ins; resumes frozen engines first, so that their pending requests can end. */
  async stop(): Promise<void> {
    for (const engine of this.engines) {
      engine.frozen = false;
    }
    await this.fleet.stop();
    await Promise.all([this.platform.stop(), ...this.engines.map((engine) => engine.stop())]);
    await this.orders.stop().catch(() => undefined);
  }

  private async startStandIns(options: SystemOptions): Promise<void> {
    this.platformUrl = `http://127.0.0.1:${await this.platform.start()}`;
    this.fleet = await DemoFleet.create(this.platformUrl);
    for (let index = 0; index < (options.engineCount ?? 2); index++) {
      this.engines.push(
        new EngineStandIn({
          capacityBytes: 100,
          slotCount: 8,
          tokenMs: 5,
          loadMsByTier: { memory: 20, disk: 50 },
          weightStoreUrl: this.platformUrl,
          adapterLoadMs: 5,
          fencing: true,
          restartMs: 200,
          ...options.engine,
        }),
      );
    }
  }

  private async startEngine(index: number): Promise<void> {
    const port = await this.engines[index]!.start();
    const url = `http://127.0.0.1:${port}`;
    await this.fleet.startAgent(`engine-${index + 1}`, `dc-${index}`, 'engines', { kind: 'engine', url });
  }

  private async writeConfiguration(services: readonly Partial<ServiceConfiguration>[]): Promise<void> {
    for (const [organisation, tokenSha256] of Object.entries(TOKEN_SHA256S)) {
      await this.writeObject(`state/organisations/${organisation}`, {
        organisation,
        tokenSha256s: [tokenSha256],
      });
    }
    for (const service of services) {
      await this.configureService(service);
    }
  }

  /** Waits until every router accepts the tokens and every model has a usable replica. */
  private async waitUntilConfigured(routers: readonly string[]): Promise<void> {
    for (const router of routers) {
      await this.waitUntil(
        `${router} is configured`,
        async () => (await this.request(router, '/none')).status !== 401,
      );
    }
    await this.waitUntil('models are placed', async () => {
      const statuses = await Promise.all(routers.map((router) => this.getStatus(router)));
      const models = statuses.flatMap(
        (status) => status.models as { modelId: string; replicas: { usable: boolean }[] }[],
      );
      return models.length > 0 && models.every((model) => model.replicas.some((replica) => replica.usable));
    });
  }
}

/** Additional fields of a chat completion, and the headers and token of its request. */
export interface ChatExtra {
  readonly token?: string;
  readonly headers?: Record<string, string>;
  readonly model?: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly onFirstChunk?: () => void;
}

/** Service that is configured unless a test specifies other services. */
export const DEFAULT_SERVICE: ServiceConfiguration = {
  service: 'quotes',
  kind: 'model',
  pool: 'engines',
  organisations: ['mosquitero'],
  models: [
    {
      name: 'base',
      version: '1',
      weightBytes: 50,
      kvCacheBytes: 10,
      adapters: [{ name: 'salto', sizeBytes: 5 }],
    },
  ],
  maxReplicas: 2,
  weighing: { coldStartSecond: 1, idleAcceleratorHour: 1 },
  requestClass: 'interactive',
  defaultDeadlineMs: 10_000,
  idempotent: true,
};

/** Plain service whose requests are not idempotent and therefore not retried. */
export const ORDER_SERVICE: Partial<ServiceConfiguration> = {
  service: 'orders',
  kind: 'plain',
  pool: 'orders',
  models: [],
  idempotent: false,
};

/** Extracts the text of a streamed completion; undefined when the end marker is missing. */
export function parseStreamedText(text: string): string | undefined {
  if (!text.endsWith('data: [DONE]\n\n')) {
    return undefined;
  }
  const events = [...text.matchAll(/^data: (\{.*\})$/gm)].map(
    (match) => JSON.parse(match[1] ?? '{}') as { choices: { delta: { content?: string } }[] },
  );
  return events.map((event) => event.choices[0]?.delta.content ?? '').join('');
}
