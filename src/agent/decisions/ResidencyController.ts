import type { RefusalReason } from '../../domain/index.js';
import type { EngineOrder, EngineState, OrderOutcome } from './EngineState.js';
import type { GrantTable } from './GrantTable.js';
import { MemoryLedger } from './MemoryLedger.js';

/** Time after which an unanswered order can no longer reach an engine that ignores order numbers, in milliseconds. */
export const ORDER_SETTLE_MS = 5_000;

/** Where an item is in its life on the backend server. */
export type ItemPhase = 'absent' | 'waitingForMemory' | 'loading' | 'ready' | 'unloading' | 'loadUnknown';

/** A model or adapter that is to be on the backend server. */
export interface ItemRequest {
  readonly itemId: string;
  readonly sizeBytes: number;
  /** Model that an adapter belongs to; absent for a model. */
  readonly baseItemId?: string;
  /** Time that the item stays after its last use, in milliseconds. */
  readonly keepAliveMs: number;
}

/** Answer to a request for an item. */
export type WakeResult =
  | { readonly kind: 'ready' }
  | { readonly kind: 'loading' }
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

interface Item {
  readonly itemId: string;
  sizeBytes: number;
  readonly baseItemId?: string;
  keepAliveMs: number;
  phase: ItemPhase;
  runningCount: number;
  lastUsedAtMs: number;
  /** Number of the order in flight; 0 when there is none. */
  orderNumber: number;
  /** Number of the last order, answered or not. */
  lastOrderNumber: number;
  /** When the phase last changed. */
  changedAtMs: number;
}

/**
 * Decides which models and adapters one backend server loads and unloads.
 *
 * It reserves memory before it orders a load and frees it only after the engine confirmed that the item is gone. An
 * order without an answer counts as carried out until the engine shows otherwise.
 */
export class ResidencyController {
  private readonly items = new Map<string, Item>();
  private readonly orders: EngineOrder[] = [];
  private nextOrderNumber = 1;
  private bootId = '';
  private fencing = false;
  /** Order number below which a fencing engine refuses everything. */
  private fencedBelow = 0;
  /** When the engine confirmed that. */
  private fencedAtMs = 0;
  /** Whether the last fence failed and is to be sent again. */
  private fenceWanted = false;
  /** When an engine that ignores order numbers can no longer receive an earlier process's order. */
  private settledAtMs = Infinity;
  /** Whether a state was read that shows everything that earlier processes ordered. */
  private settled = false;
  private leaving = false;

  /**
   * @param grants - The server's grants.
   * @param ledger - The server's memory.
   */
  constructor(
    private readonly grants: GrantTable,
    readonly ledger: MemoryLedger = new MemoryLedger(0),
  ) {}

  /** Takes the orders that are to be sent now. */
  takeOrders(): EngineOrder[] {
    return this.orders.splice(0);
  }

  /**
   * Tells where an item is; `loadUnknown` until it is certain that no order of an earlier process is still to come.
   * @param itemId - Item to look at.
   */
  phaseOf(itemId: string): ItemPhase {
    return this.items.get(itemId)?.phase ?? (this.settled ? 'absent' : 'loadUnknown');
  }

  /** Ids of all models that are not absent. */
  *residentModels(): IterableIterator<string> {
    for (const item of this.items.values()) {
      if (item.baseItemId === undefined) {
        yield item.itemId;
      }
    }
  }

  /** Whether anything runs or is on its way in or out, or the state is not certain yet. */
  get isBusy(): boolean {
    if (!this.settled) {
      return true;
    }
    for (const item of this.items.values()) {
      if (item.runningCount > 0 || item.phase !== 'ready') {
        return true;
      }
    }
    return false;
  }

  /** @param itemId - Item to look at. */
  runningCountOf(itemId: string): number {
    return this.items.get(itemId)?.runningCount ?? 0;
  }

  /** Stops all coming loads, since the server is leaving. */
  leave(): void {
    this.leaving = true;
  }

