import { delay, type Clock } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import {
  EngineIdentity,
  OrderGate,
  type EngineReport,
  type PlannedOrder,
  type ResidencyPlanner,
} from './decisions/index.js';
import type { EnginePort, OrderResult } from './EnginePort.js';

/** Timeout of a request for an adapter, in milliseconds; a load takes about 10 ms. */
const ADAPTER_TIMEOUT_MS = 400;
/** Interval at which a pending adapter is polled, in milliseconds. */
const ADAPTER_POLL_MS = 4;
/** Time for which an order for a model waits for a report that it may be based on, in milliseconds; reports lag less. */
const FRESH_REPORT_TIMEOUT_MS = 500;
/** Interval at which the engine's state is read meanwhile, in milliseconds. */
const FRESH_REPORT_POLL_MS = 10;

/** Dependencies of {@link EngineOrders}. */
export interface EngineOrdersDependencies {
  readonly clock: Clock;
  readonly engine: EnginePort;
  readonly planner: ResidencyPlanner;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Applies a report to the planner; called for each reading, with undefined if the engine did not respond. */
  readonly onReading: (report: EngineReport | undefined) => void;
}

/** Reads the state of one engine and sends it the orders for models and adapters, one at a time. */
export class EngineOrders {
  private readonly gate = new OrderGate();
  private readonly identity = new EngineIdentity();
  /** Reading that is under way. */
  private reading: Promise<EngineReport | undefined> | undefined;
  /** Last request for the engine's ID. */
  private identifying: Promise<void> = Promise.resolve();
  private healthPath: string | undefined;
  /** Whether an order for a model waits; requests for adapters start no orders meanwhile. */
  private isModelOrderDue = false;
  private lastOrder: Promise<unknown> = Promise.resolve();
  /** Number of orders under way and waiting; requests queue behind them, so that the next one follows without a delay. */
  private exclusiveCount = 0;
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

  /**
   * Sets the path at which the engine tells the ID of its incarnation.
   * @param healthPath - Path of health checks of its service.
   */
  setHealthPath(healthPath: string): void {
    this.healthPath = healthPath;
  }

  /** Reads the engine's state; callers at the same time share one reading. */
  read(): Promise<EngineReport | undefined> {
    this.reading ??= this.startReading();
    return this.reading;
  }

  /** Sends the next order for a model, if there is one. */
  async orderModel(): Promise<void> {
    const { clock, planner } = this.deps;
    if (!this.gate.isEnginePresent) {
      planner.expire(clock.nowMs());
      return;
    }
    if (!planner.getNextOrder(clock.nowMs())) {
      return;
    }
    this.isModelOrderDue = true;
    try {
      await this.runExclusively(async () => {
        await this.waitForIdentity();
        await this.waitForFreshReport();
        // Orders for adapters that were sent before it may have changed what fits.
        const order = this.gate.isOpen(clock.nowMs()) ? planner.getNextOrder(clock.nowMs()) : undefined;
        if (order) {
          await this.sendOrder(order);
        }
      });
    } finally {
      this.isModelOrderDue = false;
    }
  }

  /**
   * Makes an adapter of a model ready; resolves with whether it is ready.
   * @param model - Model that the engine holds.
   * @param adapter - The adapter.
   */
  async ensureAdapter(model: string, adapter: string): Promise<boolean> {
    const { clock, planner } = this.deps;
    const untilMs = clock.nowMs() + ADAPTER_TIMEOUT_MS;
    planner.recordAdapterUse(model, adapter, clock.nowMs());
    while (clock.nowMs() < untilMs) {
      const state = planner.getAdapterState(model, adapter);
      if (state === 'ready') {
        planner.recordAdapterUse(model, adapter, clock.nowMs());
        return true;
      }
      if (state === 'modelGone') {
        return false;
      }
      const mayOrder = state === 'absent' && planner.engineReport?.isBusy !== true;
      const isOrdered =
        mayOrder &&
        (this.gate.isOpen(clock.nowMs()) || this.exclusiveCount > 0) &&
        !this.isModelOrderDue &&
        (await this.runExclusively(() => this.orderAdapter(model, adapter)));
      if (!isOrdered) {
        await delay(clock, ADAPTER_POLL_MS);
        await this.read();
      }
    }
    return false;
  }

  /** Sends the next order on the way to an adapter, if there is one; resolves with whether the engine has followed it. */
  private async orderAdapter(model: string, adapter: string): Promise<boolean> {
    const { clock, planner } = this.deps;
    await this.waitForIdentity();
    const mayOrder = this.gate.isOpen(clock.nowMs()) && planner.getAdapterState(model, adapter) === 'absent';
    const order = mayOrder ? planner.getAdapterOrder(model, adapter, clock.nowMs()) : undefined;
    const result = order && (await this.sendOrder(order));
    return result === 'accepted' || result === 'alreadyDone';
  }

