import type { IncomingMessage, ServerResponse } from 'node:http';
import { getRequestId, makeSignedHeaders, Worker, type InjectedFault } from './Worker.js';

/** Models that fit into a worker. */
export const PLACES = 2;
/** Events of a stream. */
const EVENT_COUNT = 6;
/** Time between two events, in milliseconds. */
const EVENT_MS = 12;
/** Time that a load takes, in milliseconds. */
const LOAD_MS = 150;

/** Stand-in for a model worker: holds models, carries out orders bound to their count, streams events. */
export class ModelWorker extends Worker {
  /** Most models that it ever held. */
  maxHeldModels = 0;
  private readonly adaptersByModel = new Map<string, Set<string>>();
  private orderCount = 0;
  private busyUntilMs = 0;
  private runningCount = 0;

  /** Models on the disk. */
  readonly models: readonly string[] = ['a', 'b', 'c', 'd'];

  protected override describe(): Record<string, unknown> {
    return { Models: this.held(), AtHand: { InMemory: [], OnDisk: this.models } };
  }

  protected override forget(): void {
    this.adaptersByModel.clear();
    this.orderCount = 0;
    this.busyUntilMs = 0;
    this.runningCount = 0;
  }

  protected override takeControl(incoming: IncomingMessage, response: ServerResponse, body: string): boolean {
    if (incoming.url === '/api/report') {
      response.end(
        JSON.stringify({
          ...this.describe(),
          Busy: Date.now() < this.busyUntilMs,
          Sequence: this.orderCount,
          InFlight: this.runningCount,
          born: this.bornAtMs,
        }),
      );
      return true;
    }
    if (incoming.url === '/api/order') {
      response.writeHead(this.order(JSON.parse(body) as Order)).end('{}');
      return true;
    }
    return false;
  }

  protected override getRefusal(incoming: IncomingMessage): number | undefined {
    const [model = '', adapter] = String(incoming.headers.model).split('/');
    const adapters = this.adaptersByModel.get(model);
    return adapters && (adapter === undefined || adapters.has(adapter)) ? undefined : 421;
  }

  protected override serve(incoming: IncomingMessage, response: ServerResponse, trick?: InjectedFault): void {
    const requestId = trick === 'foreign' ? 'another' : getRequestId(incoming);
    const last = trick === 'cutWithin' || trick === 'endEarly' ? EVENT_COUNT / 2 : EVENT_COUNT;
    let next = Number(incoming.headers['last-event-id'] ?? 0) + 1;
    this.runningCount++;
    response.on('close', () => this.runningCount--);
    response.writeHead(200, makeSignedHeaders(requestId, 'text/event-stream'));
    const step = () => {
      if (next <= last) {
        response.write(eventText(requestId, next++));
        setTimeout(step, EVENT_MS);
      } else if (trick === 'cutWithin') {
        response.write(eventText(requestId, next).slice(0, 9), () => incoming.socket.destroy());
      } else {
        response.end();
      }
    };
    step();
  }

  /** Carries out an order; gives the status. */
  private order(order: Order): number {
    if (Date.now() < this.busyUntilMs || order.Expect !== this.orderCount) {
      return 409;
    }
    const adapters = this.adaptersByModel.get(order.Model);
    if (order.Adapter !== undefined) {
      return adapters
        ? this.change(() => adapters[order.Op === 'load' ? 'add' : 'delete'](order.Adapter ?? ''))
        : 412;
    }
    if ((order.Op === 'load') === (adapters !== undefined)) {
      return 200;
    }
    if (order.Op === 'unload') {
      return this.change(() => this.adaptersByModel.delete(order.Model));
    }
    this.busyUntilMs = Date.now() + LOAD_MS;
    const { bornAtMs } = this;
    setTimeout(() => {
      if (bornAtMs === this.bornAtMs) {
        this.adaptersByModel.set(order.Model, new Set());
        this.maxHeldModels = Math.max(this.maxHeldModels, this.adaptersByModel.size);
        this.list();
      }
    }, LOAD_MS);
    return this.change(() => undefined);
  }

  private change(apply: () => unknown): number {
    apply();
    this.orderCount++;
    this.list();
    return 202;
  }

  private held(): { Name: string; Adapters: string[] }[] {
    return [...this.adaptersByModel].map(([Name, adapters]) => ({ Name, Adapters: [...adapters] }));
  }
}

/** An order, as it comes. */
interface Order {
  readonly Op: 'load' | 'unload';
  readonly Model: string;
  readonly Adapter?: string;
  readonly Expect: number;
}

function eventText(requestId: string, index: number): string {
  return `id: ${index}\ndata: ${requestId} ${index}\n\n`;
}

/** Whole stream of a request. */
export function streamText(requestId: string): string {
  let text = '';
  for (let index = 1; index <= EVENT_COUNT; index++) {
    text += eventText(requestId, index);
  }
  return text;
}
