import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { delay, type Clock, type Random, type Service } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import { listenOrThrow, type ListenAddress } from '../transport/index.js';
import {
  RequestForwarder,
  type RequestForwarderDependencies,
  type CallerRequest,
  type ResponseSink,
} from './RequestForwarder.js';
import { pickTarget, type CallerLimits, type FleetView } from './decisions/index.js';
import type { AttemptHead } from './BackendAttempt.js';
import type { HeaderCodec } from './HeaderCodec.js';

/** Limits until a configuration states its own. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/** Largest head of a request that the parser takes, in bytes; the configured limit is checked below it. */
const PARSER_HEADER_BYTES = 64 * 1024;
/** When a caller should return that came before the configuration did, in milliseconds. */
const STARTING_RETRY_MS = 500;
/**
 * Time for which a stopping router takes new requests, in milliseconds: the balancer needs two of its questions, and what
 * comes later could be cut off by the end of the process.
 */
const STOP_TAKING_AFTER_MS = 2_800;
/** When a caller should return whom a stopping router refuses, in milliseconds: other routers take it at once. */
const STOPPING_RETRY_MS = 100;
/** Part of the stop's grace time that is left for the end of the process, in milliseconds. */
const STOP_RESERVE_MS = 500;
/** Interval at which a stopping router looks whether it is idle, in milliseconds. */
const STOP_POLL_MS = 50;

/** What the server is made of. */
export interface CallerServerDependencies {
  readonly address: ListenAddress;
  readonly clock: Clock;
  readonly random: Random;
  readonly view: FleetView;
  readonly codec: HeaderCodec;
  readonly forwarder: RequestForwarderDependencies;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Gives the time from the order to stop until the process is killed, in milliseconds. */
  readonly getStopGraceMs: () => number;
}

/** Answers callers over HTTP and hands their requests to flows. */
export class CallerServer implements Service {
  private readonly http: Server;
  private readonly active = new Set<RequestForwarder>();
  private stopping = false;
  /** Whether new requests are refused. */
  private closing = false;

