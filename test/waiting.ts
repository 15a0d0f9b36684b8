import { delay, SystemClock } from '../src/kernel/index.js';

const CLOCK = new SystemClock();
/** Time between two evaluations of a condition, in milliseconds. */
const POLL_INTERVAL_MS = 10;

/** Runs the pending callbacks of resolved promises. */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * Sleeps in real time.
 * @param durationMs - Duration, in milliseconds.
 */
export function sleepMs(durationMs: number): Promise<void> {
  return delay(CLOCK, durationMs);
}

/**
 * Polls a condition until it holds or the time limit is reached; does not throw on timeout.
 * @param condition - Checks the condition.
 * @param limitMs - Longest wait, in milliseconds.
 */
export async function waitUntil(condition: () => boolean | Promise<boolean>, limitMs: number): Promise<void> {
  const deadlineMs = CLOCK.nowMs() + limitMs;
  while (!(await condition()) && CLOCK.nowMs() < deadlineMs) {
    await sleepMs(POLL_INTERVAL_MS);
  }
}
