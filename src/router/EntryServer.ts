import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { ChunkCollector, delay, type ByteBudget, type Service } from '../kernel/index.js';
import {
  RefusedError,
  toRequestId,
  type Refusal,
  type OrganisationConfiguration,
  type RequestId,
} from '../domain/index.js';
import {
  pollSockets,
  PortListener,
  type ListenAddress,
  type PortListenerDependencies,
} from '../transport/index.js';
import type { AttemptClient } from './AttemptClient.js';
import type { Authenticator } from './Authenticator.js';
import type { BudgetReservation, BudgetService } from './BudgetService.js';
import { ResponseWriter } from './ResponseWriter.js';
import type { OwnerClient } from './OwnerClient.js';
import { RequestHandler, type RequestResult } from './RequestHandler.js';
import {
  createRefusedError,
  type IncomingRequest,
  type ParsedRequest,
  type RequestParser,
} from './RequestParser.js';
import { RetryBudget } from './decisions/index.js';

/** Maximum size of a request body, in bytes. */
const MAX_BODY_BYTES = 1024 * 1024;
/** Size up to which a body may take the part of the budget that larger ones leave free, in bytes. */
const SMALL_BODY_BYTES = 64 * 1024;
/** Part of the budget that only small bodies may take, in bytes. */
const SMALL_BODIES_RESERVE_BYTES = 8 * 1024 * 1024;
/** Retry delay sent to a caller whose body found no room, in milliseconds. */
const NO_ROOM_RETRY_AFTER_MS = 1_000;
/**
 * Idle timeout of a connection, in milliseconds; longer than the load balancer's, so that the balancer closes first.
 */
const KEEP_ALIVE_MS = 75_000;
/**
 * Time for which a stopping router still accepts connections, until the load balancer has detected the stop, in
 * milliseconds.
 */
const STOP_GRACE_MS = 1_000;
/** Time for which a stopping router waits for callers that read their responses slowly, in milliseconds. */
const MAX_WRITE_MS = 10_000;
/** Interval at which a stopping router checks whether they have, in milliseconds. */
const STOP_POLL_MS = 50;
/** Retry delay sent to a caller whose budget is exhausted, in milliseconds. */
const BUDGET_RETRY_AFTER_MS = 600_000;

/** Dependencies of EntryServer. */
export interface EntryServerDependencies extends PortListenerDependencies {
  readonly address: ListenAddress;
  readonly incarnation: string;
  readonly authenticator: Authenticator;
  readonly parser: RequestParser;
  readonly budgets: BudgetService;
  /** Memory for the bodies of all requests together, each until its request has ended. */
  readonly bodyBudget: ByteBudget;
  readonly owners: OwnerClient;
  readonly attempts: AttemptClient;
}

