/** Source of time and timers; the daemon passes the system's, tests pass a virtual one. */
export interface Clock {
  /** Milliseconds since the epoch. */
  nowMs(): number;
  /**
   * Calls back once after a delay.
   * @param delayMs - Delay in milliseconds.
   * @param callback - What to run.
   */
  schedule(delayMs: number, callback: () => void): Timer;
}

/** Handle on a scheduled callback. */
export interface Timer {
  /** Prevents the callback from running; harmless after it ran. */
  cancel(): void;
}
