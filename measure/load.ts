import { quantile, rounded, type Figure } from './Figure.js';
import { createService, MeasuredFleet, type FleetSetup, type TimedAnswer } from './MeasuredFleet.js';

/** A weight store that limits nothing. */
const FREE_STORE = { readMs: 20, readsPerSecond: 1_000, fullSpeedReads: 100 };
/** Rate at which the overhead is measured, in requests per second. */
const OVERHEAD_RATE = 300;
/** Time for which a load is kept up, in milliseconds. */
const LOAD_MS = 10_000;
/** Deadline of requests under overload, in milliseconds. */
const OVERLOAD_DEADLINE_MS = 1_000;
const TOKENS = 20;
const MODEL = 'load/m0';

/** Two engines and one router, with one model loaded on both. */
export const LOAD_SETUP: FleetSetup = {
  routerCount: 1,
  engineCount: 2,
  dataCentres: ['salto', 'paysandu'],
  engine: { capacityBytes: 1_000, slotCount: 8, tokenMs: 5, memoryLoadMs: 20, diskLoadMs: 50 },
  weightStore: FREE_STORE,
  services: [createService('load', 1)],
};

/**
 * Sends requests at a fixed rate, whatever becomes of the earlier ones.
 * @param ratePerSecond - The rate.
 * @param forMs - How long, in milliseconds.
 * @param send - Sends one request.
 */
export async function sendAtRate(
  ratePerSecond: number,
  forMs: number,
  send: (ordinal: number) => Promise<TimedAnswer>,
): Promise<TimedAnswer[]> {
  const pending: Promise<TimedAnswer>[] = [];
  const startedAtMs = performance.now();
  const total = Math.floor((ratePerSecond * forMs) / 1_000);
  while (pending.length < total) {
    const due = Math.floor(((performance.now() - startedAtMs) * ratePerSecond) / 1_000);
    while (pending.length < Math.min(due, total)) {
      pending.push(send(pending.length));
    }
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
  return Promise.all(pending);
}

/** Measures what router and agent add to the engine's own time on a warm model. */
export async function measureWarmOverhead(): Promise<Figure[]> {
  const engine = { ...LOAD_SETUP.engine, slotCount: 64 };
  const fleet = await MeasuredFleet.start({ ...LOAD_SETUP, engine });
  try {
    await warmUp(fleet);
    await sendAtRate(OVERHEAD_RATE, LOAD_MS / 4, (ordinal) => fleet.chat(1, MODEL, `warm ${ordinal}`, 2));
    const answers = await sendAtRate(OVERHEAD_RATE, LOAD_MS, (ordinal) =>
      fleet.chat(1, MODEL, `p ${ordinal}`, 2),
    );
    const overheadsMs = answers.map((answer) => answer.totalMs - answer.engineMs);
    const failed = answers.filter((answer) => answer.status !== 200).length;
    return [
      { name: 'warmOverheadP99Ms', value: rounded(quantile(overheadsMs, 0.99)), unit: 'ms', target: '<= 5' },
      { name: 'warmOverheadP50Ms', value: rounded(quantile(overheadsMs, 0.5)), unit: 'ms' },
      { name: 'warmOverheadFailed', value: failed, unit: 'requests', target: '0' },
    ];
  } finally {
    await fleet.stop();
  }
}

/** Measures the work done in time at three times the capacity, and whether it recovers afterwards. */
export async function measureGoodput(): Promise<Figure[]> {
  const fleet = await MeasuredFleet.start(LOAD_SETUP);
  try {
    await warmUp(fleet);
    const capacity = await measureCapacity(fleet);
    const send = (ordinal: number) => fleet.chat(1, MODEL, `o ${ordinal}`, TOKENS, OVERLOAD_DEADLINE_MS);
    const overload = await sendAtRate(capacity * 3, LOAD_MS, send);
    const after = await sendAtRate(capacity * 0.7, LOAD_MS / 2, send);
    const isInTime = (answer: TimedAnswer) => answer.status === 200 && answer.totalMs <= OVERLOAD_DEADLINE_MS;
    const goodput = overload.filter(isInTime).length / (LOAD_MS / 1_000);
    const refusals = overload.filter((answer) => answer.status !== 200);
    const refusalsMs = refusals.map((answer) => answer.totalMs);
    const untold = refusals.filter((answer) => answer.headers['retry-after'] === undefined).length;
    const late = overload.filter((answer) => answer.totalMs > OVERLOAD_DEADLINE_MS + 250).length;
    return [
      { name: 'capacity', value: rounded(capacity), unit: 'requests/s' },
      {
        name: 'goodputAtThreeTimesLoad',
        value: rounded(goodput / capacity),
        unit: 'of capacity',
        target: '>= 0.9',
      },
      { name: 'refusalP50Ms', value: rounded(quantile(refusalsMs, 0.5)), unit: 'ms' },
      { name: 'refusalsWithoutRetryAfter', value: untold, unit: 'requests', target: '0' },
      { name: 'answeredLaterThanDeadline', value: late, unit: 'requests', target: '0' },
      {
        name: 'servedAfterOverload',
        value: rounded(after.filter(isInTime).length / after.length),
        unit: 'of requests',
        target: '>= 0.99',
      },
    ];
  } finally {
    await fleet.stop();
  }
}

/** Loads the model on both engines. */
async function warmUp(fleet: MeasuredFleet): Promise<void> {
  await fleet.chat(1, MODEL, 'first', 1);
  await Promise.all(Array.from({ length: 300 }, (_, index) => fleet.chat(1, MODEL, `warm ${index}`, 10)));
}

/** Requests that are completed in a second by as many callers as there are slots, in requests per second. */
async function measureCapacity(fleet: MeasuredFleet): Promise<number> {
  const endAtMs = performance.now() + LOAD_MS / 2;
  let count = 0;
  const caller = async (index: number) => {
    while (performance.now() < endAtMs) {
      await fleet.chat(1, MODEL, `c ${index}`, TOKENS);
      count++;
    }
  };
  const callerCount = LOAD_SETUP.engineCount * LOAD_SETUP.engine.slotCount;
  await Promise.all(Array.from({ length: callerCount }, (_, index) => caller(index)));
  return count / (LOAD_MS / 2_000);
}
