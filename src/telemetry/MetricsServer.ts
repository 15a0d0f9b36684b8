import { createServer, type Server } from 'node:http';
import type { Service } from '../kernel/index.js';
import { listenOrThrow, type ListenAddress } from '../transport/index.js';
import type { Metrics } from './Metrics.js';

/** Serves the metrics of a process over HTTP in the Prometheus text format. */
export class MetricsServer implements Service {
  private readonly http: Server;

  /**
   * @param address - Address to listen on.
   * @param metrics - Metrics of the process.
   */
  constructor(
    private readonly address: ListenAddress,
    metrics: Metrics,
  ) {
    this.http = createServer((_request, response) => {
      const text = metrics.toPrometheusText();
      response.writeHead(200, { 'Content-Type': 'text/plain', 'Content-Length': Buffer.byteLength(text) });
      response.end(text);
    });
  }

  async start(): Promise<void> {
    await listenOrThrow(this.http, this.address, 'metrics');
  }

  stop(): Promise<void> {
    this.http.closeAllConnections();
    this.http.close();
    return Promise.resolve();
  }
}
