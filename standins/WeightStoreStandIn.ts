import { sleep } from './JsonHttpServer.js';

/** Speed and rate limits of a weight store. */
export interface WeightStoreLimits {
  /** Duration of one read at full speed, in milliseconds. */
  readonly readMs: number;
  readonly readsPerSecond: number;
  /** Number of concurrent reads at full speed; with more, a read that starts takes proportionally longer. */
  readonly fullSpeedReads: number;
}

/** Stand-in for the rate-limited remote store of checkpoints. */
export class WeightStoreStandIn {
  private activeReads = 0;
  private nextStartAtMs = 0;
  /** Highest number of concurrent reads so far. */
  peakReads = 0;

  /** @param limits - Limits that apply to reads. */
  constructor(private readonly limits: WeightStoreLimits) {}

  /** Simulates the read of one checkpoint and resolves when it has completed. */
  async read(): Promise<void> {
    const nowMs = Date.now();
    const startAtMs = Math.max(nowMs, this.nextStartAtMs);
    this.nextStartAtMs = startAtMs + 1000 / this.limits.readsPerSecond;
    await sleep(startAtMs - nowMs);
    this.activeReads++;
    this.peakReads = Math.max(this.peakReads, this.activeReads);
    const slowdownFactor = Math.max(1, this.activeReads / this.limits.fullSpeedReads);
    await sleep(this.limits.readMs * slowdownFactor);
    this.activeReads--;
  }
}