/** HTTP server for callers' requests. */
export class EntryServer implements Service {
  private readonly http: Server;
  private readonly listener: PortListener;
  private readonly retryBudgets = new Map<string, RetryBudget>();
  private readonly idleListeners: (() => void)[] = [];
  private readonly openResponses = new Set<ServerResponse>();
  private nextRequestNumber = 1;
  private activeCount = 0;
  private stopping = false;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: EntryServerDependencies) {
    this.http = createServer((request, response) => void this.onRequest(request, response));
    this.http.keepAliveTimeout = KEEP_ALIVE_MS;
    this.listener = new PortListener(this.http, deps.address, 'entry', { ...deps, failsIfTaken: true });
    deps.metrics.gauge('entry_live_requests', () => this.activeCount);
  }

  /** Whether the load balancer should route callers to this router. */
  get isReady(): boolean {
    return !this.stopping;
  }

  async start(): Promise<void> {
    await this.listener.start();
  }

  /**
   * Waits until the load balancer has detected the stop, closes the listener and resolves when all requests have ended.
   */
  async stop(): Promise<void> {
    this.stopping = true;
    await delay(this.deps.clock, STOP_GRACE_MS);
    // Closing the server also closes connections whose response has ended but is not written yet.
    await this.waitForWrites();
    await pollSockets();
    const closed = new Promise((resolve) => this.http.close(resolve));
    while (this.activeCount > 0) {
      await new Promise<void>((resolve) => this.idleListeners.push(resolve));
    }
    await this.waitForWrites();
    this.http.closeAllConnections();
    await closed;
  }

  /** Waits until callers have read the responses that have ended. */
  private async waitForWrites(): Promise<void> {
    const { clock } = this.deps;
    const endsAtMs = clock.nowMs() + MAX_WRITE_MS;
    while (this.hasUnwrittenResponse && clock.nowMs() < endsAtMs) {
      await delay(clock, STOP_POLL_MS);
    }
  }

  private get hasUnwrittenResponse(): boolean {
    for (const response of this.openResponses) {
      if (response.writableEnded && !response.writableFinished) {
        return true;
      }
    }
    return false;
  }

  private async onRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.activeCount++;
    this.openResponses.add(response);
    response.once('close', () => this.openResponses.delete(response));
    const requestId = toRequestId(`${this.deps.incarnation}-${this.nextRequestNumber++}`);
    const receivedAtMs = this.deps.clock.nowMs();
    const writer = new ResponseWriter(response, requestId);
    if (this.stopping) {
      response.setHeader('connection', 'close');
    }
    const body = new BodyReader(request, this.deps.bodyBudget);
    try {
      await this.handleRequest(request, response, requestId, writer, body);
    } catch (error) {
      const refusal = error instanceof RefusedError ? error.refusal : toInternalRefusal();
      this.deps.metrics.count(`entry_refused_${refusal.reason}`);
      this.refuse(writer, response, refusal);
    }
    body.release();
    this.deps.metrics.recordMs('entry_total_ms', this.deps.clock.nowMs() - receivedAtMs);
    this.activeCount--;
    if (this.activeCount === 0) {
      for (const listener of this.idleListeners.splice(0)) {
        listener();
      }
    }
  }

  /** Sends a refusal, or closes the connection if the response has begun already and can't be refused any more. */
  private refuse(writer: ResponseWriter, response: ServerResponse, refusal: Refusal): void {
    try {
      writer.refuse(refusal);
    } catch (error) {
      this.deps.log.backgroundError(error, 'refusal of a request');
      response.destroy();
    }
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: RequestId,
    writer: ResponseWriter,
    body: BodyReader,
  ): Promise<void> {
    const receivedAtMs = this.deps.clock.nowMs();
    const organisation = this.deps.authenticator.getOrganisation(request.headers.authorization);
    if (!organisation) {
      throw createRefusedError(
        'unauthenticated',
        'The Authorization header must be "Bearer" and a token of an organisation.',
      );
    }
    if (request.method === 'GET' && request.url === '/v1/models') {
      sendModels(response, this.deps.parser.listModels(organisation));
      return;
    }
    const incoming: IncomingRequest = {
      requestId,
      method: request.method ?? 'GET',
      url: request.url ?? '/',
      headers: request.headers,
      body: await body.read(),
      receivedAtMs,
    };
    const parsed = this.parse(incoming, organisation);
    const reservation = await this.deps.budgets.reserve(organisation, parsed.maxTokens);
    if (!reservation) {
      throw createRefusedError(
        'budgetExhausted',
        'The budget of the organisation does not reach.',
        BUDGET_RETRY_AFTER_MS,
      );
    }
    const result = await this.run(parsed, response, writer);
    settleBudget(reservation, result, parsed);
    this.writeResult(result, writer);
  }

  private parse(incoming: IncomingRequest, organisation: OrganisationConfiguration): ParsedRequest {
    const path = incoming.url.split('?')[0] ?? '/';
    if (path === '/v1/chat/completions' && incoming.method === 'POST') {
      return this.deps.parser.parseCompletion(incoming, organisation);
    }
    if (path.startsWith('/services/')) {
      return this.deps.parser.parsePlain(incoming, organisation);
    }
    const detail = `${incoming.method} ${path} is not served; allowed are POST /v1/chat/completions, GET /v1/models and /services/NAME/...`;
    throw createRefusedError('unknownService', detail);
  }

  private async run(
    parsed: ParsedRequest,
    response: ServerResponse,
    writer: ResponseWriter,
  ): Promise<RequestResult> {
    const { clock, owners, attempts, metrics } = this.deps;
    const retryBudget = this.getRetryBudget(parsed.request.serviceId);
    const handler = new RequestHandler(
      { clock, owners, attempts, metrics, retryBudget },
      parsed.request,
      parsed.extras,
      writer,
    );
    response.on('close', () => {
      if (!response.writableFinished) {
        handler.onCallerDisconnected();
      }
    });
    return handler.run();
  }

  private writeResult(result: RequestResult, writer: ResponseWriter): void {
    switch (result.kind) {
      case 'complete':
        this.deps.metrics.count('entry_completed');
        writer.complete(result.timing);
        return;
      case 'recorded':
        this.deps.metrics.count('entry_replayed');
        writer.replay(result.outcome);
        return;
      case 'refused':
        this.deps.metrics.count(`entry_refused_${result.refusal.reason}`);
        writer.refuse(result.refusal);
        return;
    }
  }

  private getRetryBudget(serviceId: string): RetryBudget {
    const budget = this.retryBudgets.get(serviceId) ?? new RetryBudget();
    this.retryBudgets.set(serviceId, budget);
    return budget;
  }
}

