import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Socket, type AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import type { LateReadGuard } from '../admission/index.js';
import { type ByteBudget, delay, runInBackground, type Random, type Service } from '../kernel/index.js';
import type { CallerAccess, RequestAuthorizer } from '../organisations/index.js';
import {
  pollSockets,
  PortListener,
  type ListenAddress,
  type PortListenerDependencies,
} from '../transport/index.js';
import { RequestForwarder, type RequestForwarderDependencies } from './RequestForwarder.js';
import type { CallerLimits, FleetView } from './decisions/index.js';
import { CallerConnections } from './CallerConnections.js';
import type { CallerRequest } from './CallerRequest.js';
import { CallerResponse } from './CallerResponse.js';
import type { HeaderCodec } from './HeaderCodec.js';
import type { QuotaGate } from './QuotaGate.js';
import { RequestBody } from './RequestBody.js';
import { BODY_REFUSALS, declaresBody, isBodySkipped, REVOKED, STOPPING } from './refusals.js';
import { RequestResolver, type RequestRefusal } from './RequestResolver.js';

type Refusal = Omit<RequestRefusal, 'kind'>;

/** Limits used until a configuration is known. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/** Maximum size of a request's headers that the parser accepts, in bytes; configured limits are lower. */
const PARSER_HEADER_BYTES = 64 * 1024;
/** Interval at which the header timeout is checked, in milliseconds. */
const HEADER_CHECK_INTERVAL_MS = 1_000;
/**
 * Time for which a stopping router accepts new requests, in milliseconds: the balancer detects the stop after two readiness
 * checks, and requests accepted later could be interrupted by the end of the process.
 */
const ACCEPT_WHILE_STOPPING_MS = 2_800;
/** Time for the body of a request without a known route or deadline, in milliseconds. */
const DEFAULT_BODY_TIMEOUT_MS = 30_000;
/** Time for which the rest of a refused body is read and dropped before its connection is closed, in milliseconds. */
const REFUSED_BODY_DRAIN_MS = 3_000;
/** Part of the stop grace period that is reserved for the exit of the process, in milliseconds. */
const STOP_RESERVE_MS = 500;
/** Interval at which a stopping router checks whether it is idle, in milliseconds. */
const STOP_POLL_MS = 50;

const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const STATUS_BAD_GATEWAY = 502;

/** Dependencies of {@link CallerServer}. */
export interface CallerServerDependencies extends PortListenerDependencies {
  readonly address: ListenAddress;
  readonly random: Random;
  readonly view: FleetView;
  readonly codec: HeaderCodec;
  readonly forwarder: RequestForwarderDependencies;
  readonly authorizer: RequestAuthorizer;
  readonly lateReadGuard: LateReadGuard;
  readonly quotaGate: QuotaGate;
  /** Memory for the heads and bodies of requests until their responses are closed. */
  readonly bodyBudget: ByteBudget;
  /** Returns the time from the stop signal until the process is killed, in milliseconds. */
  readonly getStopGraceMs: () => number;
}

