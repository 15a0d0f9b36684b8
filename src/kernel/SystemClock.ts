import type { Clock, Timer } from './Clock.js';
import { runInBackground } from './runInBackground.js';

/** Maximum delay of a Node.js timer, in milliseconds. */
const MAX_TIMER_DELAY_MS = 2 ** 31 - 1;

/** Lateness from which a callback waits for a poll of the sockets, in milliseconds; an idle process is seldom as late. */
const MAX_LATENESS_MS = 5;

/**
 * Monotonic clock that starts at the system time and ignores later changes of it.
 *
 * Node.js runs timers before it polls the sockets. After a standstill of the process, a callback that is late therefore runs
 * only once the sockets were polled, so that a timeout does not expire before data that has arrived is received.
 */
export class SystemClock implements Clock {
  /** Whether a late callback waits for a poll; later ones wait too, which keeps their order. */
  private isPollAwaited = false;

  nowMs(): number {
    return performance.timeOrigin + performance.now();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const boundedMs = Math.min(Math.max(0, delayMs), MAX_TIMER_DELAY_MS);
    const dueAtMs = performance.now() + boundedMs;
    let isCancelled = false;
    const handle = setTimeout(() => {
      if (!this.isPollAwaited && performance.now() - dueAtMs <= MAX_LATENESS_MS) {
        runInBackground('timer', callback);
        return;
      }
      this.isPollAwaited = true;
      // Runs right after the next poll, in a busy process too.
      setImmediate(() => {
        this.isPollAwaited = false;
        if (!isCancelled) {
          runInBackground('timer', callback);
        }
      });
    }, boundedMs);
    return {
      cancel: () => {
        isCancelled = true;
        clearTimeout(handle);
      },
    };
  }
}
