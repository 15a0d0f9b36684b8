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
/** Duration of the load of an adapter, in milliseconds. */
const ADAPTER_LOAD_MS = 10;
/** Number of adapters that a worker holds and loads at the same time. */
const MAX_HELD_ADAPTERS = 4;
/** Number of adapters that may be loading at the same time. */
const MAX_COMING_ADAPTERS = 4;
/** Time for which a worker is down that was ordered to load more than it holds, in milliseconds. */
const OVERLOAD_DOWN_MS = 500;

/**
 * Stand-in for a model worker: holds models, executes orders whose conditions it meets, streams events, and crashes when it
 * is ordered to load more than it holds.
 */
export class ModelWorker extends Worker {
  /** Largest number of models held or ordered at the same time since the start. */
  maxHeldModels = 0;
  /** Number of orders to load more than the worker holds since the start. */
  overloadCount = 0;
  /** Number of orders with a lower fencing token than an earlier one that the same incarnation has carried out. */
  loweredFenceCount = 0;
  /** Orders without an answer that are not carried out yet. */
  private readonly lateOrders = new Set<LateOrder>();
  /** Adapters that are loading, as `model/adapter`. */
  private readonly comingAdapters = new Set<string>();
  private highestFence = 0;
  private readonly adaptersByModel = new Map<string, Set<string>>();
  private orderCount = 0;
  private isLoading = false;
  private runningCount = 0;

  /** Names of the models on the worker's disk. */
  readonly models: readonly string[] = ['a', 'b', 'c', 'd'];

  /** Loaded models with their loaded adapters, as in the entry. */
  get heldModels(): { readonly Name: string; readonly Adapters: readonly string[] }[] {
    return [...this.adaptersByModel].map(([Name, adapters]) => ({ Name, Adapters: [...adapters] }));
  }

  protected override getEntryFields(): Record<string, unknown> {
    return { Models: this.heldModels, AtHand: { InMemory: [], OnDisk: this.models } };
  }

  protected override clearState(): void {
    this.adaptersByModel.clear();
    this.comingAdapters.clear();
    this.orderCount = 0;
    this.highestFence = 0;
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
          Coming: [...this.comingAdapters].map((adapter) => `${adapter}@1`),
          Sequence: this.orderCount,
          InFlight: this.runningCount,
          born: this.bornAtMs,
        }),
      );
      return true;
    }
    if (incoming.url === '/api/order') {
      const order = JSON.parse(body) as OrderBody;
      this.receiveOrder(order, incoming.headers['expect-instance']?.toString(), response);
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

  /** Carries out all orders without an answer now. */
  carryOutLateOrders(): void {
    for (const lateOrder of this.lateOrders) {
      this.lateOrders.delete(lateOrder);
      if (!this.isDown) {
        this.executeOrder(lateOrder.order, lateOrder.expectedInstance);
      }
    }
  }

  /** Number of orders without an answer that are not carried out yet. */
  get lateOrderCount(): number {
    return this.lateOrders.size;
  }

  private receiveOrder(
    order: OrderBody,
    expectedInstance: string | undefined,
    response: ServerResponse,
  ): void {
    if ((order.Fence ?? 0) < this.highestFence) {
      this.loweredFenceCount++;
    }
    const lateMs = this.options.drawLateMs?.();
    if (lateMs === undefined) {
      response.writeHead(this.executeOrder(order, expectedInstance)).end('{}');
      return;
    }
    const lateOrder = { order, expectedInstance };
    this.lateOrders.add(lateOrder);
    if (Number.isFinite(lateMs)) {
      setTimeout(() => {
        if (this.lateOrders.delete(lateOrder) && !this.isDown) {
          this.executeOrder(order, expectedInstance);
        }
      }, lateMs);
    }
  }

  /** Executes an order and returns the HTTP status. */
  private executeOrder(order: OrderBody, expectedInstance: string | undefined): number {
    if (expectedInstance !== undefined && expectedInstance !== this.instanceId) {
      return 421;
    }
    const fence = order.Fence ?? 0;
    if (fence < this.highestFence && this.options.ignoresFences !== true) {
      return 412;
    }
    this.highestFence = Math.max(this.highestFence, fence);
    const { Op, Model, Adapter } = order;
    const adapters = this.adaptersByModel.get(Model);
    const isHeld =
      Adapter === undefined
        ? adapters !== undefined
        : adapters?.has(Adapter) === true || this.comingAdapters.has(`${Model}/${Adapter}`);
    if ((Op === 'load') === isHeld) {
      return 200;
    }
    if (this.isLoading || order.Expect !== this.orderCount) {
      return 409;
    }
    if (Adapter !== undefined) {
      return adapters ? this.changeAdapter(order, Adapter, adapters) : 400;
    }
    if (Op === 'unload') {
      return this.acceptOrder(() => this.adaptersByModel.delete(Model));
    }
    this.maxHeldModels = Math.max(this.maxHeldModels, this.adaptersByModel.size + 1);
    if (this.adaptersByModel.size >= MAX_HELD_MODELS) {
      return this.overload();
    }
    this.isLoading = true;
    this.finishLater(LOAD_MS, () => this.finishLoad(Model));
    return this.acceptOrder(() => undefined);
  }

  private changeAdapter({ Op, Model }: OrderBody, adapter: string, adapters: Set<string>): number {
    if (Op === 'unload') {
      return this.acceptOrder(() => adapters.delete(adapter));
    }
    if (this.comingAdapters.size >= MAX_COMING_ADAPTERS) {
      return 409;
    }
    let adapterCount = this.comingAdapters.size;
    for (const held of this.adaptersByModel.values()) {
      adapterCount += held.size;
    }
    if (adapterCount >= MAX_HELD_ADAPTERS) {
      return this.overload();
    }
    const name = `${Model}/${adapter}`;
    this.finishLater(ADAPTER_LOAD_MS, () => {
      this.comingAdapters.delete(name);
      adapters.add(adapter);
      this.publishEntry();
    });
    return this.acceptOrder(() => this.comingAdapters.add(name));
  }

  /** Accepts an order to load more than the worker holds, which ends its process. */
  private overload(): number {
    this.overloadCount++;
    setImmediate(() => this.crash(OVERLOAD_DOWN_MS));
    return 202;
  }

  /** Applies a change after a time, unless the worker is another incarnation by then. */
  private finishLater(delayMs: number, change: () => void): void {
    const { bornAtMs } = this;
    setTimeout(() => {
      this.runUnstalled(() => {
        if (bornAtMs === this.bornAtMs) {
          change();
        }
      });
    }, delayMs);
  }

  private finishLoad(model: string): void {
    this.isLoading = false;
    this.adaptersByModel.set(model, new Set());
    this.publishEntry();
  }

  /** Applies the change of an accepted order, counts the order and returns the HTTP status. */
  private acceptOrder(apply: () => unknown): number {
    apply();
    this.orderCount++;
    this.publishEntry();
    return 202;
  }
}

/** Body of an order request. */
interface OrderBody {
  readonly Op: 'load' | 'unload';
  readonly Model: string;
  readonly Adapter?: string;
  readonly Expect: number;
  readonly Fence?: number;
}

/** Order without an answer that is carried out later. */
interface LateOrder {
  readonly order: OrderBody;
  readonly expectedInstance: string | undefined;
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
