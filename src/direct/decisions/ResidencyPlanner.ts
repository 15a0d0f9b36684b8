import { AdapterPlaces, countAdapters } from './AdapterPlaces.js';
import { lossMs } from './ModelPlacement.js';
import type { EngineReport, HeldModel, ModelUse } from './ServerEntry.js';
import type { ModelFootprint } from './ServingConfiguration.js';

/** Time after which a wish for a model that no router repeats is dropped, in milliseconds; they repeat each half second. */
const WANT_LIFETIME_MS = 1_500;
/** Time after its last live request for which a model is not given up for batch work, in milliseconds. */
const INTERACTIVE_HOLD_MS = 3_000;
/** Time after a load for which a model is kept for those who waited for it, in milliseconds. */
const FRESH_HOLD_MS = 300;
/** Time for which a wish may stay without room before it is dropped, so that another agent is asked, in milliseconds. */
const ROOM_TIMEOUT_MS = 300;
/** Time that a model which takes no new requests has to end its runs before it is dropped anyway, in milliseconds. */
const RETIRE_TIMEOUT_MS = 2_500;
/** What a model that already takes no new requests is cheaper by as a victim, in milliseconds of waiting. */
const RETIRING_BONUS_MS = 1_000;
/** Longest idle time that is told apart, in milliseconds. */
const MAX_IDLE_MS = 1_000_000;

/** What an engine may hold. */
export interface EngineCapacity {
  readonly configurationVersion: number;
  readonly weightsMb: number;
  readonly adapterSlotCount: number;
  readonly models: ReadonlyMap<string, ModelFootprint>;
}

/** Order that is due. */
export interface PlannedOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
}

/** A router's wish for a model. */
interface Want {
  readonly sinceMs: number;
  askedAtMs: number;
  isInteractive: boolean;
  keptModels: readonly string[];
  /** Since when there has been no room to be made for it. */
  withoutRoomSinceMs: number | undefined;
}

/** Use of one model. */
interface Usage {
  runningCount: number;
  lastUsedAtMs: number;
  lastInteractiveAtMs: number;
  loadedAtMs: number;
}

/**
 * Decides what one engine loads and unloads next.
 *
 * An order is only due while the engine carries out no other, and each is bound to the state that it was decided on, so
 * what the engine holds never exceeds its capacity.
 */
export class ResidencyPlanner {
  private readonly wants = new Map<string, Want>();
  private readonly usage = new Map<string, Usage>();
  private readonly adapters = new AdapterPlaces();
  /** Models that take no new requests, since they are to be dropped, and since when. */
  private readonly retiringSinceMs = new Map<string, number>();
  /** Model whose unload the engine has accepted. */
  private unloadingModel: string | undefined;
  private capacity: EngineCapacity | undefined;
  private report: EngineReport | undefined;

  /** Latest state of the engine. */
  get engineReport(): EngineReport | undefined {
    return this.report;
  }

  /** Models that are wanted and not held, first one first. */
  get queuedModels(): string[] {
    return this.rankedWants().map(([model]) => model);
  }

  /** @param capacity - What the engine may hold; an older configuration's is ignored. */
  setCapacity(capacity: EngineCapacity): void {
    if (!this.capacity || capacity.configurationVersion >= this.capacity.configurationVersion) {
      this.capacity = capacity;
    }
  }

  /**
   * Takes the engine's state.
   * @param report - The state.
   * @param nowMs - Time now.
   */
  applyReport(report: EngineReport, nowMs: number): void {
    if (this.report && this.report.bornAtMs !== report.bornAtMs) {
      this.usage.clear();
    }
    if (!report.isBusy) {
      this.unloadingModel = undefined;
    }
    for (const model of this.retiringSinceMs.keys()) {
      if (!report.heldModels.some(({ name }) => name === model)) {
        this.retiringSinceMs.delete(model);
      }
    }
    const heldBefore = new Set(this.report?.heldModels.map((held) => held.name));
    this.report = report;
    for (const held of report.heldModels) {
      if (!heldBefore.has(held.name)) {
        this.usageOf(held.name).loadedAtMs = nowMs;
      }
      this.wants.delete(held.name);
    }
  }

