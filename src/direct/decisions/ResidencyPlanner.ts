import { AdapterUsage, countAdapters } from './AdapterUsage.js';
import { getEvictionCostMs } from './ModelPlacement.js';
import type { EngineReport, HeldModel, ModelUse } from './ServerEntry.js';
import type { ModelFootprint } from './ServingConfiguration.js';

/** Time after which a load request expires unless renewed, in milliseconds; routers renew it every half second. */
const LOAD_REQUEST_LIFETIME_MS = 1_500;
/** Time after its last interactive request for which a model is not evicted for batch work, in milliseconds. */
const INTERACTIVE_PROTECTION_MS = 3_000;
/** Time after a load for which a model is kept for the requests that waited for it, in milliseconds. */
const FRESH_LOAD_PROTECTION_MS = 300;
/**
 * Time for which a load request is kept while no memory can be freed for it, in milliseconds. Then it is dropped, so
 * that the router requests the load from another agent.
 */
const FREE_MEMORY_TIMEOUT_MS = 300;
/** Time after which a draining model is evicted even if requests still run on it, in milliseconds. */
const DRAIN_TIMEOUT_MS = 2_500;
/** Reduction of the eviction cost of a model that is already draining, in milliseconds of waiting. */
const DRAINING_COST_DISCOUNT_MS = 1_000;
/** Maximum idle time that is reported, in milliseconds. */
const MAX_IDLE_MS = 1_000_000;

/** Maximum number of adapters that may be on their way to an engine at the same time. */
const MAX_COMING_ADAPTERS = 4;

/** Memory and adapter slots of an engine, and the sizes of the models that it may hold. */
export interface EngineCapacity {
  readonly configurationVersion: number;
  /** Digest of the engine profile that the capacity is from; absent if the router that sent it stated none. */
  readonly profileDigest?: string;
  readonly weightsMb: number;
  readonly adapterSlotCount: number;
  readonly models: ReadonlyMap<string, ModelFootprint>;
}

/** What an order is to change. */
interface OrderSubject {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  /** Set when the order concerns an adapter of the model. */
  readonly adapter?: string;
}

/** Order to send to the engine next, with the state that it was decided on. */
export interface PlannedOrder extends OrderSubject {
  /** When the engine's process started, in milliseconds since the epoch. */
  readonly bornAtMs: number;
  /** Number of orders that the engine had accepted in that state. */
  readonly expectedOrderCount: number;
}

/** Whether requests can use an adapter, or it can be ordered. */
export type AdapterState = 'ready' | 'coming' | 'absent' | 'modelGone';

/** What may be evicted for a requested model. */
export interface RequestedEvictions {
  /** Models that must not be evicted. */
  readonly keptModels: readonly string[];
  /** Models that may be evicted although they are in interactive use; none if absent. */
  readonly evictableModels?: readonly string[];
}

/** Request of a router to load a model. */
interface LoadRequest {
  readonly requestedAtMs: number;
  renewedAtMs: number;
  isInteractive: boolean;
  evictions: RequestedEvictions;
  /** Time since which not enough memory can be freed for the model. */
  blockedSinceMs: number | undefined;
}

/** Statistics on the use of one model. */
interface ModelUsage {
  runningCount: number;
  lastUsedAtMs: number;
  lastInteractiveAtMs: number;
  loadedAtMs: number;
}

/**
 * Decides what one engine loads and unloads next.
 *
 * An order is planned only while the engine carries out no other, and each order is bound to the engine state that it
 * was planned for, so the models and adapters on the engine never exceed its capacity.
 */
export class ResidencyPlanner {
  private readonly loadRequests = new Map<string, LoadRequest>();
  private readonly usageByModel = new Map<string, ModelUsage>();
  private readonly adapterUsage = new AdapterUsage();
  /** Start of the drain of each model that accepts no new requests before its eviction. */
  private readonly drainingSinceMsByModel = new Map<string, number>();
  private hasNewDrain = false;
  /** Model whose unload the engine has accepted. */
  private unloadingModel: string | undefined;
  private capacity: EngineCapacity | undefined;
  private report: EngineReport | undefined;

  /** Latest report of the engine. */
  get engineReport(): EngineReport | undefined {
    return this.report;
  }

  /** Newest version of the configuration that a router has sent; undefined before the first one. */
  get configurationVersion(): number | undefined {
    return this.capacity?.configurationVersion;
  }

  /** Requested models that are not loaded yet, in the order in which they are to be loaded. */
  get queuedModels(): string[] {
    return this.getSortedLoadRequests().map(([model]) => model);
  }

  /**
   * Sets the capacity of the engine, unless it comes from an older configuration than the current one.
   * @param capacity - The capacity.
   */
  setCapacity(capacity: EngineCapacity): void {
    if (!this.capacity || capacity.configurationVersion >= this.capacity.configurationVersion) {
      this.capacity = capacity;
    }
  }

