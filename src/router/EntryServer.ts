import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { delay, type Clock, type Service } from '../kernel/index.js';
import {
  RefusedError,
  toRequestId,
  type OrganisationConfiguration,
  type RequestId,
} from '../domain/index.js';
import type { Metrics } from '../telemetry/index.js';
import { listenOrThrow, type ListenAddress } from '../transport/index.js';
import type { AttemptClient } from './AttemptClient.js';
import type { Authenticator } from './Authenticator.js';
import type { BudgetReservation, BudgetService } from './BudgetService.js';
import { ResponseWriter } from './ResponseWriter.js';
import type { OwnerClient } from './OwnerClient.js';
import { RequestHandler, type RequestResult } from './RequestHandler.js';
import { refused, type IncomingCall, type ParsedRequest, type RequestParser } from './RequestParser.js';
import { RetryBudget } from './decisions/index.js';

/** Largest body of a caller's request, in bytes. */
const MAX_BODY_BYTES = 1024 * 1024;
/** Time that an idle connection stays open; longer than a balancer keeps one, which so closes first, in milliseconds. */
const KEEP_ALIVE_MS = 75_000;
/** Time for which a stopping router still answers new callers, until the balancer has noticed, in milliseconds. */
const STOP_GRACE_MS = 1_000;
/** Time after which a caller whose budget is exhausted should come back, in milliseconds. */
const BUDGET_RETRY_AFTER_MS = 600_000;

/** What the entry is made of. */
export interface EntryServerDependencies {
  readonly address: ListenAddress;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly authenticator: Authenticator;
  readonly parser: RequestParser;
  readonly budgets: BudgetService;
  readonly owners: OwnerClient;
  readonly attempts: AttemptClient;
  readonly metrics: Metrics;
}

/** Answers callers over HTTP. */
export class EntryServer implements Service {
  private readonly http: Server;
  private readonly retryBudgets = new Map<string, RetryBudget>();
  private readonly idleListeners: (() => void)[] = [];
  private nextRequestNumber = 1;
  private liveCount = 0;
  private stopping = false;

  /** @param deps - What the entry is made of. */
  constructor(private readonly deps: EntryServerDependencies) {
    this.http = createServer((request, response) => void this.serve(request, response));
    this.http.keepAliveTimeout = KEEP_ALIVE_MS;
    deps.metrics.gauge('entry_live_requests', () => this.liveCount);
  }

  /** Whether the balancer should send callers here. */
  get isReady(): boolean {
    return !this.stopping;
  }

  async start(): Promise<void> {
    await listenOrThrow(this.http, this.deps.address, 'entry');
  }

  /** Lets the balancer notice, takes no more connections, and ends when every request has its answer. */
  async stop(): Promise<void> {
    this.stopping = true;
    await delay(this.deps.clock, STOP_GRACE_MS);
    const closed = new Promise((resolve) => this.http.close(resolve));
    while (this.liveCount > 0) {
      await new Promise<void>((resolve) => this.idleListeners.push(resolve));
    }
    this.http.closeIdleConnections();
    this.http.closeAllConnections();
    await closed;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.liveCount++;
    const requestId = toRequestId(`${this.deps.incarnation}-${this.nextRequestNumber++}`);
    const receivedAtMs = this.deps.clock.nowMs();
    const answer = new ResponseWriter(response, requestId);
    if (this.stopping) {
      response.setHeader('connection', 'close');
    }
    try {
      await this.answer(request, response, requestId, answer);
    } catch (error) {
      const refusal = error instanceof RefusedError ? error.refusal : toInternalRefusal();
      this.deps.metrics.count(`entry_refused_${refusal.reason}`);
      answer.refuse(refusal);
    }
    this.deps.metrics.recordMs('entry_total_ms', this.deps.clock.nowMs() - receivedAtMs);
    this.liveCount--;
    if (this.liveCount === 0) {
      for (const listener of this.idleListeners.splice(0)) {
        listener();
      }
    }
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: RequestId,
    answer: ResponseWriter,
  ): Promise<void> {
    const receivedAtMs = this.deps.clock.nowMs();
    const organisation = this.deps.authenticator.getOrganisation(request.headers.authorization);
    if (!organisation) {
      throw refused(
        'unauthenticated',
        'The Authorization header must be "Bearer" and a token of an organisation.',
      );
    }
    if (request.method === 'GET' && request.url === '/v1/models') {
      sendModels(response, this.deps.parser.listModels(organisation));
      return;
    }
    const call: IncomingCall = {
      requestId,
      method: request.method ?? 'GET',
      url: request.url ?? '/',
      headers: request.headers,
      body: await readBody(request),
      receivedAtMs,
    };
    const parsed = this.parse(call, organisation);
    const reservation = await this.deps.budgets.reserve(organisation, parsed.maxTokens);
    if (!reservation) {
      throw refused(
        'budgetExhausted',
        'The budget of the organisation does not reach.',
        BUDGET_RETRY_AFTER_MS,
      );
    }
    const result = await this.run(parsed, response, answer);
    settleBudget(reservation, result, parsed);
    this.write(result, answer);
  }

