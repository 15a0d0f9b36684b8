/** Pace of recent streams of one model on one engine, as its agent reports it. */
export interface ModelPace {
  /** Geometric mean of the streams' mean times between two events, in milliseconds. */
  readonly gapMs: number;
  /** Number of streams behind the mean; older ones count less. */
  readonly streamCount: number;
  /** Mean number of requests that ran on the engine meanwhile. */
  readonly runningCount: number;
}

/** Shortest mean time between two events that counts as plausible, in milliseconds. */
const MIN_GAP_MS = 0.1;
/** Longest mean time between two events that counts as plausible, in milliseconds. */
const MAX_GAP_MS = 60_000;
/**
 * Share by which each further request in the batch prolongs a step. If it is smaller in fact, the servers with the larger
 * batches seem faster than they are and get more requests, so it is set low; the reports correct the expected gap itself.
 */
const BATCH_SLOWDOWN = 0.006;
/** Number of running requests for which gaps without a stated batch apply. */
const USUAL_BATCH = 8;

/**
 * Whether a value received from another process is a plausible mean time between two events.
 * @param value - The value.
 */
export function isPlausibleGapMs(value: unknown): value is number {
  return typeof value === 'number' && value >= MIN_GAP_MS && value <= MAX_GAP_MS;
}

/**
 * Whether a value received from another process is a pace.
 * @param value - The value.
 */
export function isModelPace(value: unknown): value is ModelPace {
  const { gapMs, streamCount, runningCount } = (value ?? {}) as Partial<ModelPace>;
  return isPlausibleGapMs(gapMs) && isCount(streamCount) && isCount(runningCount);
}

/**
 * Returns the valid paces among values by model that were received from another process.
 * @param value - The values.
 */
export function readModelPaces(value: unknown): [model: string, pace: ModelPace][] {
  const paces: [string, ModelPace][] = [];
  for (const [model, pace] of Object.entries(value ?? {})) {
    if (isModelPace(pace)) {
      paces.push([model, pace]);
    }
  }
  return paces;
}

function isCount(value: unknown): boolean {
  return Number.isFinite(value) && Number(value) >= 0;
}

/**
 * Returns the time between two events in a batch as a multiple of the time in a usual batch.
 * @param runningCount - Number of requests in the batch.
 */
export function getBatchFactor(runningCount: number): number {
  return (1 + BATCH_SLOWDOWN * runningCount) / (1 + BATCH_SLOWDOWN * USUAL_BATCH);
}
