import type { Clock, Timer } from '../../src/kernel/index.js';

/** Clock that moves only when a test says so. */
export class ManualClock implements Clock {
  private atMs = 0;
  private readonly timers = new Map<number, { dueMs: number; callback: () => void }>();
  private nextId = 1;

  nowMs(): number {
    return this.atMs;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const id = this.nextId++;
    this.timers.set(id, { dueMs: this.atMs + delayMs, callback });
    return { cancel: () => this.timers.delete(id) };
  }

  /**
   * Moves on and runs what is due on the way.
   * @param byMs - How far, in milliseconds.
   */
  advance(byMs: number): void {
    const untilMs = this.atMs + byMs;
    for (;;) {
      const due = [...this.timers].filter(([, timer]) => timer.dueMs <= untilMs);
      due.sort(([, left], [, right]) => left.dueMs - right.dueMs);
      const [first] = due;
      if (!first) {
        break;
      }
      this.timers.delete(first[0]);
      this.atMs = first[1].dueMs;
      first[1].callback();
    }
    this.atMs = untilMs;
  }
}
