import type { IncomingMessage, ServerResponse } from 'node:http';
import { JsonHttpServer, sleep, type JsonResponse } from './JsonHttpServer.js';

/** Prompt text that makes the engine crash. */
export const CRASH_PROMPT = 'CRASH-THE-ENGINE';

/** Options of an `EngineStandIn`. */
export interface EngineOptions {
  readonly capacityBytes: number;
  readonly slotCount: number;
  /** Time to generate one token, in milliseconds. */
  readonly tokenMs: number;
  readonly loadMsByTier: Readonly<Record<'memory' | 'disk', number>>;
  /** URL of the weight store, which is read for a checkpoint that is cached neither in memory nor on disk. */
  readonly weightStoreUrl: string;
  readonly adapterLoadMs: number;
  /** Whether orders whose number is not greater than the last order number are refused. */
  readonly fencing: boolean;
  /** Time for which the engine is unavailable after a crash, in milliseconds. */
  readonly restartMs: number;
}

/** Model checkpoint or adapter that occupies memory of the engine. */
interface EngineItem {
  sizeBytes: number;
  state: 'loading' | 'loaded' | 'unloading';
}

/** Body of an order. */
interface Order {
  readonly orderNumber: number;
  readonly kind: 'load' | 'unload' | 'fence';
  readonly itemId: string;
  readonly sizeBytes: number;
  readonly isAdapter: boolean;
}

/**
 * Returns the tokens that the stand-in generates for a prompt.
 * @param model - Model of the request.
 * @param prompt - Prompt of the request.
 * @param tokenCount - Number of tokens.
 */
export function getExpectedTokens(model: string, prompt: string, tokenCount: number): string[] {
  const tokens: string[] = [];
  for (let ordinal = 0; ordinal < tokenCount; ordinal++) {
    tokens.push(`${ordinal === 0 ? `[${model}] ` : ' '}${prompt.slice(0, 40)}#${ordinal}`);
  }
  return tokens;
}

/** Stand-in for a model engine that runs several sequences concurrently and has a limited memory. */
export class EngineStandIn {
  readonly items = new Map<string, EngineItem>();
  /** Number of loads at whose start the loaded and loading items together exceeded the capacity. */
  overcommitCount = 0;
  crashCount = 0;
  cancelledCount = 0;
  /** Cache salt that was received with each prompt. */
  readonly saltByPrompt = new Map<string, string>();
  /** Number of times that generation was started, by prompt. */
  readonly runCountByPrompt = new Map<string, number>();
  frozen = false;
  private readonly server = new JsonHttpServer((request, url, body, response) =>
    this.handleRequest(request, url, body, response),
  );
  private readonly diskCache = new Set<string>();
  private readonly memoryCache = new Set<string>();
  private lastOrderNumber = 0;
  private bootNumber = 1;
  private isDown = false;
  private runningCount = 0;
  private port = 0;

  /** @param options - Capacity, delays and features of the engine. */
  constructor(private readonly options: EngineOptions) {}

  /**
   * Starts the engine and returns its port.
   * @param port - Port to listen on; 0 selects a free one.
   */
  async start(port = 0): Promise<number> {
    this.port = await this.server.start(port);
    return this.port;
  }

  async stop(): Promise<void> {
    await this.server.stop();
  }

  /**
   * Marks a checkpoint as cached on the local disk.
   * @param itemId - Id of the checkpoint.
   */
  cacheOnDisk(itemId: string): void {
    this.diskCache.add(itemId);
  }

  /** Aborts all running sequences, clears the memory and restarts after `restartMs`; the disk cache is kept. */
  crash(): void {
    this.crashCount++;
    this.bootNumber++;
    this.items.clear();
    this.memoryCache.clear();
    this.runningCount = 0;
    this.lastOrderNumber = 0;
    this.isDown = true;
    this.server.closeConnections();
    setTimeout(() => (this.isDown = false), this.options.restartMs);
  }

  private async handleRequest(
    request: IncomingMessage,
    url: URL,
    body: string,
    response: ServerResponse,
  ): Promise<JsonResponse | undefined> {
    if (this.isDown) {
      response.destroy();
      return undefined;
    }
    while (this.frozen && url.pathname !== '/control') {
      await sleep(20);
    }
    switch (url.pathname) {
      case '/state':
        return { status: 200, body: this.getState() };
      case '/orders':
        return this.executeOrder(JSON.parse(body) as Order);
      case '/control':
        return this.applyControl(JSON.parse(body) as { frozen?: boolean; crash?: boolean });
      default:
        return this.handleCompletion(
          JSON.parse(body) as CompletionRequest,
          String(request.headers['x-cache-salt']),
          response,
        );
    }
  }

  private getState(): unknown {
    const items: unknown[] = [];
    for (const [itemId, item] of this.items) {
      items.push({ itemId, sizeBytes: item.sizeBytes, state: item.state });
    }
    return {
      bootId: `boot-${this.port}-${this.bootNumber}`,
      capacityBytes: this.options.capacityBytes,
      slotCount: this.options.slotCount,
      fencing: this.options.fencing,
      lastOrderNumber: this.lastOrderNumber,
      items,
      memoryCached: [...this.memoryCache],
      diskCached: [...this.diskCache],
      running: this.runningCount,
    };
  }

