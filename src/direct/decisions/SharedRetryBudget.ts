/** Parts into which the window is divided. */
const BUCKET_COUNT = 20;
/** Share of the bound that is used, since routers count at different moments. */
const USED_SHARE = 0.8;

/** Bound on repeated sends to one service, over all routers. */
export interface RetryLimits {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed in a window beyond that, over all routers. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Keeps one router's repeated sends to a service within its share of the bound for all routers. */
export class SharedRetryBudget {
  private readonly firstCounts = new Array<number>(BUCKET_COUNT).fill(0);
  private readonly repeatCounts = new Array<number>(BUCKET_COUNT).fill(0);
  private bucket = 0;

  /** @param getBound - Gives the bound for all routers together. */
  constructor(private readonly getBound: () => RetryLimits) {}

  /**
   * Notes a request for the service.
   * @param nowMs - Time now.
   */
  recordRequest(nowMs: number): void {
    this.advance(nowMs);
    increment(this.firstCounts, this.bucket % BUCKET_COUNT);
  }

  /**
   * Takes one repeated send; false when none is left.
   * @param nowMs - Time now.
   * @param routerCount - Routers that share the slack, this one included.
   */
  tryTake(nowMs: number, routerCount: number): boolean {
    this.advance(nowMs);
    const { ratio, slack } = this.getBound();
    const allowed = USED_SHARE * (ratio * sum(this.firstCounts) + slack / Math.max(1, routerCount));
    if (sum(this.repeatCounts) + 1 > allowed) {
      return false;
    }
    increment(this.repeatCounts, this.bucket % BUCKET_COUNT);
    return true;
  }

  private advance(nowMs: number): void {
    const bucket = Math.floor(nowMs / (this.getBound().windowMs / BUCKET_COUNT));
    const steps = Math.min(BUCKET_COUNT, bucket - this.bucket);
    for (let step = 1; step <= steps; step++) {
      const index = (bucket - steps + step) % BUCKET_COUNT;
      this.firstCounts[index] = 0;
      this.repeatCounts[index] = 0;
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
