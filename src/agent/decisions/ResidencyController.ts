import type { RefusalReason } from '../../domain/index.js';
import type { EngineOrder, EngineState, EngineOrderResult } from './EngineState.js';
import type { GrantTable } from './GrantTable.js';
import { MemoryLedger } from './MemoryLedger.js';
import { MAX_ORDER_DELAY_MS, OrderSequencer } from './OrderSequencer.js';
import {
  parseBaseItem,
  createItem,
  isInUse,
  rankForEviction,
  type ItemPhase,
  type ItemRequest,
  type ResidentItem,
} from './ResidentItem.js';

/** Result of a request to load an item. */
export type WakeResult =
  | { readonly kind: 'ready' }
  | { readonly kind: 'loading' }
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

/**
 * Decides which models and adapters one backend server loads and unloads.
 *
 * Memory is reserved before a load is ordered, and released only after the engine has confirmed that the item is gone.
 * An order without a response counts as executed until an engine state proves otherwise.
 */
export class ResidencyController {
  private readonly items = new Map<string, ResidentItem>();
  private readonly orders = new OrderSequencer();
  private leaving = false;

  /**
   * @param grants - Grants of the server.
   * @param ledger - Memory of the server.
   */
  constructor(
    private readonly grants: GrantTable,
    readonly ledger: MemoryLedger = new MemoryLedger(0),
  ) {}

  /** Removes the orders that have to be sent now, and returns them. */
  takeOrders(): EngineOrder[] {
    return this.orders.takePending();
  }

  /**
   * Returns the phase of an item; an unknown item is `loadUnknown` while an order of an earlier agent process may still
   * be executed.
   * @param itemId - The item.
   */
  getPhase(itemId: string): ItemPhase {
    return this.items.get(itemId)?.phase ?? (this.orders.isSynchronized ? 'absent' : 'loadUnknown');
  }

  /** Iterates over the ids of all models that are not absent. */
  *residentModels(): IterableIterator<string> {
    for (const item of this.items.values()) {
      if (item.baseItemId === undefined) {
        yield item.itemId;
      }
    }
  }