/** Accepts callers' HTTP requests and runs a {@link RequestForwarder} for each. */
export class CallerServer implements Service {
  private readonly http: Server;
  /** Responses that are not complete, by the forwarder of the request. */
  private readonly activeForwarders = new Map<RequestForwarder, ServerResponse>();
  /** Bodies of the requests whose responses are not closed, by the response. */
  private readonly openBodies = new Map<ServerResponse, RequestBody>();
  private readonly connections: CallerConnections;
  private readonly resolver: RequestResolver;
  private readonly listener: PortListener;
  private stopping = false;
  /** Whether new requests are refused because the process is stopping. */
  private closing = false;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: CallerServerDependencies) {
    this.http = createServer(
      { maxHeaderSize: PARSER_HEADER_BYTES, connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS },
      (request, response) => this.guard(request, response, () => this.handle(request, response)),
    );
    this.http.requestTimeout = 0;
    this.http.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.onProtocolError(error, socket),
    );
    this.connections = new CallerConnections(deps);
    this.resolver = new RequestResolver(deps);
    this.http.on('connection', (socket: Socket) => this.connections.add(socket));
    // With a listener, the server does not close idle connections itself: it would do so at the limit of their last response.
    this.http.on('timeout', () => undefined);
    this.applyLimits();
    this.listener = new PortListener(this.http, deps.address, 'entry', deps);
  }

  /** Port on which callers are accepted; 0 before the start. */
  get port(): number {
    return (this.http.address() as AddressInfo | null)?.port ?? 0;
  }

  /** Whether callers can connect. */
  get isListening(): boolean {
    return this.http.listening;
  }

  /** Whether the process is stopping. */
  get isStopping(): boolean {
    return this.stopping;
  }

  async start(): Promise<void> {
    await this.listener.start();
    if (!this.isListening) {
      return;
    }
    this.connections.start();
    this.deps.log.info('callers accepted', { port: this.port });
  }

  /** Completes running requests and those that the balancer still sends, then closes the server. */
  async stop(): Promise<void> {
    const { clock, log } = this.deps;
    this.stopping = true;
    this.listener.stop();
    if (!this.isListening) {
      return;
    }
    const startedAtMs = clock.nowMs();
    const endsAtMs = startedAtMs + this.deps.getStopGraceMs() - STOP_RESERVE_MS;
    log.info('stopping', { activeCount: this.activeForwarders.size + this.deps.quotaGate.waitingCount });
    await delay(clock, ACCEPT_WHILE_STOPPING_MS);
    this.closing = true;
    for (const forwarder of [...this.activeForwarders.keys()]) {
      forwarder.refuseUnsent(STOPPING);
    }
    for (const body of [...this.openBodies.values()]) {
      body.endForShutdown();
    }
    // Closing the server also closes connections whose response has ended but is not written yet.
    while (this.hasUnwrittenResponse && clock.nowMs() < endsAtMs) {
      await delay(clock, STOP_POLL_MS);
    }
    this.connections.stop();
    await pollSockets();
    const closed = new Promise((resolve) => this.http.close(resolve));
    while (this.openBodies.size > 0 && clock.nowMs() < endsAtMs) {
      await delay(clock, STOP_POLL_MS);
    }
    for (const forwarder of [...this.activeForwarders.keys()]) {
      forwarder.endForShutdown('the router is stopping');
    }
    log.info('stopped', {
      activeCount: this.activeForwarders.size,
      tookMs: Math.round(clock.nowMs() - startedAtMs),
    });
    await Promise.race([closed, delay(clock, STOP_POLL_MS)]);
    this.http.closeAllConnections();
  }

  /** Applies the configured limits. */
  applyLimits(): void {
    const limits = this.getLimits();
    this.http.headersTimeout = limits.headerTimeoutMs;
    // Announced to callers with each response.
    this.http.keepAliveTimeout = limits.idleTimeoutMs;
    this.connections.applyIdleTimeout(limits.idleTimeoutMs);
  }

  /** Refuses the requests that no server has and whose keys are no longer valid or whose quotas were lowered. */
  refuseRevoked(): void {
    for (const forwarder of [...this.activeForwarders.keys()]) {
      const refusal = this.findRevocation(forwarder.access);
      if (refusal) {
        forwarder.refuseUnsent(refusal);
      }
    }
  }

  private findRevocation(access: CallerAccess): RequestRefusal | undefined {
    return this.deps.authorizer.isRevoked(access) ? REVOKED : this.deps.quotaGate.findRefusal(access);
  }

  /** Whether a response has ended but its caller has yet to read a part that does not fit into the socket's buffer. */
  private get hasUnwrittenResponse(): boolean {
    for (const response of this.activeForwarders.values()) {
      if (response.writableEnded && !response.writableFinished) {
        return true;
      }
    }
    return false;
  }

  private getLimits(): CallerLimits {
    return this.deps.view.configuration?.callerLimits ?? INITIAL_LIMITS;
  }

  /**
   * Closes a connection on which other bytes than a request arrived, with status 400 if no request is being served; else
   * after the response of that request. Also ends connections on which a request's head takes too long.
   */
  private onProtocolError(error: NodeJS.ErrnoException, socket: Duplex): void {
    this.deps.metrics.count('caller_protocol_errors');
    this.deps.log.decision('caller connection failed', {
      code: error.code ?? '',
      receivedBytes: socket instanceof Socket ? socket.bytesRead : -1,
    });
    if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' && socket instanceof Socket) {
      runInBackground('refusal of a late head', () => this.connections.endLate(socket));
      return;
    }
    const response = socket instanceof Socket ? this.connections.getOpenResponse(socket) : undefined;
    if (!socket.writable || error.code === 'ECONNRESET' || (response && socket.readableEnded)) {
      socket.destroy();
    } else if (socket instanceof Socket && !response && this.connections.hasStartedResponse(socket)) {
      // The request was refused while its body was still arriving.
      socket.end();
    } else if (!response) {
      socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
    } else if (response.shouldKeepAlive) {
      response.shouldKeepAlive = false;
      response.once('finish', () => socket.end());
    }
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const receivedAtMs = this.deps.clock.nowMs();
    if (this.connections.isEnding(request.socket)) {
      // Its caller could not receive the response, so the request must not run.
      request.resume();
      return;
    }
    this.connections.recordRequest(request.socket, response);
    if (this.stopping) {
      response.shouldKeepAlive = false;
    }
    request.on('error', () => this.deps.metrics.count('caller_connections_broken'));
    const refusal = declaresBody(request) ? this.resolver.findRefusal(request) : undefined;
    if (refusal) {
      this.refuseUnread(request, response, refusal);
      return;
    }
    const body = new RequestBody(
      request,
      {
        clock: this.deps.clock,
        budget: this.deps.bodyBudget,
        getMaxBytes: () => this.getLimits().maxBodyBytes,
        timeoutMs: this.getBodyTimeoutMs(request),
      },
      (bytes) => this.guard(request, response, () => this.route(request, response, bytes, receivedAtMs)),
      (failure) =>
        this.guard(request, response, () => this.refuseUnread(request, response, BODY_REFUSALS[failure])),
    );
    this.openBodies.set(response, body);
    response.once('close', () => {
      this.openBodies.delete(response);
      body.release();
    });
    body.start();
    if (this.closing) {
      body.endForShutdown();
    }
  }

  /** Runs a step of a request; after an unexpected error, its caller gets an answer or the end of its connection. */
  private guard(request: IncomingMessage, response: ServerResponse, step: () => void): void {
    try {
      step();
    } catch (error) {
      this.failRequest(request, response, error);
    }
  }

  /** Ends a request after an unexpected error, with a status that does not promise that it has not run. */
  private failRequest(request: IncomingMessage, response: ServerResponse, error: unknown): void {
    const requestId = this.deps.codec.getRequestId(request.headers);
    this.deps.metrics.count('request_errors');
    this.deps.log.warn('request failed', { requestId: requestId ?? '', error: String(error) });
    this.openBodies.get(response)?.release();
    request.resume();
    if (response.headersSent) {
      response.destroy();
      return;
    }
    try {
      response.shouldKeepAlive = false;
      const refusal = { status: STATUS_BAD_GATEWAY, detail: 'the request failed' };
      response.write(this.beginRefusal(response, requestId, refusal));
      this.endAfterBody(request, response);
    } catch {
      response.destroy();
    }
  }

  /** Returns the time in which a request's body must be complete: a later one could not be served any more. */
  private getBodyTimeoutMs(request: IncomingMessage): number {
    const { view, codec } = this.deps;
    const route = view.routeTable.getRoute(request.headers.host ?? '', request.url ?? '/');
    const deadlineMs = codec.decodeRequest(request.headers)?.deadlineMs;
    return Math.min(route?.timeoutMs ?? DEFAULT_BODY_TIMEOUT_MS, deadlineMs ?? Infinity);
  }

  /**
   * Refuses a request whose body was not received. Its connection is closed unless the rest of the body is small, but only after the
   * caller had time to read the refusal: closing it under bytes that are still arriving resets it.
   */
  private refuseUnread(request: IncomingMessage, response: ServerResponse, refusal: Refusal): void {
    const requestId = this.deps.codec.decodeRequest(request.headers)?.requestId;
    if (!this.openBodies.has(response) && isBodySkipped(request)) {
      request.resume();
      this.refuse(response, requestId, refusal);
      return;
    }
    response.shouldKeepAlive = false;
    response.write(this.beginRefusal(response, requestId, refusal));
    // The head takes no part of the budget if it found no room, so it must not stay in memory while the rest is read.
    request.rawHeaders = [];
    request.headers = {};
    this.endAfterBody(request, response);
  }

  /** Ends a response once the rest of its request's body has been read and dropped, or after some time. */
  private endAfterBody(request: IncomingMessage, response: ServerResponse): void {
    if (request.readableEnded) {
      response.end();
      return;
    }
    const timer = this.deps.clock.schedule(REFUSED_BODY_DRAIN_MS, () => response.end());
    request.once('end', () => response.end());
    response.once('close', () => timer.cancel());
  }

  private route(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    receivedAtMs: number,
  ): void {
    const requestId = this.deps.codec.getRequestId(request.headers);
    if (this.closing) {
      this.refuse(response, requestId, STOPPING);
      return;
    }
    const requestNumber = this.connections.getRequestCount(request.socket);
    const resolved = this.resolver.resolve(request, body, receivedAtMs, requestNumber);
    if (resolved.kind === 'refused') {
      this.refuse(response, requestId, resolved);
      return;
    }
    this.deps.lateReadGuard.admit(response, () => this.admit(resolved.request, request, response));
  }

  private admit(callerRequest: CallerRequest, request: IncomingMessage, response: ServerResponse): void {
    const { requestId } = callerRequest.headers;
    this.deps.quotaGate.admit(callerRequest, response, {
      findRefusal: ({ access }) => (this.closing ? STOPPING : this.findRevocation(access)),
      refuse: (refusal) => this.guard(request, response, () => this.refuse(response, requestId, refusal)),
      forward: (admitted) => this.guard(request, response, () => this.forward(admitted, response)),
    });
  }

  private forward(request: CallerRequest, response: ServerResponse): void {
    const { requestId } = request.headers;
    const callerResponse = new CallerResponse(response, (status, detail, retryAfterMs) =>
      this.refuse(response, requestId, { status, detail, retryAfterMs }),
    );
    const forwarder = new RequestForwarder(this.deps.forwarder, request, callerResponse);
    this.activeForwarders.set(forwarder, response);
    response.on('close', () => {
      this.activeForwarders.delete(forwarder);
      forwarder.onResponseClosed();
    });
    forwarder.run().catch((error: unknown) => {
      this.deps.log.warn('request forwarder failed', {
        requestId,
        error: String(error),
      });
      forwarder.onResponseClosed();
      callerResponse.fail(STATUS_BAD_GATEWAY, 'the response cannot be passed on');
    });
  }

  private refuse(response: ServerResponse, requestId: string | undefined, refusal: Refusal): void {
    response.end(this.beginRefusal(response, requestId, refusal));
  }

  /** Describes the configuration by which a key or a path is refused, for the log. */
  private describeConfiguration(): Record<string, number> {
    const { version, confirmedAtMs } = this.deps.view.configurationKnowledge ?? {
      version: 0,
      confirmedAtMs: 0,
    };
    return {
      configurationVersion: version,
      confirmedAgeMs: Math.round(this.deps.clock.nowMs() - confirmedAtMs),
    };
  }

  /** Sends the head of a refusal; returns its body. */
  private beginRefusal(
    response: ServerResponse,
    requestId: string | undefined,
    { status, detail, retryAfterMs }: Refusal,
  ): string {
    this.deps.metrics.count(`refusals_${status}`);
    const isByConfiguration = status === STATUS_UNAUTHORIZED || status === STATUS_NOT_FOUND;
    const configuration = isByConfiguration ? this.describeConfiguration() : {};
    this.deps.log.decision('request refused', {
      requestId: requestId ?? '',
      status,
      detail,
      ...configuration,
    });
    const body = JSON.stringify({ error: detail });
    response.writeHead(status, {
      ...this.deps.codec.encodeRefusal(requestId, retryAfterMs),
      ...(status === STATUS_UNAUTHORIZED ? { 'WWW-Authenticate': 'Bearer' } : {}),
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    });
    return body;
  }
}
