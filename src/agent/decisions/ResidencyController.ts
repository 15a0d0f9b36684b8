import type { RefusalReason } from '../../domain/index.js';
import type { EngineOrder, EngineState, OrderOutcome } from './EngineState.js';
import type { GrantTable } from './GrantTable.js';
import { MemoryLedger } from './MemoryLedger.js';
import { ORDER_SETTLE_MS, OrderBook } from './OrderBook.js';
import {
  baseOf,
  createItem,
  isInUse,
  rankForEviction,
  type ItemPhase,
  type ItemRequest,
  type ResidentItem,
} from './ResidentItem.js';

/** Answer to a request for an item. */
export type WakeResult =
  | { readonly kind: 'ready' }
  | { readonly kind: 'loading' }
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

/**
 * Decides which models and adapters one backend server loads and unloads.
 *
 * It reserves memory before it orders a load and frees it only after the engine confirmed that the item is gone. An
 * order without an answer counts as carried out until the engine shows otherwise.
 */
export class ResidencyController {
  private readonly items = new Map<string, ResidentItem>();
  private readonly book = new OrderBook();
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
    return this.book.take();
  }

  /**
   * Tells where an item is; `loadUnknown` until it is certain that no order of an earlier process is still to come.
   * @param itemId - ResidentItem to look at.
   */
  phaseOf(itemId: string): ItemPhase {
    return this.items.get(itemId)?.phase ?? (this.book.isSettled ? 'absent' : 'loadUnknown');
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
    if (!this.book.isSettled) {
      return true;
    }
    for (const item of this.items.values()) {
      if (item.runningCount > 0 || item.phase !== 'ready') {
        return true;
      }
    }
    return false;
  }

  /** @param itemId - ResidentItem to look at. */
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
    const item = createItem(request, 'waitingForMemory', nowMs);
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
  onRequestStarted(itemId: string): boolean {
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
  onRequestEnded(itemId: string, nowMs: number): void {
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
  onOrderResult(order: EngineOrder, outcome: OrderOutcome, nowMs: number): void {
    if (order.kind === 'fence') {
      this.book.fenceAnswered(order, outcome, nowMs);
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
        this.book.fence();
        return;
    }
  }

  /**
   * Takes a state that the engine reported.
   * @param state - The state.
   * @param askedAtMs - When the state was asked for.
   */
  onEngineState(state: EngineState, askedAtMs: number): void {
    this.ledger.setCapacityBytes(state.capacityBytes);
    this.book.stateRead(state, askedAtMs);
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

  private isRevoked(item: ResidentItem): boolean {
    return this.grants.isRevoked(item.baseItemId ?? item.itemId);
  }

  private describeExisting(item: ResidentItem): WakeResult {
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
    return this.book.isSettled ? undefined : 'notLoaded';
  }

  private makeRoomFor(wanted: ResidentItem): boolean {
    let availableBytes = this.ledger.freeBytes - this.reservedByWaitingBytes();
    if (availableBytes >= wanted.sizeBytes) {
      return true;
    }
    const victims: ResidentItem[] = [];
    for (const candidate of rankForEviction(wanted, [...this.items.values()])) {
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

  private loadWaiting(): void {
    for (const item of this.items.values()) {
      this.loadIfRoom(item);
    }
  }

  private loadIfRoom(item: ResidentItem): void {
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

  private unload(item: ResidentItem): void {
    if (item.phase === 'waitingForMemory') {
      this.items.delete(item.itemId);
      return;
    }
    if (item.phase !== 'ready' || isInUse(item, this.items.values())) {
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

  private sendOrder(item: ResidentItem, kind: 'load' | 'unload'): void {
    const isAdapter = item.baseItemId !== undefined;
    item.orderNumber = this.book.enter({ kind, itemId: item.itemId, sizeBytes: item.sizeBytes, isAdapter });
    item.lastOrderNumber = item.orderNumber;
  }

  private orderDone(item: ResidentItem, order: EngineOrder): void {
    if (order.kind === 'load') {
      item.phase = 'ready';
      return;
    }
    this.forget(item);
    this.loadWaiting();
  }

  private orderRefused(item: ResidentItem, order: EngineOrder): void {
    if (order.kind === 'load') {
      this.forget(item);
      return;
    }
    item.phase = 'ready';
  }

  private forget(item: ResidentItem): void {
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
    const request = { itemId, sizeBytes, ...baseOf(itemId), keepAliveMs: ORDER_SETTLE_MS };
    this.items.set(itemId, createItem(request, isLoaded ? 'ready' : 'loading', nowMs));
  }

  private itemNotShown(item: ResidentItem, askedAtMs: number): void {
    const isOnItsWay = item.phase === 'waitingForMemory' || item.orderNumber !== 0;
    if (isOnItsWay || askedAtMs <= item.changedAtMs) {
      return;
    }
    const { phase, lastOrderNumber, changedAtMs } = item;
    if (phase !== 'loadUnknown' || !this.book.mayStillArrive(lastOrderNumber, changedAtMs, askedAtMs)) {
      this.forget(item);
    }
  }
}
