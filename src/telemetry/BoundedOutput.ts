import { write } from 'node:fs';
import { delay, type Clock, type Service } from '../kernel/index.js';

/** File descriptor of the standard output. */
const STANDARD_OUTPUT = 1;
/** Lines that may be written in one second on average; a request takes three. */
const LINES_PER_SECOND = 300;
/** Lines that may be written at once after a quiet time. */
const BURST_LINES = 600;
/** Most characters that wait to be written. */
const MAX_PENDING_CHARACTERS = 256 * 1024;
/** Time for which lines gather before they are written together, in milliseconds. */
const GATHER_MS = 20;

/** Time that the last lines get at a stop, in milliseconds: twice the time for which lines gather, and some more. */
const LAST_LINES_MS = 100;

/** Writes lines to the standard output without ever blocking: what exceeds its rate or room is counted and dropped. */
export class BoundedOutput implements Service {
  private pending: string[] = [];
  private pendingCharacters = 0;
  private saved = BURST_LINES;
  private refilledAtMs: number;
  private dropped = 0;
  private announced = 0;
  private isWriting = false;

  /**
   * @param clock - Source of time.
   * @param writeOut - Writes text and calls back when it is out.
   */
  constructor(
    private readonly clock: Clock,
    private readonly writeOut: (text: string, done: () => void) => void = writeToStandardOutput,
  ) {
    this.refilledAtMs = clock.nowMs();
  }

  /** Lines that were dropped so far. */
  get droppedCount(): number {
    return this.dropped;
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  /** Gives the lines that wait a moment to get out; what a stuck reader does not take by then is lost. */
  async stop(): Promise<void> {
    const endsAtMs = this.clock.nowMs() + LAST_LINES_MS;
    while (this.isWriting && this.clock.nowMs() < endsAtMs) {
      await delay(this.clock, GATHER_MS);
    }
  }

  /** @param line - Line without its end. */
  write(line: string): void {
    this.refill();
    if (this.saved < 1 || this.pendingCharacters + line.length > MAX_PENDING_CHARACTERS) {
      this.dropped++;
      return;
    }
    this.saved--;
    this.pending.push(line);
    this.pendingCharacters += line.length + 1;
    if (!this.isWriting) {
      this.isWriting = true;
      this.clock.schedule(GATHER_MS, () => this.flush());
    }
  }

  private refill(): void {
    const nowMs = this.clock.nowMs();
    const gained = ((nowMs - this.refilledAtMs) / 1000) * LINES_PER_SECOND;
    this.saved = Math.min(BURST_LINES, this.saved + gained);
    this.refilledAtMs = nowMs;
  }

  private flush(): void {
    if (this.dropped > this.announced) {
      this.pending.push(
        JSON.stringify({ message: 'log lines dropped', count: this.dropped - this.announced }),
      );
      this.announced = this.dropped;
    }
    const text = `${this.pending.join('\n')}\n`;
    this.pending = [];
    this.pendingCharacters = 0;
    this.writeOut(text, () => {
      if (this.pending.length > 0) {
        this.clock.schedule(GATHER_MS, () => this.flush());
      } else {
        this.isWriting = false;
      }
    });
  }
}

function writeToStandardOutput(text: string, done: () => void): void {
  write(STANDARD_OUTPUT, text, done);
}
