import { createServer, type Server } from 'node:http';
import type { Service } from '../kernel/index.js';
import { listenOrThrow, type ListenAddress } from '../transport/index.js';

/** Responds to the balancer's readiness checks. */
export class ReadinessServer implements Service {
  private readonly http: Server;

  /**
   * @param address - Address to which the balancer sends its checks.
   * @param isReady - Returns whether this instance accepts callers.
   */
  constructor(
    private readonly address: ListenAddress,
    isReady: () => boolean,
  ) {
    this.http = createServer((_request, response) => {
      response.writeHead(isReady() ? 200 : 503, { 'Content-Length': 0 }).end();
    });
  }

  async start(): Promise<void> {
    await listenOrThrow(this.http, this.address, 'readiness');
  }

  stop(): Promise<void> {
    this.http.closeAllConnections();
    this.http.close();
    return Promise.resolve();
  }
}
