import type { Clock, Timer } from './Clock.js';

/** Maximum delay of a Node.js timer, in milliseconds. */
const MAX_TIMER_DELAY_MS = 2 ** 31 - 1;

/** Monotonic clock that starts at the system time and ignores later changes of it. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.timeOrigin + performance.now();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const boundedMs = Math.min(Math.max(0, delayMs), MAX_TIMER_DELAY_MS);
    const handle = setTimeout(callback, boundedMs);
    return { cancel: () => clearTimeout(handle) };
  }
}
