import { delay, SystemClock } from '../src/kernel/index.js';

/** Clock of tests that wait for real. */
const CLOCK = new SystemClock();
/** Time between two looks, in milliseconds. */
const LOOK_MS = 10;

/** Lets promises that are resolved run their callbacks. */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * Waits for real.
 * @param durationMs - How long, in milliseconds.
 */
export function sleepMs(durationMs: number): Promise<void> {
  return delay(CLOCK, durationMs);
}

/**
 * Waits until something is so, or the time is over.
 * @param isSo - Looks whether it is.
 * @param limitMs - Longest wait, in milliseconds.
 */
export async function waitUntil(isSo: () => boolean | Promise<boolean>, limitMs: number): Promise<void> {
  const endsAtMs = CLOCK.nowMs() + limitMs;
  while (!(await isSo()) && CLOCK.nowMs() < endsAtMs) {
    await sleepMs(LOOK_MS);
  }
}
