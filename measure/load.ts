import { quantile, roundFigure, type Figure } from './Figure.js';
import { createService, MeasuredFleet, type FleetOptions, type TimedResponse } from './MeasuredFleet.js';

/** Weight store whose limits are too high to slow a load down. */
const UNLIMITED_WEIGHT_STORE = { readMs: 20, readsPerSecond: 1_000, fullSpeedReads: 100 };
/** Request rate at which the overhead is measured. */
const OVERHEAD_REQUESTS_PER_SECOND = 300;
/** Duration of each measured load, in milliseconds. */
const LOAD_DURATION_MS = 10_000;
/** Deadline of each request under overload, in milliseconds. */
const OVERLOAD_DEADLINE_MS = 1_000;
/** Tokens of each request in the goodput measurement. */
const TOKEN_COUNT = 20;
const MODEL = 'load/m0';

/** One router and two engines, with one model that may be loaded on both. */
export const LOAD_FLEET_OPTIONS: FleetOptions = {
  routerCount: 1,
  engineCount: 2,
  dataCentres: ['salto', 'paysandu'],
  engine: { capacityBytes: 1_000, slotCount: 8, tokenMs: 5, memoryLoadMs: 20, diskLoadMs: 50 },
  weightStore: UNLIMITED_WEIGHT_STORE,
  services: [createService('load', 1)],
};

/**
 * Sends requests at a fixed rate without waiting for earlier responses, and returns all responses.
 * @param requestsPerSecond - Request rate.
 * @param durationMs - Time for which requests are sent, in milliseconds.
 * @param send - Sends the request with the given ordinal.
 */
export async function sendAtRate(
  requestsPerSecond: number,
  durationMs: number,
  send: (ordinal: number) => Promise<TimedResponse>,
): Promise<TimedResponse[]> {
  const pending: Promise<TimedResponse>[] = [];
  const startedAtMs = performance.now();
  const totalCount = Math.floor((requestsPerSecond * durationMs) / 1_000);
  while (pending.length < totalCount) {
    const dueCount = Math.floor(((performance.now() - startedAtMs) * requestsPerSecond) / 1_000);
    while (pending.length < Math.min(dueCount, totalCount)) {
      pending.push(send(pending.length));
    }
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
  return Promise.all(pending);
}

/** Measures the latency that router and agent add to the engine's generation time for a loaded model. */
export async function measureWarmOverhead(): Promise<Figure[]> {
  const engine = { ...LOAD_FLEET_OPTIONS.engine, slotCount: 64 };
  const fleet = await MeasuredFleet.start({ ...LOAD_FLEET_OPTIONS, engine });
  try {
    await warmUp(fleet);
    await sendAtRate(OVERHEAD_REQUESTS_PER_SECOND, LOAD_DURATION_MS / 4, (ordinal) =>
      fleet.chat(1, MODEL, `warm ${ordinal}`, 2),
    );
    const responses = await sendAtRate(OVERHEAD_REQUESTS_PER_SECOND, LOAD_DURATION_MS, (ordinal) =>
      fleet.chat(1, MODEL, `p ${ordinal}`, 2),
    );
    const overheadsMs = responses.map((response) => response.totalMs - response.engineMs);
    const failedCount = responses.filter((response) => response.status !== 200).length;
    return [
      {
        name: 'warmOverheadP99Ms',
        value: roundFigure(quantile(overheadsMs, 0.99)),
        unit: 'ms',
        target: '<= 5',
      },
      { name: 'warmOverheadP50Ms', value: roundFigure(quantile(overheadsMs, 0.5)), unit: 'ms' },
      { name: 'warmOverheadFailed', value: failedCount, unit: 'requests', target: '0' },
    ];
  } finally {
    await fleet.stop();
  }
}

/** Measures the requests completed within their deadline at three times the capacity, and the recovery afterwards. */
export async function measureGoodput(): Promise<Figure[]> {
  const fleet = await MeasuredFleet.start(LOAD_FLEET_OPTIONS);
  try {
    await warmUp(fleet);
    const capacity = await measureCapacity(fleet);
    const send = (ordinal: number) => fleet.chat(1, MODEL, `o ${ordinal}`, TOKEN_COUNT, OVERLOAD_DEADLINE_MS);
    const overload = await sendAtRate(capacity * 3, LOAD_DURATION_MS, send);
    const recovery = await sendAtRate(capacity * 0.7, LOAD_DURATION_MS / 2, send);
    const isInTime = (response: TimedResponse) =>
      response.status === 200 && response.totalMs <= OVERLOAD_DEADLINE_MS;
    const goodput = overload.filter(isInTime).length / (LOAD_DURATION_MS / 1_000);
    const refusals = overload.filter((response) => response.status !== 200);
    const refusalsMs = refusals.map((response) => response.totalMs);
    const withoutRetryAfterCount = refusals.filter(
      (response) => response.headers['retry-after'] === undefined,
    ).length;
    const lateCount = overload.filter((response) => response.totalMs > OVERLOAD_DEADLINE_MS + 250).length;
    return [
      { name: 'capacity', value: roundFigure(capacity), unit: 'requests/s' },
      {
        name: 'goodputAtThreeTimesLoad',
        value: roundFigure(goodput / capacity),
        unit: 'of capacity',
        target: '>= 0.9',
      },
      { name: 'refusalP50Ms', value: roundFigure(quantile(refusalsMs, 0.5)), unit: 'ms' },
      { name: 'refusalsWithoutRetryAfter', value: withoutRetryAfterCount, unit: 'requests', target: '0' },
      { name: 'answeredLaterThanDeadline', value: lateCount, unit: 'requests', target: '0' },
      {
        name: 'servedAfterOverload',
        value: roundFigure(recovery.filter(isInTime).length / recovery.length),
        unit: 'of requests',
        target: '>= 0.99',
      },
    ];
  } finally {
    await fleet.stop();
  }
}

/** Sends enough concurrent requests for the model to be loaded on both engines. */
async function warmUp(fleet: MeasuredFleet): Promise<void> {
  await fleet.chat(1, MODEL, 'first', 1);
  await Promise.all(Array.from({ length: 300 }, (_, index) => fleet.chat(1, MODEL, `warm ${index}`, 10)));
}

/** Measures the throughput of as many concurrent callers as the engines have slots, in requests per second. */
async function measureCapacity(fleet: MeasuredFleet): Promise<number> {
  const endAtMs = performance.now() + LOAD_DURATION_MS / 2;
  let completedCount = 0;
  const runCaller = async (index: number) => {
    while (performance.now() < endAtMs) {
      await fleet.chat(1, MODEL, `c ${index}`, TOKEN_COUNT);
      completedCount++;
    }
  };
  const callerCount = LOAD_FLEET_OPTIONS.engineCount * LOAD_FLEET_OPTIONS.engine.slotCount;
  await Promise.all(Array.from({ length: callerCount }, (_, index) => runCaller(index)));
  return completedCount / (LOAD_DURATION_MS / 2_000);
}
