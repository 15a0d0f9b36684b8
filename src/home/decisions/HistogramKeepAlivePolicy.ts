import type { Weighing } from '../../domain/index.js';
import { KeepAlivePolicy, type KeepAlivePlan } from './KeepAlivePolicy.js';

/** Upper end of the first bin in milliseconds. */
const FIRST_BIN_MS = 1_000;
/** Ratio of the ends of two bins in a row. */
const BIN_RATIO = 1.3;
/** Number of bins; the last ends after about two days. */
const BIN_COUNT = 48;
/** Share of a count that is left after each further gap, so that old habits fade. */
const FADE_FACTOR = 0.99;
/** Weight of all gaps that are assumed before any was seen. */
const PRIOR_WEIGHT = 4;
/** Milliseconds in an hour. */
const HOUR_MS = 3_600_000;

/** Upper ends of the bins in milliseconds. */
const BIN_ENDS_MS: readonly number[] = Array.from(
  { length: BIN_COUNT },
  (_, bin) => FIRST_BIN_MS * BIN_RATIO ** bin,
);

/**
 * Chooses the keep-alive and the time of pre-warming that cost least for the gaps seen, by the service's own weighing.
 *
 * The idea of a histogram of idle gaps that sets a pre-warming and a keep-alive window is from Shahrad et al.,
 * "Serverless in the Wild", USENIX ATC 2020. A prior of gaps spread evenly over the logarithm of time stands in for a
 * model that has not been seen often.
 */
export class HistogramKeepAlivePolicy extends KeepAlivePolicy {
  private readonly weightByBin: number[] = new Array<number>(BIN_COUNT).fill(PRIOR_WEIGHT / BIN_COUNT);
  private cached: { readonly loadMs: number; readonly plan: KeepAlivePlan } | undefined;

  /** @param weighing - How the service weighs its measures. */
  constructor(private readonly weighing: Weighing) {
    super();
  }

  gapSeen(gapMs: number): void {
    for (let bin = 0; bin < BIN_COUNT; bin++) {
      this.weightByBin[bin] = this.weightOf(bin) * FADE_FACTOR;
    }
    const bin = binOf(gapMs);
    this.weightByBin[bin] = this.weightOf(bin) + 1;
    this.cached = undefined;
  }

  plan(loadMs: number): KeepAlivePlan {
    if (this.cached && Math.abs(this.cached.loadMs - loadMs) <= this.cached.loadMs / 10) {
      return this.cached.plan;
    }
    const plan = this.findCheapest(loadMs);
    this.cached = { loadMs, plan };
    return plan;
  }

  private weightOf(bin: number): number {
    return this.weightByBin[bin] ?? 0;
  }

  private findCheapest(loadMs: number): KeepAlivePlan {
    let best: KeepAlivePlan = { keepAliveMs: 0 };
    let bestCost = this.costOf(loadMs, 0, 0, 0);
    for (let keepBin = 0; keepBin <= BIN_COUNT; keepBin++) {
      const keepAliveMs = keepBin === 0 ? 0 : (BIN_ENDS_MS[keepBin - 1] ?? 0);
      const plainCost = this.costOf(loadMs, keepAliveMs, Infinity, Infinity);
      if (plainCost < bestCost) {
        best = { keepAliveMs };
        bestCost = plainCost;
      }
    }
    for (let warmBin = 1; warmBin < BIN_COUNT; warmBin++) {
      const warmAtMs = BIN_ENDS_MS[warmBin - 1] ?? 0;
      for (let endBin = warmBin; endBin < BIN_COUNT; endBin++) {
        const endAtMs = BIN_ENDS_MS[endBin] ?? 0;
        const cost = this.costOf(loadMs, 0, warmAtMs, endAtMs);
        if (warmAtMs > 2 * loadMs && cost < bestCost) {
          best = { keepAliveMs: endAtMs - warmAtMs, preWarmAfterMs: warmAtMs };
          bestCost = cost;
        }
      }
    }
    return best;
  }

  /** Cost of one gap on average, in the units of the weighing, when the model is loaded in the given windows. */
  private costOf(loadMs: number, keepAliveMs: number, warmFromMs: number, warmToMs: number): number {
    let coldStarts = 0;
    let idleMs = 0;
    let total = 0;
    for (let bin = 0; bin < BIN_COUNT; bin++) {
      const weight = this.weightOf(bin);
      const gapMs = BIN_ENDS_MS[bin] ?? 0;
      const isWarm = gapMs <= keepAliveMs || (gapMs > warmFromMs && gapMs <= warmToMs);
      total += weight;
      coldStarts += isWarm ? 0 : weight;
      idleMs +=
        weight * (Math.min(gapMs, keepAliveMs) + Math.max(0, Math.min(gapMs, warmToMs) - warmFromMs || 0));
    }
    const coldCost = (coldStarts * loadMs * this.weighing.coldStartSecond) / 1000;
    const idleCost = (idleMs * this.weighing.idleAcceleratorHour) / HOUR_MS;
    return (coldCost + idleCost) / total;
  }
}

/** Finds the bin of a gap. */
function binOf(gapMs: number): number {
  const bin = BIN_ENDS_MS.findIndex((endMs) => gapMs <= endMs);
  return bin < 0 ? BIN_COUNT - 1 : bin;
}