  /** Whether a request runs, an item is being loaded or unloaded, or the engine's state is not known for certain. */
  get isBusy(): boolean {
    if (!this.orders.isSynchronized) {
      return true;
    }
    for (const item of this.items.values()) {
      if (item.runningCount > 0 || item.phase !== 'ready') {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the number of requests that run on an item.
   * @param itemId - The item.
   */
  getRunningCount(itemId: string): number {
    return this.items.get(itemId)?.runningCount ?? 0;
  }

  /** Starts no more loads, since the server is leaving. */
  leave(): void {
    this.leaving = true;
  }

  /**
   * Requests an item, and starts to load it if it is absent.
   * @param request - The item.
   * @param nowMs - Time now.
   */
  wake(request: ItemRequest, nowMs: number): WakeResult {
    const existing = this.items.get(request.itemId);
    if (existing) {
      existing.keepAliveMs = request.keepAliveMs;
      existing.lastUsedAtMs = nowMs;
      return this.toWakeResult(existing);
    }
    const reason = this.getRefusalReason(request);
    if (reason) {
      return { kind: 'refused', reason };
    }
    const item = createItem(request, 'waitingForMemory', nowMs);
    if (!this.evictFor(item)) {
      return { kind: 'refused', reason: 'noMemory' };
    }
    this.items.set(item.itemId, item);
    this.loadIfMemoryFree(item);
    return { kind: 'loading' };
  }

  /**
   * Records the start of a request on an item; returns false if the item is not ready.
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
   * Records the end of a request on an item.
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
   * Processes the result of an order.
   * @param order - The order.
   * @param result - The result.
   * @param nowMs - Time now.
   */
  onOrderResult(order: EngineOrder, result: EngineOrderResult, nowMs: number): void {
    if (order.kind === 'fence') {
      this.orders.onFenceResult(order, result, nowMs);
      return;
    }
    const item = this.items.get(order.itemId);
    if (item?.orderNumber !== order.orderNumber) {
      return;
    }
    item.orderNumber = 0;
    item.changedAtMs = nowMs;
    switch (result) {
      case 'done':
        this.onOrderDone(item, order);
        return;
      case 'refused':
        this.onOrderRefused(item, order);
        return;
      case 'unknown':
        item.phase = 'loadUnknown';
        this.orders.fence();
        return;
    }
  }

  /**
   * Processes a state reported by the engine.
   * @param state - The state.
   * @param requestedAtMs - When the state was requested.
   */
  onEngineState(state: EngineState, requestedAtMs: number): void {
    this.ledger.setCapacityBytes(state.capacityBytes);
    this.orders.onEngineState(state, requestedAtMs);
    const reportedItemIds = new Set<string>();
    for (const engineItem of state.items) {
      reportedItemIds.add(engineItem.itemId);
      this.onItemReported(
        engineItem.itemId,
        engineItem.sizeBytes,
        engineItem.state === 'loaded',
        requestedAtMs,
      );
    }
    for (const item of this.items.values()) {
      if (!reportedItemIds.has(item.itemId)) {
        this.onItemMissing(item, requestedAtMs);
      }
    }
    this.loadWaitingItems();
  }

  /**
   * Unloads the items whose keep-alive is over or whose grant was revoked, and loads waiting items.
   * @param nowMs - Time now.
   */
  tick(nowMs: number): void {
    for (const item of this.items.values()) {
      const isExpired = nowMs - item.lastUsedAtMs >= item.keepAliveMs;
      const shouldUnload = isExpired || this.isRevoked(item);
      if (shouldUnload && item.runningCount === 0) {
        this.unload(item);
      }
    }
    this.loadWaitingItems();
  }

  private isRevoked(item: ResidentItem): boolean {
    return this.grants.isRevoked(item.baseItemId ?? item.itemId);
  }

  private toWakeResult(item: ResidentItem): WakeResult {
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

  private getRefusalReason(request: ItemRequest): RefusalReason | undefined {
    if (this.leaving) {
      return 'serverLeaving';
    }
    if (request.baseItemId === undefined) {
      if (!this.grants.mayLoad(request.itemId)) {
        return 'notGranted';
      }
    } else if (this.getPhase(request.baseItemId) !== 'ready') {
      return 'notLoaded';
    }
    return this.orders.isSynchronized ? undefined : 'notLoaded';
  }

  private evictFor(incoming: ResidentItem): boolean {
    let availableBytes = this.ledger.freeBytes - this.reservedByWaitingBytes();
    if (availableBytes >= incoming.sizeBytes) {
      return true;
    }
    const evicted: ResidentItem[] = [];
    for (const candidate of rankForEviction(incoming, [...this.items.values()])) {
      evicted.push(candidate);
      availableBytes += candidate.sizeBytes;
      if (availableBytes >= incoming.sizeBytes) {
        break;
      }
    }
    if (availableBytes < incoming.sizeBytes) {
      return false;
    }
    for (const item of evicted) {
      this.unload(item);
    }
    return true;
  }

  /** Returns the memory for items that wait for an unload, minus the memory that is being unloaded, in bytes. */
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

  private loadWaitingItems(): void {
    for (const item of this.items.values()) {
      this.loadIfMemoryFree(item);
    }
  }

  private loadIfMemoryFree(item: ResidentItem): void {
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
      this.addOrder(item, 'load');
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
    this.addOrder(item, 'unload');
  }

  private addOrder(item: ResidentItem, kind: 'load' | 'unload'): void {
    const isAdapter = item.baseItemId !== undefined;
    item.orderNumber = this.orders.add({ kind, itemId: item.itemId, sizeBytes: item.sizeBytes, isAdapter });
    item.lastOrderNumber = item.orderNumber;
  }

  private onOrderDone(item: ResidentItem, order: EngineOrder): void {
    if (order.kind === 'load') {
      item.phase = 'ready';
      return;
    }
    this.removeItem(item);
    this.loadWaitingItems();
  }

  private onOrderRefused(item: ResidentItem, order: EngineOrder): void {
    if (order.kind === 'load') {
      this.removeItem(item);
      return;
    }
    item.phase = 'ready';
  }

  private removeItem(item: ResidentItem): void {
    this.items.delete(item.itemId);
    this.ledger.release(item.itemId);
  }

  private onItemReported(itemId: string, sizeBytes: number, isLoaded: boolean, requestedAtMs: number): void {
    const item = this.items.get(itemId);
    if (!item) {
      this.adoptItem(itemId, sizeBytes, isLoaded, requestedAtMs);
      return;
    }
    if (!this.ledger.has(itemId)) {
      this.ledger.adopt(itemId, sizeBytes);
    }
    if (item.orderNumber === 0 && (item.phase === 'loadUnknown' || item.phase === 'loading')) {
      item.phase = isLoaded ? 'ready' : 'loading';
    }
  }

  /** Adopts an item that an earlier agent process on this instance had ordered. */
  private adoptItem(itemId: string, sizeBytes: number, isLoaded: boolean, nowMs: number): void {
    this.ledger.adopt(itemId, sizeBytes);
    const request = { itemId, sizeBytes, ...parseBaseItem(itemId), keepAliveMs: MAX_ORDER_DELAY_MS };
    this.items.set(itemId, createItem(request, isLoaded ? 'ready' : 'loading', nowMs));
  }

  private onItemMissing(item: ResidentItem, requestedAtMs: number): void {
    const isPending = item.phase === 'waitingForMemory' || item.orderNumber !== 0;
    if (isPending || requestedAtMs <= item.changedAtMs) {
      return;
    }
    const { phase, lastOrderNumber, changedAtMs } = item;
    if (
      phase !== 'loadUnknown' ||
      !this.orders.mayStillBeExecuted(lastOrderNumber, changedAtMs, requestedAtMs)
    ) {
      this.removeItem(item);
    }
  }
}