  /** @param deps - What the server is made of. */
  constructor(private readonly deps: CallerServerDependencies) {
    this.http = createServer({ maxHeaderSize: PARSER_HEADER_BYTES }, (request, response) =>
      this.handle(request, response),
    );
    this.http.requestTimeout = 0;
    this.http.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      deps.metrics.count('caller_protocol_errors');
      if (socket.writable && error.code !== 'ECONNRESET') {
        socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
      } else {
        socket.destroy();
      }
    });
    this.applyLimits();
  }

  /** Whether the process is stopping. */
  get isStopping(): boolean {
    return this.stopping;
  }

  async start(): Promise<void> {
    await listenOrThrow(this.http, this.deps.address, 'entry');
    this.deps.log.info('callers accepted', { port: this.deps.address.port });
  }

  /** Serves what is there and what the balancer still sends, then closes. */
  async stop(): Promise<void> {
    const { clock, log } = this.deps;
    this.stopping = true;
    const startedAtMs = clock.nowMs();
    const endsAtMs = startedAtMs + this.deps.getStopGraceMs() - STOP_RESERVE_MS;
    log.info('stopping', { activeCount: this.active.size });
    await delay(clock, STOP_TAKING_AFTER_MS);
    this.closing = true;
    const closed = new Promise((resolve) => this.http.close(resolve));
    for (const flow of [...this.active]) {
      flow.refuseUnsent('the router is stopping', STOPPING_RETRY_MS);
    }
    this.http.closeIdleConnections();
    while (this.active.size > 0 && clock.nowMs() < endsAtMs) {
      await delay(clock, STOP_POLL_MS);
    }
    for (const flow of [...this.active]) {
      flow.endForStop('the router is stopping');
    }
    log.info('stopped', {
      activeCount: this.active.size,
      tookMs: Math.round(clock.nowMs() - startedAtMs),
    });
    await Promise.race([closed, delay(clock, STOP_POLL_MS)]);
    this.http.closeAllConnections();
  }

  /** Puts the configured limits into force. */
  applyLimits(): void {
    const limits = this.limits();
    this.http.headersTimeout = limits.headerTimeoutMs;
    this.http.keepAliveTimeout = limits.idleTimeoutMs;
  }

  private limits(): CallerLimits {
    return this.deps.view.configuration?.callerLimits ?? INITIAL_LIMITS;
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const receivedAtMs = this.deps.clock.nowMs();
    if (this.stopping) {
      response.shouldKeepAlive = false;
    }
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      length += chunk.length;
      if (length > this.limits().maxBodyBytes) {
        request.removeAllListeners('data');
        this.refuse(response, undefined, 413, 'the body is too large', undefined);
      }
    });
    request.on('error', () => this.deps.metrics.count('caller_connections_broken'));
    request.on('end', () => {
      if (!response.headersSent && !response.destroyed) {
        this.route(request, response, Buffer.concat(chunks), receivedAtMs);
      }
    });
  }

  private route(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    receivedAtMs: number,
  ): void {
    const { view, codec, random } = this.deps;
    const call = codec.decodeRequest(request.headers);
    const path = request.url ?? '/';
    const method = request.method ?? 'GET';
    if (this.closing) {
      this.refuse(response, call?.requestId, 503, 'the router is stopping', STOPPING_RETRY_MS);
      return;
    }
    if (!view.configuration) {
      this.refuse(response, call?.requestId, 503, 'no configuration is known yet', STARTING_RETRY_MS);
      return;
    }
    const route = view.routeTable.getRoute(request.headers.host ?? '', path);
    const target = route && pickTarget(route, random.fraction());
    if (!route || !target) {
      this.refuse(response, call?.requestId, 404, 'no route takes this host and path', undefined);
      return;
    }
    if (!call) {
      this.refuse(response, undefined, 400, 'the request id is missing', undefined);
      return;
    }
    const { serviceId } = target;
    const fingerprint = fingerprintOf(method, path, call.model, body);
    const directRequest = { call, route, serviceId, method, path, body, fingerprint, receivedAtMs };
    this.run(directRequest, response);
  }

  private run(request: CallerRequest, response: ServerResponse): void {
    const flow = new RequestForwarder(this.deps.forwarder, request, this.sinkOf(request, response));
    this.active.add(flow);
    response.on('close', () => {
      this.active.delete(flow);
      flow.callerLeft();
    });
    flow.run().catch((error: unknown) => {
      this.deps.log.warn('flow failed', { requestId: request.call.requestId, error: String(error) });
      flow.callerLeft();
      response.destroy();
    });
  }

  private sinkOf(request: CallerRequest, response: ServerResponse): ResponseSink {
    return {
      sendWhole: (head, body) => {
        beginAnswer(response, head, body.length);
        response.end(body);
      },
      beginStream: (head) => beginAnswer(response, head, undefined),
      sendEvents: (bytes) => {
        response.write(bytes);
      },
      endStream: () => {
        response.end();
      },
      breakOff: () => {
        response.destroy();
      },
      refuse: (status, detail, retryAfterMs) =>
        this.refuse(response, request.call.requestId, status, detail, retryAfterMs),
    };
  }

  private refuse(
    response: ServerResponse,
    requestId: string | undefined,
    status: number,
    detail: string,
    retryAfterMs: number | undefined,
  ): void {
    this.deps.metrics.count(`refusals_${status}`);
    this.deps.log.decision('request refused', { requestId: requestId ?? '', status, detail });
    const body = JSON.stringify({ error: detail });
    response.writeHead(status, {
      ...this.deps.codec.encodeRefusal(requestId, retryAfterMs),
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}

/** Begins an answer: with its length where it is certain, in chunks while it grows, or ended by the connection alone. */
function beginAnswer(response: ServerResponse, head: AttemptHead, length: number | undefined): void {
  if (!head.isFramed) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(head.status, head.headers);
  } else if (length === undefined) {
    response.writeHead(head.status, head.headers);
  } else {
    response.writeHead(head.status, { ...head.headers, 'Content-Length': length });
  }
}

/** Hashes what makes two requests equal. */
function fingerprintOf(method: string, path: string, model: string | undefined, body: Buffer): string {
  const hash = createHash('sha1').update(`${method} ${path} ${model ?? ''}\n`);
  return hash.update(body).digest('base64url');
}
