import type { Clock, Timer } from '../../src/kernel/index.js';

/** Clock that advances only when a test calls `advance`. */
export class ManualClock implements Clock {
  private currentMs = 0;
  private readonly timers = new Map<number, { dueMs: number; callback: () => void }>();
  private nextId = 1;

  nowMs(): number {
    return this.currentMs;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const id = this.nextId++;
    this.timers.set(id, { dueMs: this.currentMs + delayMs, callback });
    return { cancel: () => this.timers.delete(id) };
  }

  /**
   * Advances the time and runs the timers that come due, in the order of their due times.
   * @param durationMs - Time to advance by, in milliseconds.
   */
  advance(durationMs: number): void {
    const untilMs = this.currentMs + durationMs;
    for (;;) {
      const due = [...this.timers].filter(([, timer]) => timer.dueMs <= untilMs);
      due.sort(([, left], [, right]) => left.dueMs - right.dueMs);
      const [first] = due;
      if (!first) {
        break;
      }
      this.timers.delete(first[0]);
      this.currentMs = first[1].dueMs;
      first[1].callback();
    }
    this.currentMs = untilMs;
  }
}
