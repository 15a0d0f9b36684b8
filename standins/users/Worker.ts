import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { ObjectStore } from './ObjectStore.js';

/**
 * Fault that a worker injects into a request; `pause` refuses it and asks for a pause, `lieNotRun` runs it and then states
 * that it did not run.
 */
export type InjectedFault =
  'cutBefore' | 'cutWithin' | 'silence' | 'refuse' | 'pause' | 'lieNotRun' | 'foreign' | 'endEarly';

/** Execution of a request on a worker. */
export interface WorkerRun {
  readonly requestId: string;
  readonly workerId: string;
  readonly service: string;
  readonly startedAtMs: number;
  /** Time at which the request arrived, earlier than its start if the worker was stalled. */
  readonly arrivedAtMs: number;
  /** Fault that the worker injects into the request. */
  readonly fault?: InjectedFault;
  /** Version of the worker's software. */
  readonly softwareVersion?: string;
  /** ID of the request that the client names as the one that brought the first event of the stream. */
  readonly resumedRequestId?: string;
  /** Organisation that the sender names. */
  readonly organisation?: string;
  /** Whether the sender passes on a caller's key. */
  readonly hasKey?: boolean;
}

/** Arrival of a request at a worker. */
export interface WorkerArrival {
  readonly requestId: string;
  readonly workerId: string;
  readonly atMs: number;
  /** Time at which the worker handles the request, later than its arrival if the worker was stalled. */
  readonly handledAtMs: number;
  /** Time for which the worker asks the sender for a pause in its answer, in milliseconds; 0 if it does not. */
  readonly pauseMs: number;
  /** Whether the worker states in its answer that it is leaving. */
  readonly isLeaving: boolean;
  /** Start of the worker's incarnation, in milliseconds since the epoch. */
  readonly bornAtMs: number;
}

/** Time for which a worker asks for a pause, in milliseconds. */
export const PAUSE_MS = 1_500;

/** Path at which a worker answers with its ID. */
export const HEALTH_PATH = '/health';

const DEFAULT_VERSION = 'v1';

/** Options and dependencies of a worker. */
export interface WorkerOptions {
  readonly workerId: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  /** Version of the worker's software. */
  readonly softwareVersion?: string;
  readonly store: ObjectStore;
  /** Called when a request arrives, whether it runs or is refused. */
  readonly onArrival?: (arrival: WorkerArrival) => void;
  /** Called when a request starts to run. */
  readonly onRun: (run: WorkerRun) => void;
  /** Draws the fault for a request; undefined means to serve it normally. */
  readonly drawFault: () => InjectedFault | undefined;
  /** Draws whether a response has neither a length nor chunks and ends with its connection; absent means never. */
  readonly drawUnframed?: () => boolean;
  /**
   * Draws the time after which an order that gets no answer is carried out, in milliseconds, also by a later incarnation;
   * undefined for an order that is answered. Absent means that all are answered.
   */
  readonly drawLateMs?: () => number | undefined;
  /** Whether each restart has an ID of its own; absent means that the worker keeps its ID. */
  readonly changesId?: boolean;
  /** Whether a model worker carries out orders with a lower fencing token than an earlier one; absent means not. */
  readonly ignoresFences?: boolean;
}

/** Stand-in for one of the users' workers: serves requests, publishes its entry in the store, drains, stalls and crashes. */
export abstract class Worker {
  /** Time at which the worker reported that it is draining; undefined while it accepts requests. */
  drainingSinceMs: number | undefined;
  /** Number of requests per second that the worker accepts from all machines together; undefined without a limit. */
  maxRequestsPerSecond: number | undefined;
  /** Whether answers omit that the worker is leaving or wants a pause, for tests that inject a fault. */
  omitsNotices = false;
  protected bornAtMs = Date.now();
  protected isDown = false;
  private restartCount = 0;
  private stalledUntilMs = 0;
  private readonly unframedResponses = new Set<ServerResponse>();
  private crashCount = 0;
  private readonly server: Server = createServer((incoming, response) =>
    this.handleRequest(incoming, response),
  );

  /** @param options - Options and dependencies. */
  constructor(readonly options: WorkerOptions) {}

  /** ID of the current incarnation, which names its entry. */
  get instanceId(): string {
    const { workerId, changesId } = this.options;
    return changesId === true && this.restartCount > 0 ? `${workerId}.${this.restartCount}` : workerId;
  }

