/** Number of buckets that the window is divided into. */
const BUCKET_COUNT = 20;
/** Share of the retry budget that is used, since the routers don't count at the same time. */
const USABLE_SHARE = 0.8;

/** Limits on the retries to one service, over all routers. */
export interface RetryLimits {
  /** Allowed retries per request. */
  readonly ratio: number;
  /** Additional retries allowed in a window, over all routers. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Limits one router's retries to a service to its share of the retry budget of all routers. */
export class SharedRetryBudget {
  private readonly requestCounts = new Array<number>(BUCKET_COUNT).fill(0);
  private readonly retryCounts = new Array<number>(BUCKET_COUNT).fill(0);
  private bucket = 0;

  /**
   * @param getLimits - Returns the limits for all routers together.
   * @param startedAtMs - When this router started to record its retries; it does not know of those before.
   */
  constructor(
    private readonly getLimits: () => RetryLimits,
    private readonly startedAtMs: number,
  ) {}

  /** Time for which requests and retries count, in milliseconds. */
  get windowMs(): number {
    return this.getLimits().windowMs;
  }

  /**
   * Records a request to the service.
   * @param nowMs - Current time.
   */
  recordRequest(nowMs: number): void {
    this.advance(nowMs);
    increment(this.requestCounts, this.bucket % BUCKET_COUNT);
  }

  /**
   * Whether a retry is left in the budget.
   * @param nowMs - Current time.
   * @param routerCount - Number of routers that share the slack, this one included; undefined where it is not known.
   */
  isLeft(nowMs: number, routerCount: number | undefined): boolean {
    this.advance(nowMs);
    const { ratio, slack, windowMs } = this.getLimits();
    // An earlier process of this router may have used its share of the slack.
    const mayUseSlack = routerCount !== undefined && nowMs - this.startedAtMs >= windowMs;
    const slackShare = mayUseSlack ? slack / Math.max(1, routerCount) : 0;
    const allowedRetries = USABLE_SHARE * (ratio * sum(this.requestCounts) + slackShare);
    return sum(this.retryCounts) + 1 <= allowedRetries;
  }

  /**
   * Takes one retry from the budget; returns false when none is left.
   * @param nowMs - Current time.
   * @param routerCount - Number of routers that share the slack, this one included; undefined where it is not known.
   */
  tryTake(nowMs: number, routerCount: number | undefined): boolean {
    if (!this.isLeft(nowMs, routerCount)) {
      return false;
    }
    increment(this.retryCounts, this.bucket % BUCKET_COUNT);
    return true;
  }

  private advance(nowMs: number): void {
    const bucket = Math.floor(nowMs / (this.getLimits().windowMs / BUCKET_COUNT));
    const steps = Math.min(BUCKET_COUNT, bucket - this.bucket);
    for (let step = 1; step <= steps; step++) {
      const index = (bucket - steps + step) % BUCKET_COUNT;
      this.requestCounts[index] = 0;
      this.retryCounts[index] = 0;
    }
    this.bucket = Math.max(this.bucket, bucket);
  }
}

function sum(counts: readonly number[]): number {
  let total = 0;
  for (const count of counts) {
    total += count;
  }
  return total;
}

function increment(counts: number[], index: number): void {
  counts[index] = (counts[index] ?? 0) + 1;
}