  /** Sends one order. */
  private async sendOrder(order: PlannedOrder): Promise<OrderResult> {
    const { clock, engine, log, metrics, planner } = this.deps;
    const conditions = this.identity.getConditions(order.bornAtMs);
    const adapterToUnload = order.kind === 'unload' ? order.adapter : undefined;
    if (adapterToUnload !== undefined) {
      planner.markAdapterUnloading(order.model, adapterToUnload, clock.nowMs());
    }
    this.gate.beginOrder();
    let result: OrderResult = 'unknown';
    try {
      result = await engine.sendOrder({ ...order, ...conditions });
    } finally {
      const outcome = result === 'accepted' || result === 'conflict' ? result : 'other';
      this.gate.endOrder(order, outcome, clock.nowMs());
    }
    metrics.count(`orders_${order.kind}_${result}`);
    log.decision('order', {
      kind: order.kind,
      model: order.model,
      adapter: order.adapter ?? '',
      expectedOrderCount: order.expectedOrderCount,
      instanceId: conditions.instanceId ?? '',
      fenceNumber: conditions.fenceNumber,
      answer: result,
    });
    if (adapterToUnload !== undefined && result !== 'accepted' && result !== 'alreadyDone') {
      planner.unmarkAdapterUnloading(order.model, adapterToUnload);
    }
    if (result === 'accepted' && order.adapter === undefined) {
      if (order.kind === 'load') {
        this.acceptedLoad = order.model;
        this.loadingSinceMs = clock.nowMs();
      } else {
        planner.markUnloading(order.model);
      }
    }
    if (result === 'otherInstance') {
      this.identity.onOtherInstance();
    }
    // A reading that began before the end of the order may not show its outcome.
    this.reading = this.startReading();
    await this.reading;
    return result;
  }

  private startReading(): Promise<EngineReport | undefined> {
    const reading: Promise<EngineReport | undefined> = this.readOnce().finally(() => {
      if (this.reading === reading) {
        this.reading = undefined;
      }
    });
    return reading;
  }

  private async readOnce(): Promise<EngineReport | undefined> {
    const { clock, engine, onReading } = this.deps;
    const reading = this.gate.beginReading(clock.nowMs());
    const report = await engine.readReport();
    if (this.gate.endReading(reading, report)) {
      onReading(report);
      if (report) {
        this.identity.applyReport(report.bornAtMs);
        this.identifyIfDue();
      }
    }
    return report;
  }

  private identifyIfDue(): void {
    const { healthPath } = this;
    if (healthPath !== undefined && this.identity.shouldAsk(this.deps.clock.nowMs())) {
      this.identifying = this.identify(healthPath);
    }
  }

  /** Asks the engine for its ID; a report after the answer shows which incarnation has answered. */
  private async identify(healthPath: string): Promise<void> {
    const { clock, engine, log } = this.deps;
    const askedBornAtMs = this.identity.beginAsking();
    let instanceId: string | undefined;
    let report: EngineReport | undefined;
    try {
      instanceId = await engine.readInstanceId(healthPath);
      report = instanceId === undefined ? undefined : await this.startReading();
    } catch (error) {
      log.warn('engine not identified', { error: String(error) });
    }
    this.identity.endAsking(report?.bornAtMs, instanceId, askedBornAtMs, clock.nowMs());
    log.info('engine asked for its ID', { bornAtMs: askedBornAtMs ?? 0, instanceId: instanceId ?? '' });
  }

  private async waitForIdentity(): Promise<void> {
    this.identifyIfDue();
    if (this.identity.isAwaited) {
      await this.identifying;
    }
  }

  /** Waits until an order may be decided on, the engine does not respond, or a time has passed. */
  private async waitForFreshReport(): Promise<void> {
    const { clock } = this.deps;
    const untilMs = clock.nowMs() + FRESH_REPORT_TIMEOUT_MS;
    while (!this.gate.isOpen(clock.nowMs()) && this.gate.isEnginePresent && clock.nowMs() < untilMs) {
      await delay(clock, FRESH_REPORT_POLL_MS);
      await this.read();
    }
  }

  /** Decides on and sends orders one at a time, since each is conditional on the state after the previous one. */
  private runExclusively<T>(run: () => Promise<T>): Promise<T> {
    this.exclusiveCount++;
    const result = this.lastOrder.then(run).finally(() => this.exclusiveCount--);
    this.lastOrder = result.catch(() => undefined);
    return result;
  }
}
