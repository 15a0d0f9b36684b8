import { delay, type Clock } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { PlannedOrder, ResidencyPlanner } from './decisions/index.js';
import type { EnginePort, OrderResult } from './EnginePort.js';

/** Timeout of a request for an adapter, in milliseconds; a load takes about 10 ms. */
const ADAPTER_TIMEOUT_MS = 400;
/** Interval at which a pending adapter is polled, in milliseconds. */
const ADAPTER_POLL_MS = 4;

/** Dependencies of {@link EngineOrders}. */
export interface EngineOrdersDependencies {
  readonly clock: Clock;
  readonly engine: EnginePort;
  readonly planner: ResidencyPlanner;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Reads the engine's state and applies it to the planner. */
  readonly readEngine: () => Promise<void>;
}

/** Sends the orders for models and adapters to one engine, one at a time. */
export class EngineOrders {
  private lastOrder: Promise<unknown> = Promise.resolve();
  private loadingSinceMs = 0;
  private acceptedLoad: string | undefined;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: EngineOrdersDependencies) {}

  /** Model whose load the engine has accepted last; undefined when the engine is idle. */
  get loadingModel(): string | undefined {
    return this.acceptedLoad;
  }

  /**
   * Returns the time since that load was accepted, in milliseconds.
   * @param nowMs - Current time.
   */
  getLoadingForMs(nowMs: number): number {
    return nowMs - this.loadingSinceMs;
  }

  /** Records that the engine carries out no order. */
  onIdle(): void {
    this.acceptedLoad = undefined;
  }

  /** Sends the next order for a model, if there is one. */
  async orderModel(): Promise<void> {
    const { clock, planner } = this.deps;
    if (planner.getNextOrder(clock.nowMs())) {
      // Orders for adapters that are sent before it may change what fits, so that the decision is made when they are over.
      await this.runExclusively(async () => {
        const order = planner.getNextOrder(clock.nowMs());
        if (order) {
          await this.sendOrder(order);
        }
      });
    }
  }

  /**
   * Makes an adapter of a model ready; resolves with whether it is ready.
   * @param model - Model that the engine holds.
   * @param adapter - The adapter.
   */
  async ensureAdapter(model: string, adapter: string): Promise<boolean> {
    const { clock, planner, readEngine } = this.deps;
    const untilMs = clock.nowMs() + ADAPTER_TIMEOUT_MS;
    planner.recordAdapterUse(model, adapter, clock.nowMs());
    while (clock.nowMs() < untilMs) {
      const state = this.getAdapterState(model, adapter);
      if (state === 'ready' || state === 'modelGone') {
        return state === 'ready';
      }
      if (state === 'absent' && planner.engineReport?.isBusy !== true) {
        await this.runExclusively(() => this.orderAdapter(model, adapter));
      } else {
        await delay(clock, ADAPTER_POLL_MS);
        await readEngine();
      }
    }
    return false;
  }

  private async orderAdapter(model: string, adapter: string): Promise<void> {
    const { clock, planner, readEngine } = this.deps;
    const order =
      this.getAdapterState(model, adapter) === 'absent'
        ? planner.getAdapterOrder(model, adapter, clock.nowMs())
        : undefined;
    const result = order && (await this.sendOrder(order));
    if (result !== 'accepted' && result !== 'alreadyDone') {
      await delay(clock, ADAPTER_POLL_MS);
      await readEngine();
    }
  }

  private getAdapterState(model: string, adapter: string): 'ready' | 'coming' | 'absent' | 'modelGone' {
    const engine = this.deps.planner.engineReport;
    const held = engine?.heldModels.find(({ name }) => name === model);
    if (!engine || !held) {
      return 'modelGone';
    }
    if (held.adapters.includes(adapter)) {
      return 'ready';
    }
    return engine.comingAdapters.includes(`${model}/${adapter}`) ? 'coming' : 'absent';
  }

  /** Sends one order. */
  private async sendOrder(order: PlannedOrder): Promise<OrderResult> {
    const { clock, engine, log, metrics, planner, readEngine } = this.deps;
    const result = await engine.sendOrder(order);
    metrics.count(`orders_${order.kind}_${result}`);
    log.decision('order', {
      kind: order.kind,
      model: order.model,
      adapter: order.adapter ?? '',
      expectedOrderCount: order.expectedOrderCount,
      answer: result,
    });
    if (result === 'accepted' && order.adapter === undefined) {
      if (order.kind === 'load') {
        this.acceptedLoad = order.model;
        this.loadingSinceMs = clock.nowMs();
      } else {
        planner.markUnloading(order.model);
      }
    }
    await readEngine();
    return result;
  }

  /** Decides on and sends orders one at a time, since each is conditional on the state after the previous one. */
  private runExclusively<T>(run: () => Promise<T>): Promise<T> {
    const result = this.lastOrder.then(run);
    this.lastOrder = result.catch(() => undefined);
    return result;
  }
}
