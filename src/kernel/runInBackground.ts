import type { Clock } from './Clock.js';
import { delay } from './delay.js';

/** Time between a failure of a task and its next run, in milliseconds. */
const RESTART_DELAY_MS = 1_000;

/**
 * Receives the errors of work that nobody waits for.
 * @param error - What was thrown.
 * @param task - Name of the work, in a few words.
 */
export type BackgroundErrorListener = (error: unknown, task: string) => void;

const throwError: BackgroundErrorListener = (error) => {
  throw error;
};
let listener = throwError;

/**
 * Sets the listener for errors of work that nobody waits for; without one they are thrown, which ends the process.
 * @param newListener - Usually writes to the process's log; undefined for none.
 */
export function onBackgroundError(newListener: BackgroundErrorListener | undefined): void {
  listener = newListener ?? throwError;
}

/**
 * Runs work that nobody waits for; an error goes to the listener instead of ending the process.
 * @param task - Name of the work, in a few words.
 * @param run - The work.
 */
export function runInBackground(task: string, run: () => unknown): void {
  try {
    const result = run();
    if (result instanceof Promise) {
      result.catch((error: unknown) => listener(error, task));
    }
  } catch (error) {
    listener(error, task);
  }
}

/**
 * Runs a loop that nobody waits for, and runs it again after an error.
 * @param task - Name of the loop, in a few words.
 * @param clock - Source of timers.
 * @param run - The loop; returns when it should end.
 */
export function keepRunning(task: string, clock: Clock, run: () => Promise<void>): void {
  runInBackground(task, async () => {
    for (;;) {
      try {
        await run();
        return;
      } catch (error) {
        listener(error, task);
      }
      await delay(clock, RESTART_DELAY_MS);
    }
  });
}
