import type { Quota, QuotaTolerance } from '../../src/organisations/index.js';

/** Request that was sent and ran. */
interface RunRequest {
  readonly atMs: number;
  readonly cost: number;
}

/** Limits that apply to a window, at least in part of the fleet. */
interface QuotaPeriod {
  readonly quota: Pick<Quota, 'ratePerSecond' | 'burst'>;
  /** When the version was published. */
  readonly fromMs: number;
  /** When the next version was in force everywhere. */
  untilMs: number;
}

/** Counts the requests of one organisation that ran, in sliding windows. */
export class QuotaOracle {
  private readonly requests: RunRequest[] = [];
  private readonly periods: QuotaPeriod[] = [];

  /** @param tolerance - How far the quota may be exceeded. */
  constructor(private readonly tolerance: QuotaTolerance) {}

  /** Records a version of the quota that is published now and in force everywhere later. */
  publish(quota: Pick<Quota, 'ratePerSecond' | 'burst'>, nowMs: number, everywhereAtMs: number): void {
    const last = this.periods.at(-1);
    if (last) {
      last.untilMs = everywhereAtMs;
    }
    this.periods.push({ quota, fromMs: nowMs, untilMs: Infinity });
  }

  /** Records a request that is sent; returns a function that records that it did not run. */
  record(cost: number, nowMs: number): () => void {
    const request = { atMs: nowMs, cost };
    this.requests.push(request);
    return () => this.requests.splice(this.requests.indexOf(request), 1);
  }

  /** Sum of the requests that ran in a time. */
  getSum(fromMs: number, untilMs: number): number {
    const inside = this.requests.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs);
    return inside.reduce((sum, { cost }) => sum + cost, 0);
  }

  /** Largest ratio of what ran in a window to what the quota and its tolerance allow there. */
  getLargestRatio(): number {
    let largest = 0;
    for (const { atMs } of this.requests) {
      const sum = this.getSum(atMs, atMs + this.tolerance.windowMs);
      largest = Math.max(largest, sum / this.getAllowed(atMs, true));
    }
    return largest;
  }

  /** Largest ratio of what ran in a window to the quota without its tolerance. */
  getLargestQuotaRatio(): number {
    let largest = 0;
    for (const { atMs } of this.requests) {
      const sum = this.getSum(atMs, atMs + this.tolerance.windowMs);
      largest = Math.max(largest, sum / this.getAllowed(atMs, false));
    }
    return largest;
  }

  private getAllowed(fromMs: number, isTolerant: boolean): number {
    const { windowMs, ratio, slack } = this.tolerance;
    let allowed = 0;
    for (const period of this.periods) {
      if (period.fromMs < fromMs + windowMs && period.untilMs > fromMs) {
        const { ratePerSecond, burst } = period.quota;
        const quota = (ratePerSecond * windowMs) / 1_000 + burst;
        allowed = Math.max(allowed, isTolerant ? quota * (1 + ratio) + slack : quota);
      }
    }
    return allowed;
  }
}
