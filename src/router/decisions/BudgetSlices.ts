/** Share of the daily limit that a router reserves in one slice. */
const SLICE_SHARE = 0.01;

/** Stored budget of an organisation for one day. */
export interface BudgetObject {
  /** Identifies the write, so that the writer can recognise it after an update with unknown result. */
  readonly mark: string;
  /** Tokens in the slices that routers have taken so far. */
  readonly takenTokens: number;
}

/** Limits an organisation's spending on one router and day to the slices that the router has taken. */
export class BudgetSlices {
  private balanceTokens = 0;

  /** @param limitTokens - Daily token limit of the organisation. */
  constructor(private readonly limitTokens: number) {}

  /** Tokens that can be reserved without another slice. */
  get balance(): number {
    return this.balanceTokens;
  }

  /**
   * Reserves tokens; returns false when the balance is too low.
   * @param tokenCount - Maximum number of tokens that the request may generate.
   */
  tryReserve(tokenCount: number): boolean {
    if (tokenCount > this.balanceTokens) {
      return false;
    }
    this.balanceTokens -= tokenCount;
    return true;
  }

  /** @param tokenCount - Reserved tokens that were not generated. */
  refund(tokenCount: number): void {
    this.balanceTokens += Math.max(0, tokenCount);
  }

  /**
   * Returns the size of the next slice, or 0 when too few tokens are left under the limit.
   * @param takenTokens - Tokens in the slices that all routers have taken so far.
   * @param neededTokens - Tokens that the next request needs.
   */
  nextSliceTokens(takenTokens: number, neededTokens: number): number {
    const missingTokens = neededTokens - this.balanceTokens;
    const leftTokens = this.limitTokens - takenTokens;
    if (leftTokens < missingTokens) {
      return 0;
    }
    return Math.min(leftTokens, Math.max(missingTokens, Math.ceil(this.limitTokens * SLICE_SHARE)));
  }

  /** @param tokenCount - Size of a slice whose write has been confirmed. */
  addSlice(tokenCount: number): void {
    this.balanceTokens += tokenCount;
  }
}
