import { Agent, request, type Client, type Dispatcher } from 'undici';
import type { ResponseHead, RunRequest } from '../domain/index.js';
import { isFinalStatus } from '../transport/index.js';
import { BackendClient, type ResponseSink, type BackendRunResult } from './BackendClient.js';
import type { EngineOrder, EngineState, EngineOrderResult } from './decisions/index.js';
import { SingleUseConnection } from './SingleUseConnection.js';

/** Timeout of a state request. */
const STATE_TIMEOUT_MS = 1_000;
/** Timeout of an order. */
const ORDER_TIMEOUT_MS = 120_000;
/** Maximum size of a response, in bytes; an agent keeps a response until its router has received it. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
const CLIENT_OPTIONS: Client.Options = {
  maxResponseSize: MAX_RESPONSE_BYTES,
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
};
const AGENT_OPTIONS: Agent.Options = { ...CLIENT_OPTIONS, connections: 512 };
/** Last event of a complete event stream. */
const STREAM_END_EVENT = 'data: [DONE]';
/** Prefix of an event; one event contains about one token. */
const EVENT_PREFIX = 'data: ';

/** HTTP client for a backend server: a model engine, or a plain service, which has neither state nor orders. */
export class HttpBackendClient extends BackendClient {
  /**
   * Connections of orders, each used for one of them only: what a faulty server sends after its response, such as a copy of
   * it, can't be taken for the response to another.
   */
  private readonly orderAgent = new Agent(AGENT_OPTIONS);
  /** Connections of runs, each used for one of them only for the same reason. */
  private readonly runConnections = new Set<SingleUseConnection>();
  /** Kept connections of state requests. A copy of a response is one report late at most, and a state decides on no run. */
  private readonly stateAgent = new Agent(AGENT_OPTIONS);

  /**
   * @param baseUrl - URL of the server without a trailing slash.
   * @param plainSlotCount - Maximum number of concurrent requests of a plain service; undefined for a model engine.
   */
  constructor(
    private readonly baseUrl: string,
    private readonly plainSlotCount: number | undefined,
  ) {
    super();
  }

  async readState(): Promise<EngineState | undefined> {
    if (this.plainSlotCount !== undefined) {
      return createPlainState(this.plainSlotCount);
    }
    try {
      const response = await request(`${this.baseUrl}/state`, {
        dispatcher: this.stateAgent,
        signal: AbortSignal.timeout(STATE_TIMEOUT_MS),
      });
      return response.statusCode === 200 ? ((await response.body.json()) as EngineState) : undefined;
    } catch {
      return undefined;
    }
  }

  async sendOrder(order: EngineOrder): Promise<EngineOrderResult> {
    try {
      const response = await this.send(
        this.orderAgent,
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

  async run(runRequest: RunRequest, sink: ResponseSink, signal: AbortSignal): Promise<BackendRunResult> {
    const connection = new SingleUseConnection(this.baseUrl, CLIENT_OPTIONS);
    this.runConnections.add(connection);
    try {
      return await this.stream(connection, runRequest, sink, signal);
    } catch (error) {
      if (signal.aborted) {
        return { kind: 'cancelled' };
      }
      return toFailedResult(error);
    } finally {
      this.runConnections.delete(connection);
      await connection.close();
    }
  }

  async close(): Promise<void> {
    const runsClosed = [...this.runConnections].map((connection) => connection.close());
    await Promise.all([...runsClosed, this.orderAgent.destroy(), this.stateAgent.destroy()]);
  }

  private async stream(
    connection: SingleUseConnection,
    runRequest: RunRequest,
    sink: ResponseSink,
    signal: AbortSignal,
  ): Promise<BackendRunResult> {
    const headers = {
      'x-attempt-id': runRequest.attemptId,
      'x-cache-salt': runRequest.cacheSalt,
      'x-priority': runRequest.requestClass,
    };
    const { method, path, body } = runRequest;
    const response = await this.send(connection.dispatcher, method, path, body, signal, headers);
    if (response.statusCode === 404 && runRequest.modelId !== undefined) {
      await response.body.dump();
      return { kind: 'notSent', detail: 'The engine does not hold the model.' };
    }
    if (!isFinalStatus(response.statusCode)) {
      await response.body.dump();
      const detail = `The status ${response.statusCode} is not a final one.`;
      return { kind: 'failed', detail, isConnectionLost: true };
    }
    const contentType = String(response.headers['content-type'] ?? 'application/octet-stream');
    let head: ResponseHead | undefined = { status: response.statusCode, contentType };
    response.body.setEncoding('utf8');
    const isEventStream = contentType.startsWith('text/event-stream');
    let tail = '';
    let tokenCount = 0;
    for await (const data of response.body) {
      const text = String(data);
      tail = (tail + text).slice(-STREAM_END_EVENT.length * 2);
      tokenCount += isEventStream ? text.split(EVENT_PREFIX).length - 1 : 0;
      sink({ head, text });
      head = undefined;
    }
    if (head) {
      sink({ head, text: '' });
    }
    if (connection.mayBePartial(response.headers)) {
      const detail = 'The connection was reset, and the response has no length.';
      return { kind: 'failed', detail, isConnectionLost: true };
    }
    if (isEventStream && !tail.includes(STREAM_END_EVENT)) {
      return { kind: 'failed', detail: 'The stream ended without its end marker.', isConnectionLost: true };
    }
    return { kind: 'complete', tokenCount };
  }

  private send(
    dispatcher: Dispatcher,
    method: string,
    path: string,
    body: string | undefined,
    signal: AbortSignal,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Dispatcher.ResponseData> {
    return request(`${this.baseUrl}${path}`, {
      method: method as Dispatcher.HttpMethod,
      dispatcher,
      reset: true,
      signal,
      headers: { 'content-type': 'application/json', ...headers },
      body: body === undefined || body === '' ? undefined : body,
    });
  }
}

/** Converts a request error to a result, depending on whether the request can have reached the server. */
function toFailedResult(error: unknown): BackendRunResult {
  const code = String((error as { code?: unknown }).code ?? '');
  const detail = `The backend server failed (${code === '' ? String(error) : code}).`;
  const neverConnected = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return neverConnected ? { kind: 'notSent', detail } : { kind: 'failed', detail, isConnectionLost: true };
}

/** Creates the state of a plain service, which has no items to load. */
function createPlainState(slotCount: number): EngineState {
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
