import { Agent, request, type Dispatcher } from 'undici';
import type { ResponseHead, RunRequest } from '../domain/index.js';
import { BackendClient, type AnswerSink, type BackendRunResult } from './BackendClient.js';
import type { EngineOrder, EngineState, OrderOutcome } from './decisions/index.js';

/** Time given to a state report, in milliseconds. */
const STATE_TIMEOUT_MS = 1_000;
/** Time given to an order, in milliseconds. */
const ORDER_TIMEOUT_MS = 120_000;
/** Line that ends a complete event stream. */
const STREAM_END = 'data: [DONE]';
/** Start of one event, which carries about one token. */
const EVENT_START = 'data: ';

/** A backend server met over HTTP: a model engine, or a plain service that has neither state nor orders. */
export class HttpBackendClient extends BackendClient {
  private readonly agent = new Agent({ connections: 512, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

  /**
   * @param baseUrl - URL of the server without a trailing slash.
   * @param plainSlotCount - Requests at once of a plain service; undefined for a model engine.
   */
  constructor(
    private readonly baseUrl: string,
    private readonly plainSlotCount: number | undefined,
  ) {
    super();
  }

  async readState(): Promise<EngineState | undefined> {
    if (this.plainSlotCount !== undefined) {
      return toPlainState(this.plainSlotCount);
    }
    try {
      const response = await this.send('GET', '/state', undefined, AbortSignal.timeout(STATE_TIMEOUT_MS));
      return response.statusCode === 200 ? ((await response.body.json()) as EngineState) : undefined;
    } catch {
      return undefined;
    }
  }

  async sendOrder(order: EngineOrder): Promise<OrderOutcome> {
    try {
      const response = await this.send(
        'POST',
        '/orders',
        JSON.stringify(order),
        AbortSignal.timeout(ORDER_TIMEOUT_MS),
      );
      await response.body.dump();
      if (response.statusCode === 200) {
        return 'done';
      }
      return response.statusCode < 500 ? 'refused' : 'unknown';
    } catch {
      return 'unknown';
    }
  }

  async run(order: RunRequest, sink: AnswerSink, signal: AbortSignal): Promise<BackendRunResult> {
    try {
      return await this.stream(order, sink, signal);
    } catch (error) {
      if (signal.aborted) {
        return { kind: 'cancelled' };
      }
      return toFailure(error);
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async stream(order: RunRequest, sink: AnswerSink, signal: AbortSignal): Promise<BackendRunResult> {
    const response = await this.send(order.method, order.path, order.body, signal, {
      'x-attempt-id': order.attemptId,
      'x-cache-salt': order.cacheSalt,
      'x-priority': order.requestClass,
    });
    if (response.statusCode === 404 && order.modelId !== undefined) {
      await response.body.dump();
      return { kind: 'notSent', detail: 'The engine does not hold the model.' };
    }
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream');
    let head: ResponseHead | undefined = { status: response.statusCode, contentType };
    response.body.setEncoding('utf8');
    const isEventStream = contentType.startsWith('text/event-stream');
    let tail = '';
    let tokenCount = 0;
    for await (const piece of response.body) {
      const text = String(piece);
      tail = (tail + text).slice(-STREAM_END.length * 2);
      tokenCount += isEventStream ? text.split(EVENT_START).length - 1 : 0;
      sink({ head, text });
      head = undefined;
    }
    if (head) {
      sink({ head, text: '' });
    }
    if (isEventStream && !tail.includes(STREAM_END)) {
      return { kind: 'failed', detail: 'The stream ended without its end marker.', connectionBroke: true };
    }
    return { kind: 'complete', tokenCount };
  }

  private send(
    method: string,
    path: string,
    body: string | undefined,
    signal: AbortSignal,
    headers: Record<string, string> = {},
  ): Promise<Dispatcher.ResponseData> {
    return request(`${this.baseUrl}${path}`, {
      method: method as Dispatcher.HttpMethod,
      dispatcher: this.agent,
      signal,
      headers: { 'content-type': 'application/json', ...headers },
      body: body === undefined || body === '' ? undefined : body,
    });
  }
}

/** Tells whether a failed request can have reached the server. */
function toFailure(error: unknown): BackendRunResult {
  const code = String((error as { code?: unknown }).code ?? '');
  const detail = `The backend server failed (${code === '' ? String(error) : code}).`;
  const neverConnected = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return neverConnected ? { kind: 'notSent', detail } : { kind: 'failed', detail, connectionBroke: true };
}

/** The state of a plain service, which holds nothing that could be loaded. */
function toPlainState(slotCount: number): EngineState {
  return {
    bootId: 'plain',
    capacityBytes: 0,
    slotCount,
    fencing: false,
    lastOrderNumber: 0,
    items: [],
    memoryCached: [],
    diskCached: [],
  };
}
