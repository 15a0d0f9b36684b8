import type { IncomingMessage } from 'node:http';
import { JsonHttpServer, sleep, type JsonResponse } from './JsonHttpServer.js';

/** Stand-in for a plain service with non-idempotent requests, which counts the executions of each order. */
export class OrderServiceStandIn {
  /** Number of executions by the `reference` in the order. */
  readonly executions = new Map<string, number>();
  private readonly server = new JsonHttpServer((request, url, body) =>
    this.handleRequest(request, url, body),
  );

  /** @param workMs - Time to execute one order, in milliseconds. */
  constructor(private readonly workMs: number) {}

  /** Highest number of executions of a single order. */
  get maxExecutions(): number {
    return Math.max(0, ...this.executions.values());
  }

  /**
   * Starts the service and returns its port.
   * @param port - Port to listen on; 0 selects a free one.
   */
  async start(port = 0): Promise<number> {
    return this.server.start(port);
  }

  async stop(): Promise<void> {
    await this.server.stop();
  }

  private async handleRequest(_request: IncomingMessage, url: URL, body: string): Promise<JsonResponse> {
    if (url.pathname === '/state') {
      return { status: 200, body: { bootId: 'order-service', slotCount: 16 } };
    }
    if (url.pathname === '/executions') {
      return { status: 200, body: Object.fromEntries(this.executions) };
    }
    const order = JSON.parse(body) as { reference: string };
    const executionCount = (this.executions.get(order.reference) ?? 0) + 1;
    this.executions.set(order.reference, executionCount);
    await sleep(this.workMs);
    return { status: 201, body: { reference: order.reference, execution: executionCount } };
  }
}
