import { createServer, type Server } from 'node:http';
import type { Service } from '../kernel/index.js';
import { PortListener, type ListenAddress, type PortListenerDependencies } from '../transport/index.js';
import type { Metrics } from './Metrics.js';

/** Serves the metrics of a process over HTTP in the Prometheus text format. */
export class MetricsServer implements Service {
  private readonly http: Server;
  private readonly listener: PortListener;

  /**
   * @param address - Address to listen on.
   * @param metrics - Metrics of the process.
   * @param deps - Dependencies of the listener.
   */
  constructor(address: ListenAddress, metrics: Metrics, deps: PortListenerDependencies) {
    this.http = createServer((_request, response) => {
      const text = metrics.toPrometheusText();
      response.writeHead(200, { 'Content-Type': 'text/plain', 'Content-Length': Buffer.byteLength(text) });
      response.end(text);
    });
    this.listener = new PortListener(this.http, address, 'metrics', deps);
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