  private async executeOrder(order: Order): Promise<JsonResponse> {
    if (this.options.fencing && order.orderNumber <= this.lastOrderNumber) {
      return { status: 409, body: { error: 'staleOrder', lastOrderNumber: this.lastOrderNumber } };
    }
    this.lastOrderNumber = Math.max(this.lastOrderNumber, order.orderNumber);
    switch (order.kind) {
      case 'load':
        return this.load(order);
      case 'unload':
        return this.unload(order);
      case 'fence':
        return { status: 200, body: {} };
    }
  }

  private async load(order: Order): Promise<JsonResponse> {
    if (this.items.has(order.itemId)) {
      return { status: 200, body: { alreadyThere: true } };
    }
    const item: EngineItem = { sizeBytes: order.sizeBytes, state: 'loading' };
    this.items.set(order.itemId, item);
    if (this.sumItemBytes() > this.options.capacityBytes) {
      this.overcommitCount++;
    }
    const bootNumber = this.bootNumber;
    await this.fetchWeights(order);
    if (bootNumber !== this.bootNumber) {
      return { status: 500, body: { error: 'crashed' } };
    }
    item.state = 'loaded';
    this.diskCache.add(order.itemId);
    return { status: 200, body: {} };
  }

  private async fetchWeights(order: Order): Promise<void> {
    if (order.isAdapter) {
      await sleep(this.options.adapterLoadMs);
      return;
    }
    if (this.memoryCache.has(order.itemId)) {
      await sleep(this.options.loadMsByTier.memory);
      return;
    }
    if (!this.diskCache.has(order.itemId)) {
      await fetch(`${this.options.weightStoreUrl}/weights`, { method: 'POST', body: '{}' });
    }
    await sleep(this.options.loadMsByTier.disk);
  }

  private async unload(order: Order): Promise<JsonResponse> {
    if (this.items.delete(order.itemId)) {
      this.memoryCache.add(order.itemId);
    }
    return { status: 200, body: {} };
  }

  private sumItemBytes(): number {
    let total = 0;
    for (const item of this.items.values()) {
      total += item.sizeBytes;
    }
    return total;
  }

  private applyControl(controlRequest: { frozen?: boolean; crash?: boolean }): JsonResponse {
    this.frozen = controlRequest.frozen ?? this.frozen;
    if (controlRequest.crash) {
      this.crash();
    }
    return { status: 200, body: { crashCount: this.crashCount, overcommitCount: this.overcommitCount } };
  }

  private async handleCompletion(
    completion: CompletionRequest,
    salt: string,
    response: ServerResponse,
  ): Promise<JsonResponse | undefined> {
    const prompt = completion.messages.map((message) => message.content).join('\n');
    if (this.items.get(completion.model)?.state !== 'loaded') {
      return { status: 404, body: { error: 'modelNotLoaded' } };
    }
    this.saltByPrompt.set(prompt, salt);
    this.runCountByPrompt.set(prompt, (this.runCountByPrompt.get(prompt) ?? 0) + 1);
    if (prompt.includes(CRASH_PROMPT)) {
      await sleep(this.options.tokenMs * 3);
      this.crash();
      return undefined;
    }
    const tokens = getExpectedTokens(completion.model, prompt, completion.max_tokens ?? 8);
    return completion.stream
      ? this.stream(completion, tokens, response)
      : this.completeUnstreamed(completion, tokens);
  }

  private async completeUnstreamed(
    completion: CompletionRequest,
    tokens: readonly string[],
  ): Promise<JsonResponse> {
    const startedAtMs = Date.now();
    for (const _token of tokens) {
      await this.waitForToken();
    }
    const engineMs = Date.now() - startedAtMs;
    const message = { role: 'assistant', content: tokens.join('') };
    const usage = { prompt_tokens: 1, completion_tokens: tokens.length, total_tokens: tokens.length + 1 };
    const choices = [{ index: 0, message, finish_reason: 'stop' }];
    return {
      status: 200,
      body: {
        id: 'c',
        object: 'chat.completion',
        created: 0,
        model: completion.model,
        choices,
        usage,
        engineMs,
      },
    };
  }

  private async stream(
    completion: CompletionRequest,
    tokens: readonly string[],
    response: ServerResponse,
  ): Promise<undefined> {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const bootNumber = this.bootNumber;
    for (const token of tokens) {
      await this.waitForToken();
      if (bootNumber !== this.bootNumber) {
        return;
      }
      if (response.destroyed) {
        this.cancelledCount++;
        return;
      }
      response.write(formatEvent(completion.model, { content: token }, null));
    }
    response.write(formatEvent(completion.model, {}, 'stop'));
    response.end('data: [DONE]\n\n');
  }

  private async waitForToken(): Promise<void> {
    await sleep(this.options.tokenMs);
    while (this.frozen) {
      await sleep(20);
    }
  }
}

/** Body of a completion request. */
interface CompletionRequest {
  readonly model: string;
  readonly messages: readonly { readonly content: string }[];
  readonly stream?: boolean;
  readonly max_tokens?: number;
}

/** Formats one server-sent event of a streamed completion. */
function formatEvent(model: string, delta: unknown, finishReason: string | null): string {
  const choices = [{ index: 0, delta, finish_reason: finishReason }];
  return `data: ${JSON.stringify({ id: 'c', object: 'chat.completion.chunk', created: 0, model, choices })}\n\n`;
}
