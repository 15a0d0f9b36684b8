/** Retries that each success pays for. */
const RETRIES_PER_SUCCESS = 0.1;
/** Retries that can be saved up. */
const MAX_SAVED_RETRIES = 100;
/** Retries that are there from the start. */
const INITIAL_RETRIES = 10;
/** Retries that come back each second without any success, so that a quiet service can retry at all. */
const RETRIES_PER_SECOND = 0.5;

/** Bounds the retries of one service to a share of its successes, so that retries never feed an overload. */
export class RetryBudget {
  private saved = INITIAL_RETRIES;
  private refilledAtMs: number | undefined;

  /** Notes a request that was answered. */
  succeeded(): void {
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + RETRIES_PER_SUCCESS);
  }

  /**
   * Takes one retry out of the budget; false when there is none left.
   * @param nowMs - Time now.
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
