import type { CostWeights } from '../../domain/index.js';
import { KeepAlivePolicy, type KeepAlivePlan } from './KeepAlivePolicy.js';

/** Upper end of the first bin in milliseconds. */
const FIRST_BIN_MS = 1_000;
/** Ratio of the upper ends of two consecutive bins. */
const BIN_RATIO = 1.03;
/** Number of bins; the last ends after about two days. */
const BIN_COUNT = 410;
/** Factor by which each new gap reduces the weight of the earlier ones, so that old patterns decay. */
const DECAY_FACTOR = 0.99;
/** Total weight of the prior, in gaps. */
const PRIOR_WEIGHT = 4;
/** Shares of a gap that are added to its own bin and to the bins on either side, nearest first. */
const SMOOTHING_SHARES: readonly number[] = [0.4, 0.2, 0.1];
/** Scale above which all weights are normalised, so that they do not overflow. */
const MAX_SCALE = 1e100;
/** Milliseconds in an hour. */
const HOUR_MS = 3_600_000;

/** Upper ends of the bins in milliseconds. */
const BIN_ENDS_MS: readonly number[] = Array.from(
  { length: BIN_COUNT },
  (_, bin) => FIRST_BIN_MS * BIN_RATIO ** bin,
);

/** A range of bins and the cost saved when the model is loaded throughout it. */
interface BinRange {
  readonly firstBin: number;
  /** Bin after the last one of the range. */
  readonly endBin: number;
  readonly saving: number;
}

/**
 * Selects the times after a request at which a loaded model saves more than it costs, by the cost weights of the
 * service.
 *
 * Each bin of the histogram of idle gaps saves the cold starts of the gaps that end in it, and costs the idle time of
 * the gaps that reach it. The leading bins with the largest total saving are the keep-alive; the later range of bins
 * with the largest total saving is the pre-warming. Deriving both from a histogram of idle gaps follows Shahrad et al.,
 * "Serverless in the Wild", USENIX ATC 2020. A prior of gaps distributed evenly over the logarithm of time applies to
 * models with few recorded gaps.
 */
export class HistogramKeepAlivePolicy extends KeepAlivePolicy {
  private readonly weightByBin: number[] = new Array<number>(BIN_COUNT).fill(PRIOR_WEIGHT / BIN_COUNT);
  /** Weight of the latest gap; it grows with every gap, so that earlier ones weigh relatively less. */
  private scale = 1;
  private cachedPlan: { readonly loadMs: number; readonly plan: KeepAlivePlan } | undefined;

  /** @param costWeights - Cost weights of the service. */
  constructor(private readonly costWeights: CostWeights) {
    super();
  }

  recordIdleGap(gapMs: number): void {
    this.decayAll();
    const gapBin = getBin(gapMs);
    for (const [distance, share] of SMOOTHING_SHARES.entries()) {
      this.add(gapBin - distance, share);
      if (distance > 0) {
        this.add(gapBin + distance, share);
      }
    }
    this.cachedPlan = undefined;
  }

  plan(loadMs: number): KeepAlivePlan {
    if (this.cachedPlan && Math.abs(this.cachedPlan.loadMs - loadMs) <= this.cachedPlan.loadMs / 10) {
      return this.cachedPlan.plan;
    }
    const plan = this.findPlan(loadMs);
    this.cachedPlan = { loadMs, plan };
    return plan;
  }

  /** Decays all weights relative to those added from now on, by increasing the scale of the latter. */
  private decayAll(): void {
    this.scale /= DECAY_FACTOR;
    if (this.scale > MAX_SCALE) {
      for (let bin = 0; bin < BIN_COUNT; bin++) {
        this.weightByBin[bin] = this.getWeight(bin) / this.scale;
      }
      this.scale = 1;
    }
  }

  private add(bin: number, weight: number): void {
    const clampedBin = Math.min(BIN_COUNT - 1, Math.max(0, bin));
    this.weightByBin[clampedBin] = this.getWeight(clampedBin) + weight * this.scale;
  }

  private getWeight(bin: number): number {
    return this.weightByBin[bin] ?? 0;
  }

  private findPlan(loadMs: number): KeepAlivePlan {
    const savings = this.computeSavings(loadMs);
    const keepAliveRange = findBestPrefix(savings);
    const keepAliveMs = getBinStartMs(keepAliveRange.endBin);
    const firstPreWarmBin = Math.max(keepAliveRange.endBin + 1, getBin(keepAliveMs + 2 * loadMs));
    const preWarmRange = findBestRange(savings, firstPreWarmBin);
    if (preWarmRange.saving <= 0) {
      return { keepAliveMs };
    }
    const preWarmAfterMs = getBinStartMs(preWarmRange.firstBin);
    return {
      keepAliveMs,
      preWarm: { afterMs: preWarmAfterMs, forMs: getBinStartMs(preWarmRange.endBin) - preWarmAfterMs },
    };
  }

  /** Computes the cost saved in each bin when the model is loaded during it, in the units of the cost weights. */
  private computeSavings(loadMs: number): number[] {
    const coldStartCost = (loadMs / 1000) * this.costWeights.coldStartSecond;
    const savings = new Array<number>(BIN_COUNT).fill(0);
    let laterWeight = 0;
    for (let bin = BIN_COUNT - 1; bin >= 0; bin--) {
      const weight = this.getWeight(bin);
      const idleMs = (laterWeight + weight / 2) * ((BIN_ENDS_MS[bin] ?? 0) - getBinStartMs(bin));
      savings[bin] = weight * coldStartCost - (idleMs / HOUR_MS) * this.costWeights.idleAcceleratorHour;
      laterWeight += weight;
    }
    return savings;
  }
}

/** Finds the leading bins with the largest total saving; empty when no such range saves anything. */
function findBestPrefix(savings: readonly number[]): BinRange {
  let best: BinRange = { firstBin: 0, endBin: 0, saving: 0 };
  let total = 0;
  for (const [bin, saving] of savings.entries()) {
    total += saving;
    if (total > best.saving) {
      best = { firstBin: 0, endBin: bin + 1, saving: total };
    }
  }
  return best;
}

/** Finds the range of bins with the largest total saving from a bin on (Kadane's algorithm). */
function findBestRange(savings: readonly number[], fromBin: number): BinRange {
  let best: BinRange = { firstBin: fromBin, endBin: fromBin, saving: 0 };
  let firstBin = fromBin;
  let total = 0;
  for (let bin = fromBin; bin < savings.length; bin++) {
    if (total <= 0) {
      total = 0;
      firstBin = bin;
    }
    total += savings[bin] ?? 0;
    if (total > best.saving) {
      best = { firstBin, endBin: bin + 1, saving: total };
    }
  }
  return best;
}

function getBin(gapMs: number): number {
  if (gapMs <= FIRST_BIN_MS) {
    return 0;
  }
  return Math.min(BIN_COUNT - 1, Math.ceil(Math.log(gapMs / FIRST_BIN_MS) / Math.log(BIN_RATIO)));
}

function getBinStartMs(bin: number): number {
  return bin === 0 ? 0 : (BIN_ENDS_MS[bin - 1] ?? 0);
}