  /**
   * Asks for an item to be loaded.
   * @param request - The item.
   * @param nowMs - Time now.
   */
  wake(request: ItemRequest, nowMs: number): WakeResult {
    const existing = this.items.get(request.itemId);
    if (existing) {
      existing.keepAliveMs = request.keepAliveMs;
      existing.lastUsedAtMs = nowMs;
      return this.describeExisting(existing);
    }
    const reason = this.reasonNotToLoad(request);
    if (reason) {
      return { kind: 'refused', reason };
    }
    const item: Item = {
      ...request,
      phase: 'waitingForMemory',
      runningCount: 0,
      lastUsedAtMs: nowMs,
      orderNumber: 0,
      lastOrderNumber: 0,
      changedAtMs: nowMs,
    };
    if (!this.makeRoomFor(item)) {
      return { kind: 'refused', reason: 'noMemory' };
    }
    this.items.set(item.itemId, item);
    this.loadIfRoom(item);
    return { kind: 'loading' };
  }

  /**
   * Notes that a request runs on an item, which must be ready.
   * @param itemId - The item.
   */
  requestStarted(itemId: string): boolean {
    const item = this.items.get(itemId);
    if (item?.phase !== 'ready') {
      return false;
    }
    item.runningCount++;
    return true;
  }

  /**
   * Notes that a request on an item ended.
   * @param itemId - The item.
   * @param nowMs - Time now.
   */
  requestEnded(itemId: string, nowMs: number): void {
    const item = this.items.get(itemId);
    if (item && item.runningCount > 0) {
      item.runningCount--;
      item.lastUsedAtMs = nowMs;
    }
  }

  /**
   * Takes the outcome of an order.
   * @param order - The order.
   * @param outcome - Its outcome.
   * @param nowMs - Time now.
   */
  orderAnswered(order: EngineOrder, outcome: OrderOutcome, nowMs: number): void {
    if (order.kind === 'fence') {
      this.fenceAnswered(order, outcome, nowMs);
      return;
    }
    const item = this.items.get(order.itemId);
    if (item?.orderNumber !== order.orderNumber) {
      return;
    }
    item.orderNumber = 0;
    item.changedAtMs = nowMs;
    switch (outcome) {
      case 'done':
        this.orderDone(item, order);
        return;
      case 'refused':
        this.orderRefused(item, order);
        return;
      case 'unknown':
        item.phase = 'loadUnknown';
        this.sendFence();
        return;
    }
  }

  private fenceAnswered(order: EngineOrder, outcome: OrderOutcome, nowMs: number): void {
    if (outcome === 'done') {
      this.fencedBelow = Math.max(this.fencedBelow, order.orderNumber);
      this.fencedAtMs = nowMs;
      return;
    }
    this.fenceWanted = true;
  }

  /**
   * Takes a state that the engine reported.
   * @param state - The state.
   * @param askedAtMs - When the state was asked for.
   */
  engineStateRead(state: EngineState, askedAtMs: number): void {
    const isNewBoot = state.bootId !== this.bootId;
    if (this.bootId === '') {
      this.settledAtMs = state.fencing ? askedAtMs : askedAtMs + ORDER_SETTLE_MS;
    }
    this.bootId = state.bootId;
    this.fencing = state.fencing;
    this.ledger.setCapacityBytes(state.capacityBytes);
    this.nextOrderNumber = Math.max(this.nextOrderNumber, state.lastOrderNumber + 1);
    if (isNewBoot || this.fenceWanted) {
      this.fencedBelow = isNewBoot ? 0 : this.fencedBelow;
      this.fenceWanted = false;
      this.sendFence();
    }
    const shown = new Set<string>();
    for (const engineItem of state.items) {
      shown.add(engineItem.itemId);
      this.itemShown(engineItem.itemId, engineItem.sizeBytes, engineItem.state === 'loaded', askedAtMs);
    }
    for (const item of this.items.values()) {
      if (!shown.has(item.itemId)) {
        this.itemNotShown(item, askedAtMs);
      }
    }
    this.settled ||= this.isSettledBy(askedAtMs);
    this.loadWaiting();
  }