  async start(): Promise<void> {
    const { host, port } = this.options;
    await new Promise<void>((resolve) => {
      this.server.listen(port, host, resolve);
    });
    this.publishEntry();
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /**
   * Simulates a crash: aborts running requests, closes all connections for a while and restarts with empty state.
   * @param downMs - Time until the restart, in milliseconds.
   */
  crash(downMs: number): void {
    this.isDown = true;
    this.crashCount++;
    this.stalledUntilMs = 0;
    for (const response of this.unframedResponses) {
      // Closed normally, the connection would end the response as if it was complete.
      response.socket?.resetAndDestroy();
    }
    this.server.closeAllConnections();
    setTimeout(() => {
      this.isDown = false;
      this.beginIncarnation();
    }, downMs);
  }

  /**
   * Simulates a pause of the process: running and new requests make no progress for a while and then continue; connections
   * stay open and nothing is lost.
   * @param durationMs - Time until the worker continues.
   */
  stall(durationMs: number): void {
    this.stalledUntilMs = Math.max(this.stalledUntilMs, Date.now() + durationMs);
  }

  /** Reports that the worker is draining, or replaces it by its next incarnation, which accepts requests. */
  setDraining(isDraining: boolean): void {
    this.drainingSinceMs = isDraining ? Date.now() : undefined;
    if (isDraining) {
      this.publishEntry();
    } else {
      this.beginIncarnation();
    }
  }

  /** Writes the worker's entry again after the store has lost it, unless the worker is down. */
  rewriteEntry(): void {
    if (!this.isDown) {
      this.publishEntry();
    }
  }

  /**
   * Runs an action now, or at the end of a stall; a crash in between discards it.
   * @param action - Action of the worker's process.
   */
  protected runUnstalled(action: () => void): void {
    const remainingMs = this.stalledUntilMs - Date.now();
    if (remainingMs <= 0) {
      action();
      return;
    }
    const { crashCount } = this;
    setTimeout(() => {
      if (crashCount === this.crashCount) {
        this.runUnstalled(action);
      }
    }, remainingMs);
  }

  /** Writes the worker's entry to the store. */
  protected publishEntry(): void {
    const { store, service, host, port } = this.options;
    store.put('servers', this.instanceId, {
      Service: service,
      Address: `${host}:${port}`,
      Zone: 'z1',
      Version: this.options.softwareVersion ?? DEFAULT_VERSION,
      Slots: 16,
      State: this.drainingSinceMs === undefined ? 'ready' : 'draining',
      born: this.bornAtMs,
      ...this.getEntryFields(),
    });
  }

  /** Returns the fields of the entry that are specific to the kind of worker. */
  protected abstract getEntryFields(): Record<string, unknown>;

  /** Resets the state that a crash loses. */
  protected abstract clearState(): void;

  /** Handles a report or order request; returns false when the request is a caller's. */
  protected abstract handleControlRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): boolean;

  /** Returns the HTTP status of a refusal when the worker can't run the request. */
  protected abstract getRefusalStatus(incoming: IncomingMessage): number | undefined;

  /** Responds to a request that has started to run. */
  protected abstract serve(incoming: IncomingMessage, response: ServerResponse, fault?: InjectedFault): void;

  private beginIncarnation(): void {
    if (this.options.changesId === true) {
      this.options.store.remove('servers', this.instanceId);
    }
    this.restartCount++;
    this.bornAtMs = Date.now();
    this.clearState();
    this.publishEntry();
  }

  private handleRequest(incoming: IncomingMessage, response: ServerResponse): void {
    if (this.isDown) {
      incoming.socket.destroy();
      return;
    }
    const arrivedAtMs = Date.now();
    let body = '';
    incoming.on('data', (chunk: Buffer) => (body += chunk.toString()));
    incoming.on('end', () => {
      this.runUnstalled(() => {
        if (this.drainingSinceMs !== undefined && !this.omitsNotices) {
          response.setHeader('server-leaving', '1');
        }
        if (this.maxRequestsPerSecond !== undefined && !this.omitsNotices) {
          response.setHeader('server-limit', String(this.maxRequestsPerSecond));
        }
        if (incoming.url === HEALTH_PATH) {
          response.writeHead(200, { 'instance-id': this.instanceId }).end();
        } else if (!this.handleControlRequest(incoming, response, body)) {
          this.handleServiceRequest(incoming, response, arrivedAtMs);
        }
      });
    });
  }

  private handleServiceRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
    arrivedAtMs: number,
  ): void {
    const { workerId, service, onArrival, onRun, drawFault, drawUnframed } = this.options;
    const requestId = getRequestId(incoming);
    const isMisdirected = (incoming.headers['expect-instance'] ?? this.instanceId) !== this.instanceId;
    const refusalStatus = isMisdirected ? 421 : this.getRefusalStatus(incoming);
    const fault = drawFault();
    const isPause = refusalStatus === undefined && fault === 'pause';
    // After a stall, the sender may have closed the connection, so that it learns nothing from an answer.
    const isAwaited = !response.destroyed;
    onArrival?.({
      requestId,
      workerId,
      atMs: arrivedAtMs,
      handledAtMs: Date.now(),
      pauseMs: isPause && isAwaited ? PAUSE_MS : 0,
      isLeaving: this.drainingSinceMs !== undefined && isAwaited,
      bornAtMs: this.bornAtMs,
    });
    if (refusalStatus !== undefined || fault === 'refuse' || isPause) {
      const headers = { 'request-id': requestId, 'not-run': '1', 'instance-id': this.instanceId };
      const pauseHeaders = isPause && !this.omitsNotices ? { 'retry-after': String(PAUSE_MS / 1_000) } : {};
      response.writeHead(refusalStatus ?? 503, { ...headers, ...pauseHeaders }).end();
      return;
    }
    const resumes = incoming.headers.resumes;
    onRun({
      requestId,
      workerId,
      service,
      startedAtMs: Date.now(),
      arrivedAtMs,
      fault,
      softwareVersion: this.options.softwareVersion ?? DEFAULT_VERSION,
      resumedRequestId: resumes === undefined ? undefined : String(resumes),
      organisation: incoming.headers.tenant === undefined ? undefined : String(incoming.headers.tenant),
      hasKey: incoming.headers.authorization !== undefined,
    });
    if (!isAwaited) {
      return;
    }
    if (drawUnframed?.() === true) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      this.unframedResponses.add(response);
      response.on('close', () => this.unframedResponses.delete(response));
    }
    if (fault === 'cutBefore') {
      incoming.socket.destroy();
    } else if (fault === 'lieNotRun') {
      response.writeHead(503, { 'request-id': requestId, 'not-run': '1' }).end();
    } else if (fault !== 'silence') {
      this.serve(incoming, response, fault);
    }
  }
}

/** Returns the id of a request. */
export function getRequestId(incoming: IncomingMessage): string {
  return String(incoming.headers['request-id']);
}

/** Returns the headers that mark a response as authentic. */
export function makeSignedHeaders(requestId: string, contentType: string): Record<string, string> {
  return { 'request-id': requestId, 'response-stamp': 's', 'content-type': contentType };
}
