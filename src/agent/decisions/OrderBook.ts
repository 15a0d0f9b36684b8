import type { EngineOrder, EngineState, OrderOutcome } from './EngineState.js';

/** Time after which an unanswered order can no longer reach an engine that ignores order numbers, in milliseconds. */
export const ORDER_SETTLE_MS = 5_000;

/** Numbers the orders to one engine, and knows which of those without an answer may still be carried out. */
export class OrderBook {
  private readonly due: EngineOrder[] = [];
  private nextNumber = 1;
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
  private settled = false;

  /** Whether a state was read that shows everything that earlier processes ordered. */
  get isSettled(): boolean {
    return this.settled;
  }

  /** Takes the orders that are to be sent now. */
  take(): EngineOrder[] {
    return this.due.splice(0);
  }

  /**
   * Enters an order and gives its number.
   * @param order - The order without its number.
   */
  enter(order: Omit<EngineOrder, 'orderNumber'>): number {
    const orderNumber = this.nextNumber++;
    this.due.push({ ...order, orderNumber });
    return orderNumber;
  }

  /** Makes a fencing engine refuse all orders entered so far. */
  fence(): void {
    if (this.fencing) {
      this.enter({ kind: 'fence', itemId: '', sizeBytes: 0, isAdapter: false });
    }
  }

  /**
   * Takes the outcome of a fence.
   * @param order - The fence.
   * @param outcome - Its outcome.
   * @param nowMs - Time now.
   */
  fenceAnswered(order: EngineOrder, outcome: OrderOutcome, nowMs: number): void {
    if (outcome !== 'done') {
      this.fenceWanted = true;
      return;
    }
    this.fencedBelow = Math.max(this.fencedBelow, order.orderNumber);
    this.fencedAtMs = nowMs;
  }

  /**
   * Takes what a state says of the engine's run and its orders.
   * @param state - The state.
   * @param askedAtMs - When the state was asked for.
   */
  stateRead(state: EngineState, askedAtMs: number): void {
    const isNewBoot = state.bootId !== this.bootId;
    if (this.bootId === '') {
      this.settledAtMs = state.fencing ? askedAtMs : askedAtMs + ORDER_SETTLE_MS;
    }
    this.bootId = state.bootId;
    this.fencing = state.fencing;
    this.nextNumber = Math.max(this.nextNumber, state.lastOrderNumber + 1);
    if (isNewBoot || this.fenceWanted) {
      this.fencedBelow = isNewBoot ? 0 : this.fencedBelow;
      this.fenceWanted = false;
      this.fence();
    }
    this.settled ||= this.isSettledBy(askedAtMs);
  }

  /**
   * Whether an order without an answer might be carried out after a state that does not show it.
   * @param orderNumber - Number of the order.
   * @param unknownSinceMs - When its answer was given up.
   * @param askedAtMs - When the state was asked for.
   */
  mayStillArrive(orderNumber: number, unknownSinceMs: number, askedAtMs: number): boolean {
    if (this.fencing) {
      return this.fencedBelow <= orderNumber || askedAtMs <= this.fencedAtMs;
    }
    return askedAtMs - unknownSinceMs < ORDER_SETTLE_MS;
  }

  private isSettledBy(askedAtMs: number): boolean {
    if (this.fencing) {
      return this.fencedBelow > 0 && askedAtMs > this.fencedAtMs;
    }
    return askedAtMs >= this.settledAtMs;
  }
}
