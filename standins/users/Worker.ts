import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { ObjectStore } from './ObjectStore.js';

/** What a worker does with a request out of turn. */
export type InjectedFault =
  'cutBefore' | 'cutWithin' | 'silence' | 'refuse' | 'lieNotRun' | 'foreign' | 'endEarly';

/** A run of a request. */
export interface WorkerRun {
  readonly requestId: string;
  readonly workerId: string;
  readonly service: string;
  readonly startedAtMs: number;
}

/** What workers are made of. */
export interface WorkerOptions {
  readonly workerId: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly store: ObjectStore;
  /** Told of each run. */
  readonly onRun: (run: WorkerRun) => void;
  /** Draws what to do with a request; nothing means to serve it. */
  readonly drawFault: () => InjectedFault | undefined;
}

/** Stand-in for one of the users' workers: serves requests, lists itself, drains, crashes. */
export abstract class Worker {
  /** When it reported that it leaves; undefined while it takes work. */
  drainingSinceMs: number | undefined;
  protected bornAtMs = Date.now();
  private isDown = false;
  private readonly server: Server = createServer((incoming, response) => this.take(incoming, response));

  /** @param options - What it is made of. */
  constructor(readonly options: WorkerOptions) {}

  async start(): Promise<void> {
    const { host, port } = this.options;
    await new Promise<void>((resolve) => {
      this.server.listen(port, host, resolve);
    });
    this.list();
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /**
   * Loses all that runs and is held, and answers nothing for a while.
   * @param downMs - For how long, in milliseconds.
   */
  crash(downMs: number): void {
    this.isDown = true;
    this.server.closeAllConnections();
    setTimeout(() => {
      this.isDown = false;
      this.bornAtMs = Date.now();
      this.forget();
      this.list();
    }, downMs);
  }

  /** Reports that it leaves, or takes work again. */
  setDraining(isDraining: boolean): void {
    this.drainingSinceMs = isDraining ? Date.now() : undefined;
    this.list();
  }

  /** Writes its entry. */
  protected list(): void {
    const { store, workerId, service, host, port } = this.options;
    store.put('servers', workerId, {
      Service: service,
      Address: `${host}:${port}`,
      Zone: 'z1',
      Slots: 16,
      State: this.drainingSinceMs === undefined ? 'ready' : 'draining',
      born: this.bornAtMs,
      ...this.describe(),
    });
  }

  /** Fields of the entry that only some workers have. */
  protected abstract describe(): Record<string, unknown>;

  /** Loses what is held. */
  protected abstract forget(): void;

  /** Takes a call that is no request of a caller; false when it is one. */
  protected abstract takeControl(incoming: IncomingMessage, response: ServerResponse, body: string): boolean;

  /** Why a request can't run here, if so. */
  protected abstract getRefusal(incoming: IncomingMessage): number | undefined;

  /** Serves a request that has begun to run. */
  protected abstract serve(incoming: IncomingMessage, response: ServerResponse, trick?: InjectedFault): void;

  private take(incoming: IncomingMessage, response: ServerResponse): void {
    if (this.isDown) {
      incoming.socket.destroy();
      return;
    }
    let body = '';
    incoming.on('data', (chunk: Buffer) => (body += chunk.toString()));
    incoming.on('end', () => {
      if (!this.takeControl(incoming, response, body)) {
        this.takeRequest(incoming, response);
      }
    });
  }

  private takeRequest(incoming: IncomingMessage, response: ServerResponse): void {
    const { workerId, service, onRun, drawFault } = this.options;
    const requestId = getRequestId(incoming);
    const isMisdirected = (incoming.headers['expect-instance'] ?? workerId) !== workerId;
    const refusal = isMisdirected ? 421 : this.getRefusal(incoming);
    const trick = drawFault();
    if (refusal !== undefined || trick === 'refuse') {
      const headers = { 'request-id': requestId, 'not-run': '1', 'instance-id': workerId };
      response.writeHead(refusal ?? 503, headers).end();
      return;
    }
    onRun({ requestId, workerId, service, startedAtMs: Date.now() });
    if (trick === 'cutBefore') {
      incoming.socket.destroy();
    } else if (trick === 'lieNotRun') {
      response.writeHead(503, { 'request-id': requestId, 'not-run': '1' }).end();
    } else if (trick !== 'silence') {
      this.serve(incoming, response, trick);
    }
  }
}

/** Id of a request. */
export function getRequestId(incoming: IncomingMessage): string {
  return String(incoming.headers['request-id']);
}

/** Headers by which a worker signs its answer to a request. */
export function makeSignedHeaders(requestId: string, contentType: string): Record<string, string> {
  return { 'request-id': requestId, 'response-stamp': 's', 'content-type': contentType };
}
