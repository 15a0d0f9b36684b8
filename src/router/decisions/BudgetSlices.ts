/** Share of the daily limit that a router takes at a time. */
const SLICE_SHARE = 0.01;

/** What the platform keeps of an organisation's budget for one day. */
export interface BudgetObject {
  readonly mark: string;
  /** Tokens handed out to routers so far. */
  readonly takenTokens: number;
}

/** Keeps one organisation's spending of one day on one router within the slices that the router has taken. */
export class BudgetSlices {
  private balanceTokens = 0;

  /** @param limitTokens - Limit of the organisation for the day. */
  constructor(private readonly limitTokens: number) {}

  /** Tokens that may still be spent without asking the platform. */
  get balance(): number {
    return this.balanceTokens;
  }

  /**
   * Reserves tokens; false when the slices do not reach.
   * @param tokenCount - Tokens that a request may generate at most.
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
   * Says how many tokens the next slice takes; 0 when the limit leaves too few.
   * @param takenTokens - Tokens that all routers have taken so far.
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

  /** @param tokenCount - Tokens of a slice that the platform confirmed. */
  addSlice(tokenCount: number): void {
    this.balanceTokens += tokenCount;
  }
}
