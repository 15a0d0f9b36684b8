const MS_PER_SECOND = 1_000;

/** Token bucket that starts empty; the rate and the capacity may change from call to call. */
export class CreditBucket {
  /** Credit left; negative while granted requests are still waiting or after one that cost more than was left. */
  credit = 0;
  /** Time that the caller of the last refused request was given. */
  private returnsAtMs = -Infinity;

  /** @param updatedAtMs - Time from which credit accrues. */
  constructor(private updatedAtMs: number) {}

  /**
   * Adds the credit of the time since the last call.
   * @param ratePerSecond - Credit per second.
   * @param capacity - Maximum credit; credit beyond it is lost.
   * @param nowMs - Current time.
   */
  accrue(ratePerSecond: number, capacity: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.credit = Math.min(capacity, this.credit + (elapsedMs * ratePerSecond) / MS_PER_SECOND);
    this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
  }

  /**
   * Returns the time until the credit reaches an amount, in milliseconds.
   * @param amount - The amount.
   * @param ratePerSecond - Credit per second.
   */
  getWaitMs(amount: number, ratePerSecond: number): number {
    const missing = amount - this.credit;
    return missing <= 0 ? 0 : (missing * MS_PER_SECOND) / ratePerSecond;
  }

  /**
   * Returns the time after which the caller of a refused request may return, in milliseconds: when its credit is there, and
   * apart from the callers that were refused before.
   * @param waitMs - Time until the credit is there, in milliseconds.
   * @param gapMs - Time between two callers, in milliseconds.
   * @param maxWaitMs - Longest time unless the credit comes later, in milliseconds.
   * @param nowMs - Current time.
   */
  spreadReturn(waitMs: number, gapMs: number, maxWaitMs: number, nowMs: number): number {
    const latestMs = nowMs + Math.max(waitMs, maxWaitMs);
    this.returnsAtMs = Math.min(latestMs, Math.max(nowMs + waitMs, this.returnsAtMs + gapMs));
    return this.returnsAtMs - nowMs;
  }
}
