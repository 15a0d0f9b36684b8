import type { CostWeights } from '../../domain/index.js';
import { KeepAlivePolicy, type KeepAlivePlan } from './KeepAlivePolicy.js';

/** Upper end of the first bin in milliseconds. */
const FIRST_BIN_MS = 1_000;
/** Ratio of the ends of two bins in a row. */
const BIN_RATIO = 1.03;
/** Number of bins; the last ends after about two days. */
const BIN_COUNT = 410;
/** Share of a count that is left after each further gap, so that old habits fade. */
const FADE_FACTOR = 0.99;
/** Weight of all gaps that are assumed before any was seen. */
const PRIOR_WEIGHT = 4;
/** How one gap is spread over the bins around its own, nearest first. */
const SPREAD: readonly number[] = [0.4, 0.2, 0.1];
/** Scale of the weights at which they are brought back to ordinary numbers. */
const MAX_SCALE = 1e100;
/** Milliseconds in an hour. */
const HOUR_MS = 3_600_000;

/** Upper ends of the bins in milliseconds. */
const BIN_ENDS_MS: readonly number[] = Array.from(
  { length: BIN_COUNT },
  (_, bin) => FIRST_BIN_MS * BIN_RATIO ** bin,
);

/** A run of bins and what it saves when the model is loaded throughout. */
interface Window {
  readonly firstBin: number;
  /** Bin after the last. */
  readonly endBin: number;
  readonly saving: number;
}

/**
 * Chooses the times after a request in which a loaded model saves more than it costs, by the service's own weighing.
 *
 * Each bin of the histogram of idle gaps saves the cold starts of the gaps that end in it, and costs the idle time of
 * the gaps that reach it. The first bins that save most together are the keep-alive; the later run of bins that saves
 * most is the pre-warming. The idea of a histogram of idle gaps that sets both is from Shahrad et al., "Serverless in
 * the Wild", USENIX ATC 2020. A prior of gaps spread evenly over the logarithm of time stands in for a model that has
 * not been seen often.
 */
export class HistogramKeepAlivePolicy extends KeepAlivePolicy {
  private readonly weightByBin: number[] = new Array<number>(BIN_COUNT).fill(PRIOR_WEIGHT / BIN_COUNT);
  /** Weight that a gap has now; earlier ones weigh less against it. */
  private scale = 1;
  private cached: { readonly loadMs: number; readonly plan: KeepAlivePlan } | undefined;

  /** @param weighing - How the service weighs its measures. */
  constructor(private readonly weighing: CostWeights) {
    super();
  }

  recordIdleGap(gapMs: number): void {
    this.fadeAll();
    const ownBin = binOf(gapMs);
    for (const [distance, share] of SPREAD.entries()) {
      this.add(ownBin - distance, share);
      if (distance > 0) {
        this.add(ownBin + distance, share);
      }
    }
    this.cached = undefined;
  }

  plan(loadMs: number): KeepAlivePlan {
    if (this.cached && Math.abs(this.cached.loadMs - loadMs) <= this.cached.loadMs / 10) {
      return this.cached.plan;
    }
    const plan = this.findPlan(loadMs);
    this.cached = { loadMs, plan };
    return plan;
  }

  /** Lets all weights fade against those added from now on, by raising the scale of the latter. */
  private fadeAll(): void {
    this.scale /= FADE_FACTOR;
    if (this.scale > MAX_SCALE) {
      for (let bin = 0; bin < BIN_COUNT; bin++) {
        this.weightByBin[bin] = this.weightOf(bin) / this.scale;
      }
      this.scale = 1;
    }
  }

  private add(bin: number, weight: number): void {
    const inside = Math.min(BIN_COUNT - 1, Math.max(0, bin));
    this.weightByBin[inside] = this.weightOf(inside) + weight * this.scale;
  }

  private weightOf(bin: number): number {
    return this.weightByBin[bin] ?? 0;
  }

  private findPlan(loadMs: number): KeepAlivePlan {
    const savings = this.savingsByBin(loadMs);
    const kept = findBestPrefix(savings);
    const keepAliveMs = startOf(kept.endBin);
    const firstWarmBin = Math.max(kept.endBin + 1, binOf(keepAliveMs + 2 * loadMs));
    const warmed = findBestRun(savings, firstWarmBin);
    if (warmed.saving <= 0) {
      return { keepAliveMs };
    }
    const preWarmAfterMs = startOf(warmed.firstBin);
    return {
      keepAliveMs,
      preWarm: { afterMs: preWarmAfterMs, forMs: startOf(warmed.endBin) - preWarmAfterMs },
    };
  }

  /** What is saved in each bin when the model is loaded during it, in the units of the weighing. */
  private savingsByBin(loadMs: number): number[] {
    const coldStartCost = (loadMs / 1000) * this.weighing.coldStartSecond;
    const savings = new Array<number>(BIN_COUNT).fill(0);
    let laterWeight = 0;
    for (let bin = BIN_COUNT - 1; bin >= 0; bin--) {
      const weight = this.weightOf(bin);
      const idleMs = (laterWeight + weight / 2) * ((BIN_ENDS_MS[bin] ?? 0) - startOf(bin));
      savings[bin] = weight * coldStartCost - (idleMs / HOUR_MS) * this.weighing.idleAcceleratorHour;
      laterWeight += weight;
    }
    return savings;
  }
}

/** Finds the first bins that save most together; none when no number of them saves anything. */
function findBestPrefix(savings: readonly number[]): Window {
  let best: Window = { firstBin: 0, endBin: 0, saving: 0 };
  let total = 0;
  for (const [bin, saving] of savings.entries()) {
    total += saving;
    if (total > best.saving) {
      best = { firstBin: 0, endBin: bin + 1, saving: total };
    }
  }
  return best;
}

/** Finds the run of bins that saves most from a bin on (Kadane's algorithm). */
function findBestRun(savings: readonly number[], fromBin: number): Window {
  let best: Window = { firstBin: fromBin, endBin: fromBin, saving: 0 };
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

/** Finds the bin of a gap. */
function binOf(gapMs: number): number {
  if (gapMs <= FIRST_BIN_MS) {
    return 0;
  }
  return Math.min(BIN_COUNT - 1, Math.ceil(Math.log(gapMs / FIRST_BIN_MS) / Math.log(BIN_RATIO)));
}

/** Start of a bin in milliseconds. */
function startOf(bin: number): number {
  return bin === 0 ? 0 : (BIN_ENDS_MS[bin - 1] ?? 0);
}
