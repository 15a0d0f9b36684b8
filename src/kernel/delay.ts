import type { Clock } from './Clock.js';

/**
 * Resolves after a delay of an injected clock.
 * @param clock - Source of timers.
 * @param delayMs - Delay in milliseconds.
 */
export function delay(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.schedule(delayMs, resolve);
  });
}
