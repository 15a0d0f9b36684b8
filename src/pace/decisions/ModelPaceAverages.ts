import { isPlausibleGapMs, type ModelPace } from './ModelPace.js';

/** Half-life of the weight of a stream, in milliseconds: a pace that has changed is forgotten within 10 to 20 s. */
const HALF_LIFE_MS = 4_000;
/** Weight below which a model's streams are forgotten, in streams. */
const MIN_STREAM_COUNT = 0.7;
/** Change of the mean gap from which it is reported anew, as a difference of logarithms. */
const MIN_LOG_CHANGE = 0.12;
/** Minimum time between two changes of a model's report, in milliseconds, which bounds the bytes that reports take. */
const MIN_CHANGE_INTERVAL_MS = 1_000;
/** Maximum number of models, which routers name. */
const MAX_MODELS = 64;

/** Decaying sums over the streams of one model. */
interface PaceSums {
  weight: number;
  logGapSum: number;
  runningSum: number;
  atMs: number;
  reported: ModelPace | undefined;
  reportedAtMs: number;
}

/** Moving averages of the pace of an engine's streams by model. */
export class ModelPaceAverages {
  private readonly sumsByModel = new Map<string, PaceSums>();

  /**
   * Records the end of a stream.
   * @param model - Its model.
   * @param gapMs - Its mean time between two events, in milliseconds, as received from a router.
   * @param runningCount - Number of requests that run on the engine.
   * @param nowMs - Current time.
   */
  record(model: string, gapMs: unknown, runningCount: number, nowMs: number): void {
    const known = this.sumsByModel.get(model);
    if (!isPlausibleGapMs(gapMs) || (!known && this.sumsByModel.size >= MAX_MODELS)) {
      return;
    }
    const sums = known ?? createSums(nowMs);
    this.sumsByModel.set(model, sums);
    decay(sums, nowMs);
    sums.weight++;
    sums.logGapSum += Math.log(gapMs);
    sums.runningSum += runningCount;
  }

  /**
   * Returns the pace of each model with recent streams, and forgets the others. Values that have changed little are
   * returned as they were, so that reports that carry only changes stay small.
   * @param nowMs - Current time.
   */
  getPaces(nowMs: number): Record<string, ModelPace> {
    const paces: [string, ModelPace][] = [];
    for (const [model, sums] of this.sumsByModel) {
      decay(sums, nowMs);
      if (sums.weight < MIN_STREAM_COUNT) {
        this.sumsByModel.delete(model);
        continue;
      }
      const pace = toPace(sums);
      if (!sums.reported || isChanged(sums.reported, pace, nowMs - sums.reportedAtMs)) {
        sums.reported = pace;
        sums.reportedAtMs = nowMs;
      }
      paces.push([model, sums.reported]);
    }
    return Object.fromEntries(paces);
  }
}

function createSums(nowMs: number): PaceSums {
  return {
    weight: 0,
    logGapSum: 0,
    runningSum: 0,
    atMs: nowMs,
    reported: undefined,
    reportedAtMs: -Infinity,
  };
}

function decay(sums: PaceSums, nowMs: number): void {
  const factor = 2 ** (-(nowMs - sums.atMs) / HALF_LIFE_MS);
  sums.weight *= factor;
  sums.logGapSum *= factor;
  sums.runningSum *= factor;
  sums.atMs = nowMs;
}

/** Returns the pace with a stream count rounded to a power of two, which changes seldom. */
function toPace({ weight, logGapSum, runningSum }: PaceSums): ModelPace {
  return {
    gapMs: Math.round(10 * Math.exp(logGapSum / weight)) / 10,
    streamCount: 2 ** Math.round(Math.log2(weight)),
    runningCount: Math.round(runningSum / weight),
  };
}

function isChanged(reported: ModelPace, pace: ModelPace, sinceMs: number): boolean {
  if (sinceMs < MIN_CHANGE_INTERVAL_MS) {
    return false;
  }
  const logChange = Math.abs(Math.log(pace.gapMs / reported.gapMs));
  return logChange >= MIN_LOG_CHANGE || pace.streamCount !== reported.streamCount;
}
