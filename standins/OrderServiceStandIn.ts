import type { IncomingMessage } from 'node:http';
import { JsonHttp, sleep, type JsonReply } from './JsonHttp.js';

/** Stand-in for a plain service whose calls may not be repeated; it counts what it executed. */
export class OrderServiceStandIn {
  /** Executions by the order's own reference. */
  readonly executions = new Map<string, number>();
  private readonly http = new JsonHttp((request, url, body) => this.handle(request, url, body));

  /** @param workMs - Time one order takes, in milliseconds. */
  constructor(private readonly workMs: number) {}

  /** Most executions of any one order. */
  get maxExecutions(): number {
    return Math.max(0, ...this.executions.values());
  }

  /** @param port - Port; 0 for a free one. */
  async start(port = 0): Promise<number> {
    return this.http.start(port);
  }

  async stop(): Promise<void> {
    await this.http.stop();
  }

  private async handle(_request: IncomingMessage, url: URL, body: string): Promise<JsonReply> {
    if (url.pathname === '/state') {
      return { status: 200, body: { bootId: 'order-service', slotCount: 16 } };
    }
    if (url.pathname === '/executions') {
      return { status: 200, body: Object.fromEntries(this.executions) };
    }
    const order = JSON.parse(body) as { reference: string };
    const count = (this.executions.get(order.reference) ?? 0) + 1;
    this.executions.set(order.reference, count);
    await sleep(this.workMs);
    return { status: 201, body: { reference: order.reference, execution: count } };
  }
}