  /**
   * Unloads what is no longer wanted.
   * @param nowMs - Time now.
   */
  tick(nowMs: number): void {
    for (const item of this.items.values()) {
      const expired = nowMs - item.lastUsedAtMs >= item.keepAliveMs;
      const unwanted = expired || this.isRevoked(item);
      if (unwanted && item.runningCount === 0) {
        this.unload(item);
      }
    }
    this.loadWaiting();
  }

  private isRevoked(item: Item): boolean {
    return this.grants.isRevoked(item.baseItemId ?? item.itemId);
  }

  private describeExisting(item: Item): WakeResult {
    switch (item.phase) {
      case 'ready':
        return { kind: 'ready' };
      case 'loading':
      case 'waitingForMemory':
        return { kind: 'loading' };
      case 'absent':
      case 'unloading':
      case 'loadUnknown':
        return { kind: 'refused', reason: 'notLoaded' };
    }
  }

  private reasonNotToLoad(request: ItemRequest): RefusalReason | undefined {
    if (this.leaving) {
      return 'serverLeaving';
    }
    if (request.baseItemId === undefined) {
      if (!this.grants.mayLoad(request.itemId)) {
        return 'notGranted';
      }
    } else if (this.phaseOf(request.baseItemId) !== 'ready') {
      return 'notLoaded';
    }
    return this.settled ? undefined : 'notLoaded';
  }

  /** Whether no order of an earlier process can be carried out after a state that was asked for at a time. */
  private isSettledBy(askedAtMs: number): boolean {
    return this.fencing ? this.fencedBelow > 0 && askedAtMs > this.fencedAtMs : askedAtMs >= this.settledAtMs;
  }

  private sendFence(): void {
    if (this.fencing) {
      this.orders.push({
        orderNumber: this.nextOrderNumber++,
        kind: 'fence',
        itemId: '',
        sizeBytes: 0,
        isAdapter: false,
      });
    }
  }

  private makeRoomFor(wanted: Item): boolean {
    let availableBytes = this.ledger.freeBytes - this.reservedByWaitingBytes();
    if (availableBytes >= wanted.sizeBytes) {
      return true;
    }
    const victims: Item[] = [];
    for (const candidate of this.evictionOrder(wanted)) {
      victims.push(candidate);
      availableBytes += candidate.sizeBytes;
      if (availableBytes >= wanted.sizeBytes) {
        break;
      }
    }
    if (availableBytes < wanted.sizeBytes) {
      return false;
    }
    for (const victim of victims) {
      this.unload(victim);
    }
    return true;
  }

  /** Memory promised to items that still wait for an unload, less what is being unloaded for them, in bytes. */
  private reservedByWaitingBytes(): number {
    let total = 0;
    for (const item of this.items.values()) {
      if (item.phase === 'waitingForMemory') {
        total += item.sizeBytes;
      }
      if (item.phase === 'unloading') {
        total -= item.sizeBytes;
      }
    }
    return total;
  }

  /** Idle items, the one whose keep-alive ends first coming first. */
  private evictionOrder(wanted: Item): Item[] {
    const candidates: Item[] = [];
    for (const item of this.items.values()) {
      const isBase = item.itemId === wanted.baseItemId;
      if (item.phase === 'ready' && !isBase && !this.isInUse(item)) {
        candidates.push(item);
      }
    }
    const expiryMs = (item: Item) => item.lastUsedAtMs + item.keepAliveMs;
    return candidates.sort((left, right) => expiryMs(left) - expiryMs(right));
  }

  private isInUse(item: Item): boolean {
    if (item.runningCount > 0) {
      return true;
    }
    for (const other of this.items.values()) {
      const isOwnAdapter = other.baseItemId === item.itemId;
      if (
        isOwnAdapter &&
        (other.runningCount > 0 || other.phase === 'loading' || other.phase === 'waitingForMemory')
      ) {
        return true;
      }
    }
    return false;
  }

  private loadWaiting(): void {
    for (const item of this.items.values()) {
      this.loadIfRoom(item);
    }
  }