  /**
   * Notes that a router wants a model.
   * @param model - The model.
   * @param isInteractive - Whether callers wait for it live.
   * @param nowMs - Time now.
   * @param keptModels - Models that must not make room for it.
   */
  requestModel(
    model: string,
    isInteractive: boolean,
    nowMs: number,
    keptModels: readonly string[] = [],
  ): void {
    if (this.capacity?.models.has(model) !== true || this.holds(model)) {
      return;
    }
    const existing = this.wants.get(model);
    if (existing) {
      existing.askedAtMs = nowMs;
      existing.isInteractive ||= isInteractive;
      existing.keptModels = keptModels;
    } else {
      this.wants.set(model, {
        sinceMs: nowMs,
        askedAtMs: nowMs,
        isInteractive,
        keptModels,
        withoutRoomSinceMs: undefined,
      });
    }
  }

  /**
   * Notes that a request began on a model.
   * @param model - The model.
   * @param isInteractive - Whether its caller waits live.
   * @param nowMs - Time now.
   */
  onRequestStarted(model: string, isInteractive: boolean, nowMs: number): void {
    const usage = this.usageOf(model);
    usage.runningCount++;
    this.touch(usage, isInteractive, nowMs);
  }

  /**
   * Notes that a request ended on a model.
   * @param model - The model.
   * @param isInteractive - Whether its caller waited live.
   * @param nowMs - Time now.
   */
  onRequestEnded(model: string, isInteractive: boolean, nowMs: number): void {
    const usage = this.usageOf(model);
    usage.runningCount = Math.max(0, usage.runningCount - 1);
    this.touch(usage, isInteractive, nowMs);
  }

  /**
   * Drops wishes that are no longer repeated.
   * @param nowMs - Time now.
   */
  expire(nowMs: number): void {
    for (const [model, want] of this.wants) {
      if (nowMs - want.askedAtMs > WANT_LIFETIME_MS) {
        this.wants.delete(model);
      }
    }
  }

  /**
   * Gives the order for a model that is due now.
   * @param nowMs - Time now.
   */
  getNextOrder(nowMs: number): PlannedOrder | undefined {
    if (!this.report || !this.capacity || this.report.isBusy) {
      return undefined;
    }
    this.expire(nowMs);
    if (this.wants.size === 0) {
      this.retiringSinceMs.clear();
    }
    for (const [model, want] of this.rankedWants()) {
      const order = this.orderFor(model, want, nowMs);
      if (order) {
        return order;
      }
    }
    return undefined;
  }

  /** @param model - Model whose unload the engine has accepted. */
  markUnloading(model: string): void {
    this.unloadingModel = model;
  }

  /**
   * Whether a model takes new requests.
   * @param model - The model.
   */
  acceptsRequests(model: string): boolean {
    return model !== this.unloadingModel && !this.retiringSinceMs.has(model);
  }

  /**
   * Describes the use of the models that are held and take new requests.
   * @param nowMs - Time now.
   */
  getModelUses(nowMs: number): Record<string, ModelUse> {
    const uses: Record<string, ModelUse> = {};
    for (const { name } of this.report?.heldModels ?? []) {
      if (this.acceptsRequests(name)) {
        uses[name] = this.describeUse(name, nowMs);
      }
    }
    return uses;
  }

  /**
   * Gives the order that brings an adapter closer, or undefined when nothing can be done now.
   * @param model - Model that the engine holds.
   * @param adapter - Adapter that it lacks.
   * @param nowMs - Time now.
   */
  getAdapterOrder(model: string, adapter: string, nowMs: number): PlannedOrder | undefined {
    const { report, capacity } = this;
    const footprint = capacity?.models.get(model);
    if (!report || !capacity || !footprint || !this.holds(model)) {
      return undefined;
    }
    this.adapters.noteUse(model, adapter, nowMs);
    const hasPlace = countAdapters(report) < capacity.adapterSlotCount;
    if (hasPlace && footprint.adapterMb <= this.freeMb()) {
      return { kind: 'load', model, adapter };
    }
    const victim = this.adapters.getLeastRecent(report, model, adapter);
    return victim && { kind: 'unload', ...victim };
  }

  /**
   * Notes that a request uses an adapter.
   * @param model - Its model.
   * @param adapter - The adapter.
   * @param nowMs - Time now.
   */
  recordAdapterUse(model: string, adapter: string, nowMs: number): void {
    this.adapters.noteUse(model, adapter, nowMs);
  }

  /**
   * Whether the engine holds a model.
   * @param model - The model.
   */
  holds(model: string): boolean {
    return this.report?.heldModels.some((held) => held.name === model) ?? false;
  }

