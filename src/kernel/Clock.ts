/** Source of time and timers; the daemon uses the system clock, tests use a virtual clock. */
export interface Clock {
  /** Returns the time in milliseconds since the epoch. */
  nowMs(): number;
  /**
   * Runs a callback once after a delay.
   * @param delayMs - Delay in milliseconds.
   * @param callback - Callback to run.
   */
  schedule(delayMs: number, callback: () => void): Timer;
}

/** Handle of a scheduled callback. */
export interface Timer {
  /** Prevents the callback from running; does nothing after it has run. */
  cancel(): void;
}