  private parse(call: IncomingCall, organisation: OrganisationConfiguration): ParsedRequest {
    const path = call.url.split('?')[0] ?? '/';
    if (path === '/v1/chat/completions' && call.method === 'POST') {
      return this.deps.parser.parseCompletion(call, organisation);
    }
    if (path.startsWith('/services/')) {
      return this.deps.parser.parsePlain(call, organisation);
    }
    const detail = `${call.method} ${path} is not served; allowed are POST /v1/chat/completions, GET /v1/models and /services/NAME/...`;
    throw refused('unknownService', detail);
  }

  private async run(
    parsed: ParsedRequest,
    response: ServerResponse,
    answer: ResponseWriter,
  ): Promise<RequestResult> {
    const { clock, owners: homes, attempts, metrics } = this.deps;
    const retryBudget = this.retryBudgetOf(parsed.request.serviceId);
    const flow = new RequestHandler(
      { clock, owners: homes, attempts, metrics, retryBudget },
      parsed.request,
      parsed.extras,
      answer,
    );
    response.on('close', () => {
      if (!response.writableFinished) {
        flow.callerLeft();
      }
    });
    return flow.run();
  }

  private write(result: RequestResult, answer: ResponseWriter): void {
    switch (result.kind) {
      case 'complete':
        this.deps.metrics.count('entry_completed');
        answer.complete(result.timing);
        return;
      case 'recorded':
        this.deps.metrics.count('entry_replayed');
        answer.repeat(result.outcome);
        return;
      case 'refused':
        this.deps.metrics.count(`entry_refused_${result.refusal.reason}`);
        answer.refuse(result.refusal);
        return;
    }
  }

  private retryBudgetOf(serviceId: string): RetryBudget {
    const budget = this.retryBudgets.get(serviceId) ?? new RetryBudget();
    this.retryBudgets.set(serviceId, budget);
    return budget;
  }
}

/** Answers a list of models in the shape that clients of chat completions read. */
function sendModels(response: ServerResponse, names: readonly string[]): void {
  const data = names.map((id) => ({ id, object: 'model', created: 0, owned_by: 'monsoonglade' }));
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ object: 'list', data }));
}

/** Reads a body up to the limit. */
async function readBody(request: IncomingMessage): Promise<string> {
  const pieces: Buffer[] = [];
  let sizeBytes = 0;
  for await (const piece of request) {
    sizeBytes += (piece as Buffer).length;
    if (sizeBytes > MAX_BODY_BYTES) {
      throw refused('bodyTooLarge', `The body exceeds the limit of ${MAX_BODY_BYTES} bytes.`);
    }
    pieces.push(piece as Buffer);
  }
  return Buffer.concat(pieces).toString('utf8');
}

/** Gives back what a request did not spend; one that may have run counts in full. */
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

/** Refusal for a fault of the router itself, at a moment that is not known. */
function toInternalRefusal(): RefusedError['refusal'] {
  return { reason: 'serverFailed', detail: 'The router failed.', verdict: 'mayHaveRun', retryAfterMs: 1_000 };
}