  /**
   * Records a version of the configuration whose engine profile has a digest; returns false if that profile is not known.
   * @param configurationVersion - The version.
   * @param profileDigest - Digest of the profile.
   */
  confirmCapacity(configurationVersion: number, profileDigest: string): boolean {
    if (!this.capacity) {
      return false;
    }
    if (configurationVersion < this.capacity.configurationVersion) {
      return true;
    }
    if (profileDigest !== this.capacity.profileDigest) {
      return false;
    }
    this.capacity = { ...this.capacity, configurationVersion };
    return true;
  }

  /**
   * Applies a report of the engine.
   * @param report - The report.
   * @param nowMs - Current time.
   */
  applyReport(report: EngineReport, nowMs: number): void {
    const isRestarted = this.report !== undefined && this.report.bornAtMs !== report.bornAtMs;
    if (isRestarted) {
      this.usageByModel.clear();
    }
    this.adapterUsage.applyReport(report, isRestarted, nowMs);
    if (!report.isBusy) {
      this.unloadingModel = undefined;
    }
    for (const model of this.drainingSinceMsByModel.keys()) {
      if (!report.heldModels.some(({ name }) => name === model)) {
        this.drainingSinceMsByModel.delete(model);
      }
    }
    const previouslyHeld = new Set(this.report?.heldModels.map((held) => held.name));
    this.report = report;
    for (const held of report.heldModels) {
      if (!previouslyHeld.has(held.name)) {
        this.getOrCreateUsage(held.name).loadedAtMs = nowMs;
      }
      this.loadRequests.delete(held.name);
    }
  }

  /**
   * Adds or renews a load request of a router.
   * @param model - Model to load.
   * @param isInteractive - Whether interactive requests wait for the model.
   * @param nowMs - Current time.
   * @param evictions - What may be evicted for it.
   */
  requestModel(
    model: string,
    isInteractive: boolean,
    nowMs: number,
    evictions: RequestedEvictions = { keptModels: [] },
  ): void {
    if (this.capacity?.models.has(model) !== true || this.isLoaded(model)) {
      return;
    }
    const existing = this.loadRequests.get(model);
    if (existing) {
      existing.renewedAtMs = nowMs;
      existing.isInteractive ||= isInteractive;
      existing.evictions = evictions;
    } else {
      this.loadRequests.set(model, {
        requestedAtMs: nowMs,
        renewedAtMs: nowMs,
        isInteractive,
        evictions,
        blockedSinceMs: undefined,
      });
    }
  }

  /**
   * Records that a request started to run on a model.
   * @param model - The model.
   * @param isInteractive - Whether the request is interactive.
   * @param nowMs - Current time.
   */
  onRequestStarted(model: string, isInteractive: boolean, nowMs: number): void {
    const usage = this.getOrCreateUsage(model);
    usage.runningCount++;
    this.updateLastUse(usage, isInteractive, nowMs);
  }

  /**
   * Records that a request on a model ended.
   * @param model - The model.
   * @param isInteractive - Whether the request was interactive.
   * @param nowMs - Current time.
   */
  onRequestEnded(model: string, isInteractive: boolean, nowMs: number): void {
    const usage = this.getOrCreateUsage(model);
    usage.runningCount = Math.max(0, usage.runningCount - 1);
    this.updateLastUse(usage, isInteractive, nowMs);
  }

  /**
   * Removes load requests that were not renewed in time.
   * @param nowMs - Current time.
   */
  expire(nowMs: number): void {
    for (const [model, request] of this.loadRequests) {
      if (nowMs - request.renewedAtMs > LOAD_REQUEST_LIFETIME_MS) {
        this.loadRequests.delete(model);
      }
    }
  }

  /**
   * Returns the next order to load or unload a model; undefined when there is none.
   * @param nowMs - Current time.
   */
  getNextOrder(nowMs: number): PlannedOrder | undefined {
    const { report } = this;
    if (!report || !this.capacity || report.isBusy) {
      return undefined;
    }
    this.expire(nowMs);
    if (this.loadRequests.size === 0) {
      this.drainingSinceMsByModel.clear();
    }
    for (const [model, request] of this.getSortedLoadRequests()) {
      const order = this.planOrder(model, request, nowMs);
      if (order) {
        return bindToState(order, report);
      }
    }
    return undefined;
  }

  /** Returns whether a model has begun to accept no requests since the last call, which routers must learn at once. */
  takeNewDrain(): boolean {
    const { hasNewDrain } = this;
    this.hasNewDrain = false;
    return hasNewDrain;
  }

