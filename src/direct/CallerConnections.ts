import type { Socket } from 'node:net';
import type { ServerResponse } from 'node:http';
import { PeriodicTask, runInBackground, type Clock } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import { pollSockets } from '../transport/index.js';

/** Interval at which idle connections are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/**
 * Time for which an idle connection stays open beyond its limit, in milliseconds: callers may go by a raised limit before it
 * reaches this router, which takes up to two seconds, and their requests take time to arrive.
 */
const CLOSE_DELAY_MS = 3_000;
/**
 * Number of requests on one connection that may wait for their responses; further ones are not read until one is complete.
 * What has been read by then is served too.
 */
const MAX_OPEN_RESPONSES = 100;
/** Number of bytes that may be read from a connection whose requests are not read, to notice that its caller has left. */
const READ_AHEAD_BYTES = 64 * 1024;
/** Response to a request whose head takes too long. */
const LATE_HEAD_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** Dependencies of {@link CallerConnections}. */
export interface CallerConnectionsDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** State of one open connection. */
interface ConnectionState {
  requestCount: number;
  /** Responses that are not complete, in the order of their requests. */
  readonly openResponses: Set<ServerResponse>;
  /** When the last response was complete, or bytes arrived after it. */
  idleSinceMs: number;
  /** Number of bytes received by then. */
  receivedBytes: number;
  /** Longest limit in force since its last request, whose response announced the limit of that time. */
  idleTimeoutMs: number;
  /** Number of bytes received when it was last paused for its open responses. */
  pausedAtBytes: number;
  /** Whether it is read although too many responses are open. */
  isReadingAhead: boolean;
}

