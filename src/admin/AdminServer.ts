import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Service } from '../kernel/index.js';
import type { Metrics } from '../telemetry/index.js';
import {
  PortListener,
  secretsEqual,
  type ListenAddress,
  type PortListenerDependencies,
} from '../transport/index.js';

/** URL against which the targets of requests are resolved. */
const BASE_URL = 'http://localhost';

/** State of a process that the admin server exposes. */
export interface AdminSource {
  /** Whether the process is ready for requests. */
  isReady(): boolean;
  /** Returns the state of the process. */
  getStatus(): unknown;
  /**
   * Returns the state of one model; undefined when this process does not know it.
   * @param modelId - Id of the model.
   */
  explain(modelId: string): unknown;
}

/** HTTP server for operators; `/healthz` and `/readyz` need no credential, all other paths do. */
export class AdminServer implements Service {
  private readonly http: Server;
  private readonly listener: PortListener;

  /**
   * @param address - Address to listen on.
   * @param token - Bearer token that operators send.
   * @param metrics - Metrics of the process.
   * @param source - State of the process.
   * @param listenerDeps - Dependencies of the listener.
   */
  constructor(
    address: ListenAddress,
    private readonly token: string,
    private readonly metrics: Metrics,
    private readonly source: AdminSource,
    listenerDeps: PortListenerDependencies,
  ) {
    this.http = createServer((request, response) => this.serve(request, response));
    this.listener = new PortListener(this.http, address, 'admin', listenerDeps);
  }

  async start(): Promise<void> {
    await this.listener.start();
  }

  async stop(): Promise<void> {
    this.http.closeAllConnections();
    await new Promise((resolve) => this.http.close(resolve));
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const target = request.url ?? '/';
    if (!URL.canParse(target, BASE_URL)) {
      response.writeHead(400).end('The target of the request is not a URL.\n');
      return;
    }
    const url = new URL(target, BASE_URL);
    if (url.pathname === '/healthz') {
      response.writeHead(200).end('ok\n');
      return;
    }
    if (url.pathname === '/readyz') {
      const isReady = this.source.isReady();
      response.writeHead(isReady ? 200 : 503).end(isReady ? 'ready\n' : 'not ready\n');
      return;
    }
    if (!secretsEqual(request.headers.authorization ?? '', `Bearer ${this.token}`)) {
      response.writeHead(401).end('The Authorization header must be "Bearer" and the admin token.\n');
      return;
    }
    this.serveAuthenticated(url, response);
  }

  private serveAuthenticated(url: URL, response: ServerResponse): void {
    switch (url.pathname) {
      case '/metrics':
        response
          .writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
          .end(this.metrics.toPrometheusText());
        return;
      case '/status':
        sendJson(response, this.source.getStatus());
        return;
      case '/explain':
        sendJson(response, this.source.explain(url.searchParams.get('model') ?? ''));
        return;
      default:
        response
          .writeHead(404)
          .end('Allowed are /healthz, /readyz, /metrics, /status and /explain?model=NAME.\n');
    }
  }
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.writeHead(value === undefined ? 404 : 200, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value ?? { error: 'unknown to this process' }));
}
