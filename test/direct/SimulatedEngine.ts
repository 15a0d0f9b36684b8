import {
  ResidencyPlanner,
  type AgentReport,
  type PlannedOrder,
  type ServerEntry,
} from '../../src/direct/index.js';
import type { EngineProfile, HeldModel } from '../../src/direct/index.js';
import { IDLE_ENGINE, makeHeldModel } from './fleetFixtures.js';

/** Duration of an unload, in milliseconds. */
const UNLOAD_MS = 50;
/** Number of models that the host memory of an engine holds. */
const MEMORY_MODEL_COUNT = 2;
/** Number of models that the disk of an engine holds. */
const DISK_MODEL_COUNT = 7;

/** Request that runs on an engine. */
export interface RunningRequest {
  readonly model: string;
  readonly endsAtMs: number;
  readonly onEnd: (isComplete: boolean) => void;
}

/** Engine with its agent, whose decisions are those of the real {@link ResidencyPlanner}. */
export class SimulatedEngine {
  planner = new ResidencyPlanner();
  entry: ServerEntry;
  isUp = true;
  running: RunningRequest[] = [];
  /** Models in the order of their last use, the oldest first. */
  readonly disk: string[] = [];
  private memory: string[] = [];
  private held: HeldModel[] = [];
  private order: PlannedOrder | undefined;
  private orderSinceMs = 0;
  private remainingOrderMs = 0;
  private orderCount = 0;

  /**
   * @param entry - Entry in the platform's list.
   * @param profile - Engine profile.
   * @param models - Models that it holds at the start.
   */
  constructor(
    entry: ServerEntry,
    private readonly profile: EngineProfile,
    models: readonly string[],
  ) {
    this.entry = { ...entry, heldModels: models.map((model) => makeHeldModel(model)) };
    this.held = [...this.entry.heldModels];
    this.disk.push(...models);
    this.planner.setCapacity({ ...profile, configurationVersion: 1 });
  }

  /** Whether the engine loads a model from the weight store. */
  get isLoadingFromStore(): boolean {
    return this.order?.kind === 'load' && !this.disk.includes(this.order.model);
  }

  holds(model: string): boolean {
    return this.held.some(({ name }) => name === model);
  }

  /** Ends all requests; the engine holds nothing afterwards and knows only its disk. */
  crash(): void {
    this.isUp = false;
    const { running } = this;
    this.running = [];
    for (const { onEnd } of running) {
      onEnd(false);
    }
    this.held = [];
    this.memory = [];
    this.order = undefined;
    this.planner = new ResidencyPlanner();
    this.planner.setCapacity({ ...this.profile, configurationVersion: 1 });
  }

  restart(nowMs: number): void {
    this.isUp = true;
    this.orderCount = 0;
    this.entry = { ...this.entry, bornAtMs: nowMs, heldModels: [] };
  }

  /**
   * Advances the order in progress and ends requests; returns the model whose load has ended, if any.
   * @param nowMs - Current time.
   * @param durationMs - Time since the last call, in milliseconds.
   * @param storeLoadCount - Number of loads that share the weight store.
   */
  advance(nowMs: number, durationMs: number, storeLoadCount: number): string | undefined {
    const ended = this.running.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    this.running = this.running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    for (const { onEnd } of ended) {
      onEnd(true);
    }
    this.remainingOrderMs -= this.isLoadingFromStore ? durationMs / storeLoadCount : durationMs;
    const { order } = this;
    if (!order || this.remainingOrderMs > 0) {
      return undefined;
    }
    this.finish(order);
    return order.kind === 'load' ? order.model : undefined;
  }

  /**
   * Reads the engine, plans the next order and returns the agent's report.
   * @param nowMs - Current time.
   */
  poll(nowMs: number): AgentReport {
    const { planner } = this;
    planner.applyReport(this.readEngine(), nowMs);
    const order = planner.getNextOrder(nowMs);
    if (order) {
      this.start(order, nowMs);
      planner.applyReport(this.readEngine(), nowMs);
    }
    const engine = this.readEngine();
    return {
      ...engine,
      address: this.entry.address,
      loadingModel: this.order?.kind === 'load' ? this.order.model : undefined,
      loadingForMs: nowMs - this.orderSinceMs,
      queuedModels: planner.queuedModels,
      heldModels: engine.heldModels.filter(({ name }) => planner.acceptsRequests(name)),
      uses: planner.getModelUses(nowMs),
      routerCount: 1,
      crashCounts: {},
    };
  }

  private start(order: PlannedOrder, nowMs: number): void {
    const footprint = this.profile.models.get(order.model);
    this.order = order;
    this.orderSinceMs = nowMs;
    this.orderCount++;
    if (order.kind === 'unload') {
      this.remainingOrderMs = UNLOAD_MS;
      this.planner.markUnloading(order.model);
    } else if (this.memory.includes(order.model)) {
      this.remainingOrderMs = footprint?.memoryLoadMs ?? 0;
    } else {
      this.remainingOrderMs = (this.isLoadingFromStore ? footprint?.storeLoadMs : footprint?.diskLoadMs) ?? 0;
    }
  }

  private finish({ kind, model }: PlannedOrder): void {
    this.order = undefined;
    if (kind === 'load') {
      this.held = [...this.held, makeHeldModel(model)];
      touch(this.disk, model, DISK_MODEL_COUNT);
      this.memory = this.memory.filter((name) => name !== model);
      return;
    }
    this.held = this.held.filter(({ name }) => name !== model);
    touch(this.memory, model, MEMORY_MODEL_COUNT);
    const cut = this.running.filter((request) => request.model === model);
    this.running = this.running.filter((request) => request.model !== model);
    for (const { onEnd } of cut) {
      onEnd(false);
    }
  }

  private readEngine() {
    return {
      ...IDLE_ENGINE,
      bornAtMs: this.entry.bornAtMs,
      heldModels: this.held,
      isBusy: this.order !== undefined,
      orderCount: this.orderCount,
      runningCount: this.running.length,
      cacheTokens: 96_000,
      modelsInMemory: [...this.memory],
      modelsOnDisk: [...this.disk],
    };
  }
}

/** Moves a model to the end of a list that holds a limited number of models. */
function touch(models: string[], model: string, maxCount: number): void {
  const index = models.indexOf(model);
  if (index >= 0) {
    models.splice(index, 1);
  }
  models.push(model);
  models.splice(0, models.length - maxCount);
}
