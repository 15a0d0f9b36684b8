/** Retries added for each successful request. */
const RETRIES_PER_SUCCESS = 0.1;
/** Upper limit of accumulated retries. */
const MAX_SAVED_RETRIES = 100;
/** Retries available at the start, and the limit of the refill over time. */
const INITIAL_RETRIES = 10;
/** Retries added per second regardless of successes, so that a service with little traffic can retry too. */
const RETRIES_PER_SECOND = 0.5;

/**
 * Limits the retries of one service to a share of its successful requests, so that retries do not amplify an overload.
 */
export class RetryBudget {
  private saved = INITIAL_RETRIES;
  private refilledAtMs: number | undefined;

  /** Records a successful request. */
  recordSuccess(): void {
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + RETRIES_PER_SUCCESS);
  }

  /**
   * Takes one retry from the budget; returns false when it is exhausted.
   * @param nowMs - Current time.
   */
  tryTake(nowMs: number): boolean {
    const elapsedMs = nowMs - (this.refilledAtMs ?? nowMs);
    this.refilledAtMs = nowMs;
    this.saved = Math.max(
      this.saved,
      Math.min(INITIAL_RETRIES, this.saved + (elapsedMs / 1000) * RETRIES_PER_SECOND),
    );
    if (this.saved < 1) {
      return false;
    }
    this.saved--;
    return true;
  }
}
