import type { Clock, Timer } from './Clock.js';

/** Runs a callback at a fixed interval on an injected clock. */
export class PeriodicTask {
  private timer: Timer | undefined;

  /**
   * @param clock - Source of timers.
   * @param intervalMs - Time between two runs in milliseconds.
   * @param callback - What to run.
   */
  constructor(
    private readonly clock: Clock,
    private readonly intervalMs: number,
    private readonly callback: () => void,
  ) {}

  /** Starts the runs; the first comes after one interval. */
  start(): void {
    this.timer = this.clock.schedule(this.intervalMs, () => {
      this.start();
      this.callback();
    });
  }

  /** Ends the runs. */
  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }
}