/** Sends the list of models in the OpenAI format. */
function sendModels(response: ServerResponse, names: readonly string[]): void {
  const data = names.map((id) => ({ id, object: 'model', created: 0, owned_by: 'monsoonglade' }));
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ object: 'list', data }));
}

/** Reads a request's body, which takes its size from a budget until it is released. */
class BodyReader {
  private takenBytes = 0;

  /**
   * @param request - The request.
   * @param budget - Memory for all bodies together.
   */
  constructor(
    private readonly request: IncomingMessage,
    private readonly budget: ByteBudget,
  ) {}

  /** Reads the body; refuses one over the size limit and one that finds no room, whose rest is dropped as it arrives. */
  async read(): Promise<string> {
    const chunks = new ChunkCollector();
    try {
      // The connection stays open for the refusal.
      for await (const chunk of this.request.iterator({ destroyOnReturn: false })) {
        this.take((chunk as Buffer).length);
        chunks.push(chunk as Buffer);
      }
    } catch (error) {
      this.request.resume();
      throw error;
    }
    return chunks.take().toString('utf8');
  }

  /** Returns what the body has taken of the budget. */
  release(): void {
    this.budget.release(this.takenBytes);
    this.takenBytes = 0;
  }

  private take(byteCount: number): void {
    const totalBytes = this.takenBytes + byteCount;
    if (totalBytes > MAX_BODY_BYTES) {
      throw createRefusedError('bodyTooLarge', `The body exceeds the limit of ${MAX_BODY_BYTES} bytes.`);
    }
    const reservedBytes = totalBytes > SMALL_BODY_BYTES ? SMALL_BODIES_RESERVE_BYTES : 0;
    if (!this.budget.tryTake(byteCount, reservedBytes)) {
      throw createRefusedError(
        'overloaded',
        'The bodies of all requests together leave no room for this one.',
        NO_ROOM_RETRY_AFTER_MS,
      );
    }
    this.takenBytes = totalBytes;
  }
}

/** Refunds unspent tokens; a request that may have run is charged in full. */
function settleBudget(reservation: BudgetReservation, result: RequestResult, parsed: ParsedRequest): void {
  switch (result.kind) {
    case 'complete':
      reservation.settle(
        result.tokenCount > 0 ? Math.min(result.tokenCount, parsed.maxTokens) : parsed.maxTokens,
      );
      return;
    case 'recorded':
      reservation.settle(0);
      return;
    case 'refused':
      reservation.settle(result.refusal.verdict === 'didNotRun' ? 0 : parsed.maxTokens);
      return;
  }
}

/**
 * Creates the refusal for an internal error; the verdict is `mayHaveRun`, since the request may have been sent before
 * it.
 */
function toInternalRefusal(): RefusedError['refusal'] {
  return { reason: 'serverFailed', detail: 'The router failed.', verdict: 'mayHaveRun', retryAfterMs: 1_000 };
}
