import { createServer, type Server } from 'node:http';
import type { Service } from '../kernel/index.js';
import { PortListener, type ListenAddress, type PortListenerDependencies } from '../transport/index.js';

/** Responds to the balancer's readiness checks. */
export class ReadinessServer implements Service {
  private readonly http: Server;
  private readonly listener: PortListener;

  /**
   * @param address - Address to which the balancer sends its checks.
   * @param isReady - Returns whether this instance accepts callers.
   * @param deps - Dependencies of the listener.
   */
  constructor(address: ListenAddress, isReady: () => boolean, deps: PortListenerDependencies) {
    this.http = createServer((_request, response) => {
      response.writeHead(isReady() ? 200 : 503, { 'Content-Length': 0 }).end();
    });
    this.listener = new PortListener(this.http, address, 'readiness', deps);
  }

  async start(): Promise<void> {
    await this.listener.start();
  }

  cancelStart(): void {
    this.listener.stop();
  }

  stop(): Promise<void> {
    this.listener.stop();
    this.http.closeAllConnections();
    this.http.close();
    return Promise.resolve();
  }
}