  private loadIfRoom(item: Item): void {
    if (item.phase !== 'waitingForMemory') {
      return;
    }
    const mayStillLoad = !this.leaving && (item.baseItemId !== undefined || this.grants.mayLoad(item.itemId));
    if (!mayStillLoad) {
      this.items.delete(item.itemId);
      return;
    }
    if (this.ledger.reserve(item.itemId, item.sizeBytes)) {
      item.phase = 'loading';
      this.sendOrder(item, 'load');
    }
  }

  private unload(item: Item): void {
    if (item.phase === 'waitingForMemory') {
      this.items.delete(item.itemId);
      return;
    }
    if (item.phase !== 'ready' || this.isInUse(item)) {
      return;
    }
    for (const other of this.items.values()) {
      if (other.baseItemId === item.itemId) {
        this.unload(other);
      }
    }
    item.phase = 'unloading';
    this.sendOrder(item, 'unload');
  }

  private sendOrder(item: Item, kind: 'load' | 'unload'): void {
    item.orderNumber = this.nextOrderNumber++;
    item.lastOrderNumber = item.orderNumber;
    const isAdapter = item.baseItemId !== undefined;
    this.orders.push({
      orderNumber: item.orderNumber,
      kind,
      itemId: item.itemId,
      sizeBytes: item.sizeBytes,
      isAdapter,
    });
  }

  private orderDone(item: Item, order: EngineOrder): void {
    if (order.kind === 'load') {
      item.phase = 'ready';
      return;
    }
    this.forget(item);
    this.loadWaiting();
  }

  private orderRefused(item: Item, order: EngineOrder): void {
    if (order.kind === 'load') {
      this.forget(item);
      return;
    }
    item.phase = 'ready';
  }

  private forget(item: Item): void {
    this.items.delete(item.itemId);
    this.ledger.release(item.itemId);
  }

  private itemShown(itemId: string, sizeBytes: number, isLoaded: boolean, askedAtMs: number): void {
    const item = this.items.get(itemId);
    if (!item) {
      this.adopt(itemId, sizeBytes, isLoaded, askedAtMs);
      return;
    }
    if (!this.ledger.has(itemId)) {
      this.ledger.adopt(itemId, sizeBytes);
    }
    if (item.orderNumber === 0 && (item.phase === 'loadUnknown' || item.phase === 'loading')) {
      item.phase = isLoaded ? 'ready' : 'loading';
    }
  }

  /** Takes over what an earlier process on this instance had ordered. */
  private adopt(itemId: string, sizeBytes: number, isLoaded: boolean, nowMs: number): void {
    this.ledger.adopt(itemId, sizeBytes);
    this.items.set(itemId, {
      itemId,
      sizeBytes,
      ...baseOf(itemId),
      keepAliveMs: ORDER_SETTLE_MS,
      phase: isLoaded ? 'ready' : 'loading',
      runningCount: 0,
      lastUsedAtMs: nowMs,
      orderNumber: 0,
      lastOrderNumber: 0,
      changedAtMs: nowMs,
    });
  }

  private itemNotShown(item: Item, askedAtMs: number): void {
    const isOnItsWay = item.phase === 'waitingForMemory' || item.orderNumber !== 0;
    if (isOnItsWay || askedAtMs <= item.changedAtMs) {
      return;
    }
    if (item.phase !== 'loadUnknown' || this.canNoLongerArrive(item, askedAtMs)) {
      this.forget(item);
    }
  }

  /** Whether an order without an answer would show in this state if it were ever to be carried out. */
  private canNoLongerArrive(item: Item, askedAtMs: number): boolean {
    if (this.fencing) {
      return this.fencedBelow > item.lastOrderNumber && askedAtMs > this.fencedAtMs;
    }
    return askedAtMs - item.changedAtMs >= ORDER_SETTLE_MS;
  }
}

/** Reads the base model off an adapter's id, which is `service/model:adapter`. */
function baseOf(itemId: string): { readonly baseItemId?: string } {
  const end = itemId.indexOf(':');
  return end < 0 ? {} : { baseItemId: itemId.slice(0, end) };
}