/** Counts the requests on callers' connections, and closes those that stay idle for longer than their limit or whose callers leave. */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>();
  private readonly checkTask: PeriodicTask;
  private idleTimeoutMs = 0;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: CallerConnectionsDependencies) {
    this.checkTask = new PeriodicTask(deps.clock, CHECK_INTERVAL_MS, () => {
      this.closeIdle();
      this.findLeftCallers();
    });
  }

  /** Starts to close idle connections. */
  start(): void {
    this.checkTask.start();
  }

  /** Stops closing idle connections. */
  stop(): void {
    this.checkTask.stop();
  }

  /**
   * Applies a limit; a higher one also applies to connections that are idle already, a lower one from their next request on.
   * @param idleTimeoutMs - Time for which a connection may be idle, in milliseconds.
   */
  applyIdleTimeout(idleTimeoutMs: number): void {
    if (idleTimeoutMs === this.idleTimeoutMs) {
      return;
    }
    this.idleTimeoutMs = idleTimeoutMs;
    for (const state of this.states.values()) {
      state.idleTimeoutMs = Math.max(state.idleTimeoutMs, idleTimeoutMs);
    }
  }

  /**
   * Adds a connection that was accepted.
   * @param socket - The connection.
   */
  add(socket: Socket): void {
    const openResponses = new Set<ServerResponse>();
    const state: ConnectionState = {
      requestCount: 0,
      openResponses,
      idleSinceMs: this.deps.clock.nowMs(),
      receivedBytes: 0,
      idleTimeoutMs: this.idleTimeoutMs,
      pausedAtBytes: 0,
      isReadingAhead: false,
    };
    this.states.set(socket, state);
    // Node.js resumes the connection for the body of each request.
    socket.on('resume', () => {
      if (!state.isReadingAhead || hasReadAhead(socket, state)) {
        pauseIfFull(socket, openResponses);
      }
    });
    socket.once('close', () => {
      this.states.delete(socket);
      closeQueued(openResponses);
    });
  }

  /**
   * Records that a request has begun on a connection, which is not idle until its response is complete.
   * @param socket - The connection.
   * @param response - Response to the request.
   */
  recordRequest(socket: Socket, response: ServerResponse): void {
    const state = this.states.get(socket);
    if (!state) {
      return;
    }
    state.requestCount++;
    state.openResponses.add(response);
    if (state.openResponses.size === MAX_OPEN_RESPONSES) {
      state.pausedAtBytes = socket.bytesRead;
    }
    pauseIfFull(socket, state.openResponses);
    state.idleTimeoutMs = this.idleTimeoutMs;
    response.once('close', () => {
      state.openResponses.delete(response);
      if (state.openResponses.size === MAX_OPEN_RESPONSES - 1) {
        socket.resume();
      }
      this.recordActivity(socket, state);
    });
  }

  /**
   * Returns the last open response on a connection whose request has been received completely; undefined if there is none.
   * @param socket - The connection.
   */
  getOpenResponse(socket: Socket): ServerResponse | undefined {
    return [...(this.states.get(socket)?.openResponses ?? [])].findLast(({ req }) => req.complete);
  }

  /**
   * Whether a part of an open response was sent on a connection.
   * @param socket - The connection.
   */
  hasStartedResponse(socket: Socket): boolean {
    return [...(this.states.get(socket)?.openResponses ?? [])].some(({ headersSent }) => headersSent);
  }

  /**
   * Whether a connection was ended for sending, or ends with a response that is open, so that no later request can be answered.
   * @param socket - The connection.
   */
  isEnding(socket: Socket): boolean {
    const openResponses = this.states.get(socket)?.openResponses ?? [];
    return socket.writableEnded || [...openResponses].some(({ shouldKeepAlive }) => !shouldKeepAlive);
  }

  /**
   * Returns the number of requests that have begun on a connection.
   * @param socket - The connection.
   */
  getRequestCount(socket: Socket): number {
    return this.states.get(socket)?.requestCount ?? 0;
  }

  /**
   * Refuses a request whose head exceeds its timeout, unless the rest has arrived, and ends its connection. A connection
   * without any bytes is idle, so its limit is another one.
   * @param socket - The connection.
   */
  async endLate(socket: Socket): Promise<void> {
    const state = this.states.get(socket);
    if (!state || socket.bytesRead === 0) {
      return;
    }
    const { requestCount } = state;
    await pollSockets();
    if (state.requestCount === requestCount && state.openResponses.size === 0 && socket.writable) {
      this.deps.metrics.count('refusals_408');
      socket.end(LATE_HEAD_RESPONSE);
    }
  }

  /** Reads a little from the connections that are paused: the end of a connection shows only when it is read. */
  private findLeftCallers(): void {
    for (const [socket, state] of this.states) {
      const isPaused = state.openResponses.size >= MAX_OPEN_RESPONSES;
      if (isPaused && !hasReadAhead(socket, state)) {
        runInBackground('reading ahead', () => readAhead(socket, state));
      }
    }
  }

  private recordActivity(socket: Socket, state: ConnectionState): void {
    state.idleSinceMs = this.deps.clock.nowMs();
    state.receivedBytes = socket.bytesRead;
  }

  private closeIdle(): void {
    const nowMs = this.deps.clock.nowMs();
    const expired: [Socket, ConnectionState][] = [];
    for (const [socket, state] of this.states) {
      if (this.isExpired(socket, state, nowMs)) {
        expired.push([socket, state]);
      }
    }
    if (expired.length > 0) {
      runInBackground('closing of idle connections', () => this.closeIfExpired(expired));
    }
  }

  private async closeIfExpired(candidates: readonly [Socket, ConnectionState][]): Promise<void> {
    await pollSockets();
    const nowMs = this.deps.clock.nowMs();
    for (const [socket, state] of candidates) {
      if (this.isExpired(socket, state, nowMs)) {
        this.close(socket, state);
      }
    }
  }

  private isExpired(socket: Socket, state: ConnectionState, nowMs: number): boolean {
    if (state.openResponses.size > 0 || nowMs - state.idleSinceMs < state.idleTimeoutMs + CLOSE_DELAY_MS) {
      return false;
    }
    // Bytes that arrive after the connection was ended belong to no request that will be served.
    if (!socket.writableEnded && socket.bytesRead !== state.receivedBytes) {
      this.recordActivity(socket, state);
      return false;
    }
    return true;
  }

  private close(socket: Socket, { requestCount, idleSinceMs, idleTimeoutMs }: ConnectionState): void {
    const { clock, log, metrics } = this.deps;
    metrics.count('caller_connections_idle_closed');
    log.decision('idle connection closed', {
      requestCount,
      idleMs: Math.round(clock.nowMs() - idleSinceMs),
      idleTimeoutMs,
      currentIdleTimeoutMs: this.idleTimeoutMs,
    });
    socket.destroy();
  }
}

/** Stops reading from a connection with too many open responses. */
function pauseIfFull(socket: Socket, openResponses: ReadonlySet<ServerResponse>): void {
  if (openResponses.size >= MAX_OPEN_RESPONSES) {
    socket.pause();
  }
}

/** Whether as many bytes were read from a connection since it was paused as may be read ahead. */
function hasReadAhead(socket: Socket, { pausedAtBytes }: ConnectionState): boolean {
  return socket.bytesRead - pausedAtBytes >= READ_AHEAD_BYTES;
}

/** Reads once from a connection with too many open responses. */
async function readAhead(socket: Socket, state: ConnectionState): Promise<void> {
  state.isReadingAhead = true;
  socket.resume();
  // The stream begins to flow in the next tick, and the sockets are polled after the first turn.
  await pollSockets();
  await pollSockets();
  state.isReadingAhead = false;
  pauseIfFull(socket, state.openResponses);
}

/** Closes the responses that waited for an earlier one on their connection, which Node.js does not when it is closed. */
function closeQueued(openResponses: ReadonlySet<ServerResponse>): void {
  for (const response of [...openResponses]) {
    if (!response.socket && !response.writableFinished) {
      response.destroy();
      response.emit('close');
    }
  }
}