  /**
   * Marks a model as unloading, so that it accepts no new requests.
   * @param model - Model whose unload the engine has accepted.
   */
  markUnloading(model: string): void {
    this.unloadingModel = model;
  }

  /**
   * Marks an adapter as unloading, so that no request is sent to it.
   * @param model - Model of the adapter.
   * @param adapter - Adapter whose unload is ordered.
   * @param nowMs - Current time.
   */
  markAdapterUnloading(model: string, adapter: string, nowMs: number): void {
    this.adapterUsage.markUnloading(model, adapter, nowMs);
  }

  /**
   * Withdraws the mark of an adapter whose unload the engine has not accepted.
   * @param model - Model of the adapter.
   * @param adapter - The adapter.
   */
  unmarkAdapterUnloading(model: string, adapter: string): void {
    this.adapterUsage.unmarkUnloading(model, adapter);
  }

  /**
   * Returns the state of an adapter for requests: one that is being unloaded counts as coming, since it is not ready and cannot
   * be ordered yet.
   * @param model - Model of the adapter.
   * @param adapter - The adapter.
   */
  getAdapterState(model: string, adapter: string): AdapterState {
    const held = this.report?.heldModels.find(({ name }) => name === model);
    if (!this.report || !held) {
      return 'modelGone';
    }
    if (held.adapters.includes(adapter)) {
      return this.adapterUsage.isUnloading(model, adapter) ? 'coming' : 'ready';
    }
    return this.report.comingAdapters.includes(`${model}/${adapter}`) ? 'coming' : 'absent';
  }

  /**
   * Whether a model accepts new requests.
   * @param model - The model.
   */
  acceptsRequests(model: string): boolean {
    return model !== this.unloadingModel && !this.drainingSinceMsByModel.has(model);
  }

  /**
   * Returns the use of each loaded model that accepts new requests.
   * @param nowMs - Current time.
   */
  getModelUses(nowMs: number): Record<string, ModelUse> {
    const uses: Record<string, ModelUse> = {};
    for (const { name } of this.report?.heldModels ?? []) {
      if (this.acceptsRequests(name)) {
        uses[name] = this.getModelUse(name, nowMs);
      }
    }
    return uses;
  }

  /**
   * Returns the next order on the way to a loaded adapter: its load, or the unload of another adapter; undefined when
   * neither is possible now.
   * @param model - Model that the engine holds.
   * @param adapter - Adapter that is not loaded.
   * @param nowMs - Current time.
   */
  getAdapterOrder(model: string, adapter: string, nowMs: number): PlannedOrder | undefined {
    const { report, capacity } = this;
    const footprint = capacity?.models.get(model);
    // While the engine is busy, its reports do not contain the model that it loads.
    if (!report || report.isBusy || !capacity || !footprint || !this.isLoaded(model)) {
      return undefined;
    }
    this.adapterUsage.recordUse(model, adapter, nowMs);
    if (report.comingAdapters.length >= MAX_COMING_ADAPTERS) {
      return undefined;
    }
    const hasFreeSlot = countAdapters(report) < capacity.adapterSlotCount;
    if (hasFreeSlot && footprint.adapterMb <= this.getFreeMb()) {
      return bindToState({ kind: 'load', model, adapter }, report);
    }
    const adapterToEvict = this.adapterUsage.getLeastRecentlyUsed(report, model, adapter, nowMs);
    return adapterToEvict && bindToState({ kind: 'unload', ...adapterToEvict }, report);
  }

  /**
   * Records the use of an adapter by a request.
   * @param model - Model of the adapter.
   * @param adapter - The adapter.
   * @param nowMs - Current time.
   */
  recordAdapterUse(model: string, adapter: string, nowMs: number): void {
    this.adapterUsage.recordUse(model, adapter, nowMs);
  }

  /**
   * Whether a model is loaded on the engine.
   * @param model - The model.
   */
  isLoaded(model: string): boolean {
    return this.report?.heldModels.some((held) => held.name === model) ?? false;
  }

  private getSortedLoadRequests(): [string, LoadRequest][] {
    return [...this.loadRequests].sort(([, left], [, right]) =>
      left.isInteractive === right.isInteractive
        ? left.requestedAtMs - right.requestedAtMs
        : Number(right.isInteractive) - Number(left.isInteractive),
    );
  }

