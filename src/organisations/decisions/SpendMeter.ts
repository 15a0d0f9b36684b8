/** Number of parts of the window; the sum is exact to one part. */
const SLOT_COUNT = 8;

/** Sum of the amounts of about the last window, for log lines. */
export class SpendMeter {
  private readonly slots = new Array<number>(SLOT_COUNT).fill(0);
  private slotNumber = -Infinity;

  /** @param windowMs - Length of the window, in milliseconds. */
  constructor(private readonly windowMs: number) {}

  /**
   * Adds an amount.
   * @param amount - The amount; negative if it is returned.
   * @param nowMs - Current time.
   */
  add(amount: number, nowMs: number): void {
    this.advance(nowMs);
    const index = this.slotNumber % SLOT_COUNT;
    this.slots[index] = (this.slots[index] ?? 0) + amount;
  }

  /**
   * Returns the sum.
   * @param nowMs - Current time.
   */
  getSum(nowMs: number): number {
    this.advance(nowMs);
    return this.slots.reduce((sum, amount) => sum + amount, 0);
  }

  private advance(nowMs: number): void {
    const current = Math.floor((nowMs * SLOT_COUNT) / this.windowMs);
    for (let slot = Math.max(this.slotNumber + 1, current - SLOT_COUNT + 1); slot <= current; slot++) {
      this.slots[slot % SLOT_COUNT] = 0;
    }
    this.slotNumber = Math.max(this.slotNumber, current);
  }
}
