import { sleep } from './JsonHttp.js';

/** Limits of a weight store. */
export interface WeightStoreLimits {
  /** Time of one read at full speed, in milliseconds. */
  readonly readMs: number;
  readonly readsPerSecond: number;
  /** Reads at once that go at full speed; more slow each other down in proportion. */
  readonly fullSpeedReads: number;
}

/** Stand-in for the rate-limited remote store of checkpoints. */
export class WeightStoreStandIn {
  private activeReads = 0;
  private nextStartAtMs = 0;
  /** Most reads that were ever under way at once. */
  peakReads = 0;

  /** @param limits - Limits that reads meet. */
  constructor(private readonly limits: WeightStoreLimits) {}

  /** Reads one checkpoint and resolves when its last byte has come. */
  async read(): Promise<void> {
    const nowMs = Date.now();
    const startAtMs = Math.max(nowMs, this.nextStartAtMs);
    this.nextStartAtMs = startAtMs + 1000 / this.limits.readsPerSecond;
    await sleep(startAtMs - nowMs);
    this.activeReads++;
    this.peakReads = Math.max(this.peakReads, this.activeReads);
    const slowdown = Math.max(1, this.activeReads / this.limits.fullSpeedReads);
    await sleep(this.limits.readMs * slowdown);
    this.activeReads--;
  }
}