  private planOrder(model: string, request: LoadRequest, nowMs: number): OrderSubject | undefined {
    const footprint = this.capacity?.models.get(model);
    if (!footprint) {
      return undefined;
    }
    if (footprint.weightsMb <= this.getFreeMb()) {
      return { kind: 'load', model };
    }
    const modelsToEvict = this.chooseModelsToEvict(footprint.weightsMb, request, nowMs);
    if (!modelsToEvict) {
      request.blockedSinceMs ??= nowMs;
      if (nowMs - request.blockedSinceMs > FREE_MEMORY_TIMEOUT_MS) {
        this.loadRequests.delete(model);
      }
      return undefined;
    }
    request.blockedSinceMs = undefined;
    for (const modelToEvict of modelsToEvict) {
      const drainingSinceMs = this.drainingSinceMsByModel.get(modelToEvict) ?? nowMs;
      this.hasNewDrain ||= !this.drainingSinceMsByModel.has(modelToEvict);
      this.drainingSinceMsByModel.set(modelToEvict, drainingSinceMs);
      const isRunning = this.getOrCreateUsage(modelToEvict).runningCount > 0;
      // One report without the use of the model reaches the routers before the unload is ordered, so that no request
      // arrives during the unload.
      if (nowMs > drainingSinceMs && (!isRunning || nowMs - drainingSinceMs > DRAIN_TIMEOUT_MS)) {
        return { kind: 'unload', model: modelToEvict };
      }
    }
    return undefined;
  }

  /** Chooses the models to evict, by ascending eviction cost; undefined when not enough memory can be freed. */
  private chooseModelsToEvict(neededMb: number, request: LoadRequest, nowMs: number): string[] | undefined {
    const { keptModels, evictableModels = [] } = request.evictions;
    const candidates: { name: string; sizeMb: number; evictionCostMs: number }[] = [];
    for (const held of this.report?.heldModels ?? []) {
      const use = this.getModelUse(held.name, nowMs);
      const isDraining = this.drainingSinceMsByModel.has(held.name);
      if (keptModels.includes(held.name)) {
        continue;
      }
      const isEvictable = !use.isProtected || evictableModels.includes(held.name);
      if (isEvictable || isDraining || (request.isInteractive && use.runningCount === 0)) {
        const costMs = getEvictionCostMs(use) - (isDraining ? DRAINING_COST_DISCOUNT_MS : 0);
        candidates.push({ name: held.name, sizeMb: this.getSizeMb(held), evictionCostMs: costMs });
      }
    }
    candidates.sort((left, right) => left.evictionCostMs - right.evictionCostMs);
    let freeMb = this.getFreeMb();
    const modelsToEvict: string[] = [];
    for (const candidate of candidates) {
      if (freeMb >= neededMb) {
        break;
      }
      modelsToEvict.push(candidate.name);
      freeMb += candidate.sizeMb;
    }
    return freeMb >= neededMb ? modelsToEvict : undefined;
  }

  private getModelUse(model: string, nowMs: number): ModelUse {
    const usage = this.getOrCreateUsage(model);
    const isInInteractiveUse = nowMs - usage.lastInteractiveAtMs < INTERACTIVE_PROTECTION_MS;
    const isFresh = nowMs - usage.loadedAtMs < FRESH_LOAD_PROTECTION_MS;
    const usedAtMs = Math.max(usage.lastUsedAtMs, usage.loadedAtMs);
    return {
      runningCount: usage.runningCount,
      idleForMs: Math.min(MAX_IDLE_MS, nowMs - usedAtMs),
      isProtected: isInInteractiveUse || isFresh,
    };
  }

  private getFreeMb(): number {
    let freeMb = this.capacity?.weightsMb ?? 0;
    for (const held of this.report?.heldModels ?? []) {
      freeMb -= this.getSizeMb(held);
    }
    for (const pendingAdapter of this.report?.comingAdapters ?? []) {
      freeMb -= this.capacity?.models.get(pendingAdapter.split('/')[0] ?? '')?.adapterMb ?? 0;
    }
    return freeMb;
  }

  private getSizeMb(held: HeldModel): number {
    const footprint = this.capacity?.models.get(held.name);
    // A model of unknown size counts as infinitely large, so that nothing is loaded next to it.
    return footprint ? footprint.weightsMb + held.adapters.length * footprint.adapterMb : Infinity;
  }

  private getOrCreateUsage(model: string): ModelUsage {
    let usage = this.usageByModel.get(model);
    if (!usage) {
      usage = {
        runningCount: 0,
        lastUsedAtMs: -Infinity,
        lastInteractiveAtMs: -Infinity,
        loadedAtMs: -Infinity,
      };
      this.usageByModel.set(model, usage);
    }
    return usage;
  }

  private updateLastUse(usage: ModelUsage, isInteractive: boolean, nowMs: number): void {
    usage.lastUsedAtMs = nowMs;
    if (isInteractive) {
      usage.lastInteractiveAtMs = nowMs;
    }
  }
}

function bindToState(subject: OrderSubject, { bornAtMs, orderCount }: EngineReport): PlannedOrder {
  return { ...subject, bornAtMs, expectedOrderCount: orderCount };
}
