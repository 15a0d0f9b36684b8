import {
  EnginePort,
  type EngineReport,
  type OrderResult,
  type ResidencyOrder,
} from '../../src/direct/index.js';
import { delay, SystemClock } from '../../src/kernel/index.js';
import { IDLE_ENGINE } from './fleetFixtures.js';

const CLOCK = new SystemClock();
/** Time to load an adapter, in milliseconds. */
const ADAPTER_LOAD_MS = 15;
/** Time to load or unload a model, in milliseconds. */
const MODEL_ORDER_MS = 40;

/** Sizes of an engine and of what it loads, in MB. */
export interface StrictEngineSizes {
  readonly weightsMb: number;
  readonly modelMb: number;
  readonly adapterMb: number;
  readonly adapterSlotCount: number;
}

/** Engine that checks the conditions of orders as the protocol says and records each order beyond what it holds. */
export class StrictEngine extends EnginePort {
  /** Loaded adapters of each loaded model. */
  readonly held = new Map<string, Set<string>>();
  /** Adapters that are being loaded, as `model/adapter`. */
  readonly coming = new Set<string>();
  /** All orders received, with the time of their arrival in milliseconds. */
  readonly received: (ResidencyOrder & { readonly atMs: number })[] = [];
  /** Orders to load more than the engine holds. */
  readonly overloads: string[] = [];
  bornAtMs = 1_000_000;
  isUp = true;
  /** Time between the arrival of an order and its execution, in milliseconds. */
  executionDelayMs = 0;
  /** Age of the state in reports, in milliseconds. */
  reportLagMs = 0;
  /** Time that the unload of an adapter waits for the requests that use it, in milliseconds. */
  adapterUnloadMs = 0;
  private orderCount = 0;
  private isBusy = false;
  private readonly states: { readonly atMs: number; readonly report: EngineReport }[] = [];

  /** @param sizes - Sizes. */
  constructor(private readonly sizes: StrictEngineSizes) {
    super();
  }

  override readReport(): Promise<EngineReport | undefined> {
    this.recordState();
    const untilMs = CLOCK.nowMs() - this.reportLagMs;
    const state = this.states.findLast(({ atMs }) => atMs <= untilMs) ?? this.states[0];
    return Promise.resolve(this.isUp ? state?.report : undefined);
  }

  override async sendOrder(order: ResidencyOrder): Promise<OrderResult> {
    this.received.push({ ...order, atMs: CLOCK.nowMs() });
    await delay(CLOCK, this.executionDelayMs);
    return this.isUp ? this.execute(order) : 'unknown';
  }

  /** Executes an order under the conditions that it names; returns the result. */
  execute(order: ResidencyOrder): OrderResult {
    const { kind, model, adapter, expectedOrderCount } = order;
    const adapters = this.held.get(model);
    const isHeld =
      adapter === undefined
        ? adapters !== undefined
        : adapters?.has(adapter) === true || this.coming.has(`${model}/${adapter}`);
    if ((kind === 'load') === isHeld) {
      return 'alreadyDone';
    }
    if (this.isBusy || expectedOrderCount !== this.orderCount) {
      return 'conflict';
    }
    this.recordState();
    this.orderCount++;
    this.change(order);
    this.recordState();
    return 'accepted';
  }

  private change({ kind, model, adapter }: ResidencyOrder): void {
    const adapters = this.held.get(model) ?? new Set<string>();
    if (kind === 'load') {
      this.checkRoom(model, adapter);
    }
    if (adapter === undefined) {
      this.isBusy = true;
      this.runLater(MODEL_ORDER_MS, () => {
        this.isBusy = false;
        if (kind === 'load') {
          this.held.set(model, new Set());
        } else {
          this.held.delete(model);
        }
      });
    } else if (kind === 'load') {
      const name = `${model}/${adapter}`;
      this.coming.add(name);
      this.runLater(ADAPTER_LOAD_MS, () => {
        this.coming.delete(name);
        adapters.add(adapter);
      });
    } else if (this.adapterUnloadMs > 0) {
      this.runLater(this.adapterUnloadMs, () => adapters.delete(adapter));
    } else {
      adapters.delete(adapter);
    }
  }

  private checkRoom(model: string, adapter: string | undefined): void {
    const { weightsMb, modelMb, adapterMb, adapterSlotCount } = this.sizes;
    let adapterCount = this.coming.size;
    for (const adapters of this.held.values()) {
      adapterCount += adapters.size;
    }
    const usedMb = this.held.size * modelMb + adapterCount * adapterMb;
    const neededMb = adapter === undefined ? modelMb : adapterMb;
    if (usedMb + neededMb > weightsMb || (adapter !== undefined && adapterCount >= adapterSlotCount)) {
      this.overloads.push(`${model}/${adapter ?? ''} beside ${usedMb} MB and ${adapterCount} adapters`);
    }
  }

  private runLater(delayMs: number, change: () => void): void {
    const { bornAtMs } = this;
    setTimeout(() => {
      if (bornAtMs === this.bornAtMs) {
        change();
        this.recordState();
      }
    }, delayMs);
  }

  private recordState(): void {
    const heldModels = [...this.held].map(([name, adapters]) => ({ name, adapters: [...adapters] }));
    const { bornAtMs, isBusy, orderCount } = this;
    const comingAdapters = [...this.coming];
    const report = { ...IDLE_ENGINE, bornAtMs, heldModels, comingAdapters, isBusy, orderCount };
    this.states.push({ atMs: CLOCK.nowMs(), report });
  }
}
