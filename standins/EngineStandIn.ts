import type { IncomingMessage, ServerResponse } from 'node:http';
import { JsonHttp, sleep, type JsonReply } from './JsonHttp.js';

/** Prompt text that makes the engine crash. */
export const CRASH_MARK = 'CRASH-THE-ENGINE';

/** How an engine behaves. */
export interface EngineOptions {
  readonly capacityBytes: number;
  readonly slotCount: number;
  /** Time between two tokens, in milliseconds. */
  readonly tokenMs: number;
  readonly loadMsByTier: Readonly<Record<'memory' | 'disk', number>>;
  /** URL of the weight store; read when a checkpoint is on no nearer tier. */
  readonly weightStoreUrl: string;
  readonly adapterLoadMs: number;
  /** Whether orders with an old number are refused. */
  readonly fencing: boolean;
  /** Time that an engine is down after a crash, in milliseconds. */
  readonly restartMs: number;
}

interface EngineItem {
  sizeBytes: number;
  state: 'loading' | 'loaded' | 'unloading';
}

interface Order {
  readonly orderNumber: number;
  readonly kind: 'load' | 'unload' | 'fence';
  readonly itemId: string;
  readonly sizeBytes: number;
  readonly isAdapter: boolean;
}

/**
 * Gives the tokens that the stand-in answers to a prompt.
 * @param model - Model of the request.
 * @param prompt - The prompt.
 * @param tokenCount - Number of tokens.
 */
export function expectedTokens(model: string, prompt: string, tokenCount: number): string[] {
  const tokens: string[] = [];
  for (let ordinal = 0; ordinal < tokenCount; ordinal++) {
    tokens.push(`${ordinal === 0 ? `[${model}] ` : ' '}${prompt.slice(0, 40)}#${ordinal}`);
  }
  return tokens;
}

/** Stand-in for a model engine that batches a few sequences and holds a finite memory. */
export class EngineStandIn {
  readonly items = new Map<string, EngineItem>();
  /** Times that loaded and loading items exceeded the memory. */
  overcommitCount = 0;
  crashCount = 0;
  cancelledCount = 0;
  /** Salt that each prompt's cached prefix was to be kept under. */
  readonly saltByPrompt = new Map<string, string>();
  /** Attempts at generation, by prompt. */
  readonly runCountByPrompt = new Map<string, number>();
  frozen = false;
  private readonly http = new JsonHttp((request, url, body, response) =>
    this.handle(request, url, body, response),
  );
  private readonly diskCache = new Set<string>();
  private readonly memoryCache = new Set<string>();
  private lastOrderNumber = 0;
  private bootNumber = 1;
  private down = false;
  private running = 0;
  private port = 0;

  /** @param options - Behaviour. */
  constructor(private readonly options: EngineOptions) {}

  /** @param port - Port; 0 for a free one. */
  async start(port = 0): Promise<number> {
    this.port = await this.http.start(port);
    return this.port;
  }

  async stop(): Promise<void> {
    await this.http.stop();
  }

  /** @param itemId - Checkpoint that is on the local disk from the start. */
  cacheOnDisk(itemId: string): void {
    this.diskCache.add(itemId);
  }

  /** Loses all running sequences and everything loaded, and comes back after a while. */
  crash(): void {
    this.crashCount++;
    this.bootNumber++;
    this.items.clear();
    this.memoryCache.clear();
    this.running = 0;
    this.lastOrderNumber = 0;
    this.down = true;
    this.http.breakConnections();
    setTimeout(() => (this.down = false), this.options.restartMs);
  }

  private async handle(
    request: IncomingMessage,
    url: URL,
    body: string,
    response: ServerResponse,
  ): Promise<JsonReply | undefined> {
    if (this.down) {
      response.destroy();
      return undefined;
    }
    while (this.frozen && url.pathname !== '/control') {
      await sleep(20);
    }
    switch (url.pathname) {
      case '/state':
        return { status: 200, body: this.state() };
      case '/orders':
        return this.order(JSON.parse(body) as Order);
      case '/control':
        return this.control(JSON.parse(body) as { frozen?: boolean; crash?: boolean });
      default:
        return this.complete(
          JSON.parse(body) as CompletionRequest,
          String(request.headers['x-cache-salt']),
          response,
        );
    }
  }

  private state(): unknown {
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
      running: this.running,
    };
  }

  private async order(order: Order): Promise<JsonReply> {
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

  private async load(order: Order): Promise<JsonReply> {
    if (this.items.has(order.itemId)) {
      return { status: 200, body: { alreadyThere: true } };
    }
    const item: EngineItem = { sizeBytes: order.sizeBytes, state: 'loading' };
    this.items.set(order.itemId, item);
    if (this.committedBytes() > this.options.capacityBytes) {
      this.overcommitCount++;
    }
    const boot = this.bootNumber;
    await this.fetchWeights(order);
    if (boot !== this.bootNumber) {
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

  private async unload(order: Order): Promise<JsonReply> {
    if (this.items.delete(order.itemId)) {
      this.memoryCache.add(order.itemId);
    }
    return { status: 200, body: {} };
  }

  private committedBytes(): number {
    let total = 0;
    for (const item of this.items.values()) {
      total += item.sizeBytes;
    }
    return total;
  }

  private control(change: { frozen?: boolean; crash?: boolean }): JsonReply {
    this.frozen = change.frozen ?? this.frozen;
    if (change.crash) {
      this.crash();
    }
    return { status: 200, body: { crashCount: this.crashCount, overcommitCount: this.overcommitCount } };
  }

  private async complete(
    completion: CompletionRequest,
    salt: string,
    response: ServerResponse,
  ): Promise<JsonReply | undefined> {
    const prompt = completion.messages.map((message) => message.content).join('\n');
    if (this.items.get(completion.model)?.state !== 'loaded') {
      return { status: 404, body: { error: 'modelNotLoaded' } };
    }
    this.saltByPrompt.set(prompt, salt);
    this.runCountByPrompt.set(prompt, (this.runCountByPrompt.get(prompt) ?? 0) + 1);
    if (prompt.includes(CRASH_MARK)) {
      await sleep(this.options.tokenMs * 3);
      this.crash();
      return undefined;
    }
    const tokens = expectedTokens(completion.model, prompt, completion.max_tokens ?? 8);
    return completion.stream
      ? this.stream(completion, tokens, response)
      : this.answerWhole(completion, tokens);
  }

  private async answerWhole(completion: CompletionRequest, tokens: readonly string[]): Promise<JsonReply> {
    const startedAtMs = Date.now();
    for (const _token of tokens) {
      await this.nextToken();
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
    const boot = this.bootNumber;
    for (const token of tokens) {
      await this.nextToken();
      if (boot !== this.bootNumber) {
        return;
      }
      if (response.destroyed) {
        this.cancelledCount++;
        return;
      }
      response.write(toEvent(completion.model, { content: token }, null));
    }
    response.write(toEvent(completion.model, {}, 'stop'));
    response.end('data: [DONE]\n\n');
  }

  private async nextToken(): Promise<void> {
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
function toEvent(model: string, delta: unknown, finishReason: string | null): string {
  const choices = [{ index: 0, delta, finish_reason: finishReason }];
  return `data: ${JSON.stringify({ id: 'c', object: 'chat.completion.chunk', created: 0, model, choices })}\n\n`;
}
