import type { Clock, Timer } from './Clock.js';

/** Longest delay that the runtime's timers take, in milliseconds. */
const MAX_TIMER_DELAY_MS = 2 ** 31 - 1;

/** Steady clock: it starts at the time of day and is not moved by changes of that. */
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
