import type { Clock, Timer } from './Clock.js';

/** Runs a callback at a fixed interval of an injected clock. */
export class PeriodicTask {
  private timer: Timer | undefined;

  /**
   * @param clock - Source of timers.
   * @param intervalMs - Time between two runs, in milliseconds.
   * @param callback - Callback to run.
   */
  constructor(
    private readonly clock: Clock,
    private readonly intervalMs: number,
    private readonly callback: () => void,
  ) {}

  /** Starts the task; the first run follows after one interval. */
  start(): void {
    this.timer = this.clock.schedule(this.intervalMs, () => {
      this.start();
      this.callback();
    });
  }

  /** Stops the task. */
  stop(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }
}