  private rankedWants(): [string, Want][] {
    return [...this.wants].sort(([, left], [, right]) =>
      left.isInteractive === right.isInteractive
        ? left.sinceMs - right.sinceMs
        : Number(right.isInteractive) - Number(left.isInteractive),
    );
  }

  private orderFor(model: string, want: Want, nowMs: number): PlannedOrder | undefined {
    const footprint = this.capacity?.models.get(model);
    if (!footprint) {
      return undefined;
    }
    if (footprint.weightsMb <= this.freeMb()) {
      return { kind: 'load', model };
    }
    const victims = this.victimsFor(footprint.weightsMb, want, nowMs);
    if (!victims) {
      want.withoutRoomSinceMs ??= nowMs;
      if (nowMs - want.withoutRoomSinceMs > ROOM_TIMEOUT_MS) {
        this.wants.delete(model);
      }
      return undefined;
    }
    want.withoutRoomSinceMs = undefined;
    for (const victim of victims) {
      const sinceMs = this.retiringSinceMs.get(victim) ?? nowMs;
      this.retiringSinceMs.set(victim, sinceMs);
      const isRunning = this.usageOf(victim).runningCount > 0;
      // One report reaches the routers before the order does, so that no request meets the unload.
      if (nowMs > sinceMs && (!isRunning || nowMs - sinceMs > RETIRE_TIMEOUT_MS)) {
        return { kind: 'unload', model: victim };
      }
    }
    return undefined;
  }

  /** Models that must go to make room, those that cost least first; undefined when room can't be made. */
  private victimsFor(neededMb: number, want: Want, nowMs: number): string[] | undefined {
    const candidates: { name: string; sizeMb: number; lossMs: number }[] = [];
    for (const held of this.report?.heldModels ?? []) {
      const use = this.describeUse(held.name, nowMs);
      const isRetiring = this.retiringSinceMs.has(held.name);
      if (want.keptModels.includes(held.name)) {
        continue;
      }
      if (!use.isProtected || isRetiring || (want.isInteractive && use.runningCount === 0)) {
        const loss = lossMs(use) - (isRetiring ? RETIRING_BONUS_MS : 0);
        candidates.push({ name: held.name, sizeMb: this.sizeOf(held), lossMs: loss });
      }
    }
    candidates.sort((left, right) => left.lossMs - right.lossMs);
    let freeMb = this.freeMb();
    const victims: string[] = [];
    for (const candidate of candidates) {
      if (freeMb >= neededMb) {
        break;
      }
      victims.push(candidate.name);
      freeMb += candidate.sizeMb;
    }
    return freeMb >= neededMb ? victims : undefined;
  }

  private describeUse(model: string, nowMs: number): ModelUse {
    const usage = this.usageOf(model);
    const isLive = nowMs - usage.lastInteractiveAtMs < INTERACTIVE_HOLD_MS;
    const isFresh = nowMs - usage.loadedAtMs < FRESH_HOLD_MS;
    const usedAtMs = Math.max(usage.lastUsedAtMs, usage.loadedAtMs);
    return {
      runningCount: usage.runningCount,
      idleForMs: Math.min(MAX_IDLE_MS, nowMs - usedAtMs),
      isProtected: isLive || isFresh,
    };
  }

  private freeMb(): number {
    let free = this.capacity?.weightsMb ?? 0;
    for (const held of this.report?.heldModels ?? []) {
      free -= this.sizeOf(held);
    }
    for (const coming of this.report?.comingAdapters ?? []) {
      free -= this.capacity?.models.get(coming.split('/')[0] ?? '')?.adapterMb ?? 0;
    }
    return free;
  }

  private sizeOf(held: HeldModel): number {
    const footprint = this.capacity?.models.get(held.name);
    // A model of unknown size leaves no room for another.
    return footprint ? footprint.weightsMb + held.adapters.length * footprint.adapterMb : Infinity;
  }

  private usageOf(model: string): Usage {
    let usage = this.usage.get(model);
    if (!usage) {
      usage = {
        runningCount: 0,
        lastUsedAtMs: -Infinity,
        lastInteractiveAtMs: -Infinity,
        loadedAtMs: -Infinity,
      };
      this.usage.set(model, usage);
    }
    return usage;
  }

  private touch(usage: Usage, isInteractive: boolean, nowMs: number): void {
    usage.lastUsedAtMs = nowMs;
    if (isInteractive) {
      usage.lastInteractiveAtMs = nowMs;
    }
  }
}
