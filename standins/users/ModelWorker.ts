import type { IncomingMessage, ServerResponse } from 'node:http';
import { getRequestId, makeSignedHeaders, Worker, type InjectedFault } from './Worker.js';

/** Number of models that fit into the memory of a worker. */
export const MAX_HELD_MODELS = 2;
/** Number of events in a stream. */
const EVENT_COUNT = 6;
/** Time between two events of a stream, in milliseconds. */
const EVENT_INTERVAL_MS = 30;
/** Duration of a model load, in milliseconds. */
const LOAD_MS = 150;

/** Stand-in for a model worker: holds models, executes orders that match its order count, and streams events. */
export class ModelWorker extends Worker {
  /** Largest number of models held at the same time since the start. */
  maxHeldModels = 0;
  private readonly adaptersByModel = new Map<string, Set<string>>();
  private orderCount = 0;
  private isLoading = false;
  private runningCount = 0;

  /** Names of the models on the worker's disk. */
  readonly models: readonly string[] = ['a', 'b', 'c', 'd'];

  protected override getEntryFields(): Record<string, unknown> {
    return { Models: this.getHeldModels(), AtHand: { InMemory: [], OnDisk: this.models } };
  }

  protected override clearState(): void {
    this.adaptersByModel.clear();
    this.orderCount = 0;
    this.isLoading = false;
    this.runningCount = 0;
  }

  protected override handleControlRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): boolean {
    if (incoming.url === '/api/report') {
      response.end(
        JSON.stringify({
          ...this.getEntryFields(),
          Busy: this.isLoading,
          Sequence: this.orderCount,
          InFlight: this.runningCount,
          born: this.bornAtMs,
        }),
      );
      return true;
    }
    if (incoming.url === '/api/order') {
      response.writeHead(this.executeOrder(JSON.parse(body) as OrderBody)).end('{}');
      return true;
    }
    return false;
  }

  protected override getRefusalStatus(incoming: IncomingMessage): number | undefined {
    const [model = '', adapter] = String(incoming.headers.model).split('/');
    const adapters = this.adaptersByModel.get(model);
    return adapters && (adapter === undefined || adapters.has(adapter)) ? undefined : 421;
  }

  protected override serve(incoming: IncomingMessage, response: ServerResponse, fault?: InjectedFault): void {
    const requestId = fault === 'foreign' ? 'another' : getRequestId(incoming);
    const lastIndex = fault === 'cutWithin' || fault === 'endEarly' ? EVENT_COUNT / 2 : EVENT_COUNT;
    let nextIndex = Number(incoming.headers['last-event-id'] ?? 0) + 1;
    this.runningCount++;
    response.on('close', () => this.runningCount--);
    // Without events, the end of a stream can't be told from a failure unless it has a length.
    const isEmpty = fault === undefined && nextIndex > lastIndex;
    response.writeHead(200, {
      ...makeSignedHeaders(requestId, 'text/event-stream'),
      ...(isEmpty ? { 'content-length': '0' } : {}),
    });
    const sendNextEvent = () => {
      if (nextIndex <= lastIndex) {
        response.write(formatEvent(requestId, nextIndex++));
        setTimeout(() => this.runUnstalled(sendNextEvent), EVENT_INTERVAL_MS);
      } else if (fault === 'cutWithin') {
        response.write(formatEvent(requestId, nextIndex).slice(0, 9), () => incoming.socket.destroy());
      } else {
        response.end();
      }
    };
    sendNextEvent();
  }

  /** Executes an order and returns the HTTP status. */
  private executeOrder(order: OrderBody): number {
    if (this.isLoading || order.Expect !== this.orderCount) {
      return 409;
    }
    const adapters = this.adaptersByModel.get(order.Model);
    if (order.Adapter !== undefined) {
      return adapters
        ? this.acceptOrder(() => adapters[order.Op === 'load' ? 'add' : 'delete'](order.Adapter ?? ''))
        : 412;
    }
    if ((order.Op === 'load') === (adapters !== undefined)) {
      return 200;
    }
    if (order.Op === 'unload') {
      return this.acceptOrder(() => this.adaptersByModel.delete(order.Model));
    }
    this.isLoading = true;
    const { bornAtMs } = this;
    setTimeout(() => {
      this.runUnstalled(() => {
        if (bornAtMs === this.bornAtMs) {
          this.finishLoad(order.Model);
        }
      });
    }, LOAD_MS);
    return this.acceptOrder(() => undefined);
  }

  private finishLoad(model: string): void {
    this.isLoading = false;
    this.adaptersByModel.set(model, new Set());
    this.maxHeldModels = Math.max(this.maxHeldModels, this.adaptersByModel.size);
    this.publishEntry();
  }

  /** Applies the change of an accepted order, counts the order and returns the HTTP status. */
  private acceptOrder(apply: () => unknown): number {
    apply();
    this.orderCount++;
    this.publishEntry();
    return 202;
  }

  private getHeldModels(): { Name: string; Adapters: string[] }[] {
    return [...this.adaptersByModel].map(([Name, adapters]) => ({ Name, Adapters: [...adapters] }));
  }
}

/** Body of an order request. */
interface OrderBody {
  readonly Op: 'load' | 'unload';
  readonly Model: string;
  readonly Adapter?: string;
  readonly Expect: number;
}

function formatEvent(requestId: string, index: number): string {
  return `id: ${index}\ndata: ${requestId} ${index}\n\n`;
}

/** Returns the complete event stream of a request. */
export function makeStreamText(requestId: string): string {
  let text = '';
  for (let index = 1; index <= EVENT_COUNT; index++) {
    text += formatEvent(requestId, index);
  }
  return text;
}
