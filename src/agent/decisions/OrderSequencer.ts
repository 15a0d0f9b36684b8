import type { EngineOrder, EngineState, EngineOrderResult } from './EngineState.js';

/** Time after which an order without a response can no longer reach an engine that ignores order numbers. */
export const MAX_ORDER_DELAY_MS = 5_000;

/** Numbers the orders to one engine and determines which orders without a response may still be executed. */
export class OrderSequencer {
  private readonly pendingOrders: EngineOrder[] = [];
  private nextNumber = 1;
  private bootId = '';
  private fencing = false;
  /** Number of the last confirmed fence, below which a fencing engine refuses orders; 0 if none since its last boot. */
  private fenceNumber = 0;
  /** When the last fence was confirmed. */
  private fencedAtMs = 0;
  /** Whether the last fence failed and has to be sent again. */
  private mustRepeatFence = false;
  /** When an order of an earlier agent process can no longer reach an engine that ignores order numbers. */
  private earlierOrdersExpireAtMs = Infinity;
  private synchronized = false;

  /** Whether an engine state was read that reflects all orders of earlier agent processes. */
  get isSynchronized(): boolean {
    return this.synchronized;
  }

  /** Removes the orders that have to be sent now, and returns them. */
  takePending(): EngineOrder[] {
    return this.pendingOrders.splice(0);
  }

  /**
   * Adds an order and returns its number.
   * @param order - The order without its number.
   */
  add(order: Omit<EngineOrder, 'orderNumber'>): number {
    const orderNumber = this.nextNumber++;
    this.pendingOrders.push({ ...order, orderNumber });
    return orderNumber;
  }

  /** Adds a fence, which makes a fencing engine refuse all orders added so far. */
  fence(): void {
    if (this.fencing) {
      this.add({ kind: 'fence', itemId: '', sizeBytes: 0, isAdapter: false });
    }
  }

  /**
   * Processes the result of a fence.
   * @param order - The fence.
   * @param result - The result.
   * @param nowMs - Time now.
   */
  onFenceResult(order: EngineOrder, result: EngineOrderResult, nowMs: number): void {
    if (result !== 'done') {
      this.mustRepeatFence = true;
      return;
    }
    this.fenceNumber = Math.max(this.fenceNumber, order.orderNumber);
    this.fencedAtMs = nowMs;
  }

  /**
   * Processes the boot id, the fencing support and the last order number of an engine state.
   * @param state - The state.
   * @param requestedAtMs - When the state was requested.
   */
  onEngineState(state: EngineState, requestedAtMs: number): void {
    const isNewBoot = state.bootId !== this.bootId;
    if (this.bootId === '') {
      this.earlierOrdersExpireAtMs = state.fencing ? requestedAtMs : requestedAtMs + MAX_ORDER_DELAY_MS;
    }
    this.bootId = state.bootId;
    this.fencing = state.fencing;
    this.nextNumber = Math.max(this.nextNumber, state.lastOrderNumber + 1);
    if (isNewBoot || this.mustRepeatFence) {
      this.fenceNumber = isNewBoot ? 0 : this.fenceNumber;
      this.mustRepeatFence = false;
      this.fence();
    }
    this.synchronized ||= this.accountsForEarlierOrders(requestedAtMs);
  }

  /**
   * Returns whether an order without a response may be executed after a state that does not show its effect.
   * @param orderNumber - Number of the order.
   * @param unknownSinceMs - When its result became unknown.
   * @param requestedAtMs - When the state was requested.
   */
  mayStillBeExecuted(orderNumber: number, unknownSinceMs: number, requestedAtMs: number): boolean {
    if (this.fencing) {
      return this.fenceNumber <= orderNumber || requestedAtMs <= this.fencedAtMs;
    }
    return requestedAtMs - unknownSinceMs < MAX_ORDER_DELAY_MS;
  }

  private accountsForEarlierOrders(requestedAtMs: number): boolean {
    if (this.fencing) {
      return this.fenceNumber > 0 && requestedAtMs > this.fencedAtMs;
    }
    return requestedAtMs >= this.earlierOrdersExpireAtMs;
  }
}
