import { fstatSync, write } from 'node:fs';
import { delay, type Clock, type Service } from '../kernel/index.js';

/** File descriptor of the standard output. */
const STANDARD_OUTPUT = 1;
/** Average rate at which lines are accepted; one request logs three lines. */
const LINES_PER_SECOND = 300;
/** Maximum number of lines accepted in a burst. */
const BURST_LINES = 600;
/** Maximum number of characters that wait to be written. */
const MAX_PENDING_CHARACTERS = 256 * 1024;
/** Time for which lines are collected before they are written together, in milliseconds. */
const FLUSH_DELAY_MS = 20;

/** Maximum wait for the last lines at a stop, in milliseconds; it covers at least two flush delays. */
const STOP_TIMEOUT_MS = 100;

/** Writes lines to the standard output without blocking; lines over its limits are dropped and counted. */
export class BoundedOutput implements Service {
  private pending: string[] = [];
  private pendingCharacters = 0;
  private tokens = BURST_LINES;
  private refilledAtMs: number;
  private dropped = 0;
  private reportedDropped = 0;
  private isWriting = false;

  /**
   * @param clock - Source of time.
   * @param writeOut - Writes text and calls `done` when it has been written.
   */
  constructor(
    private readonly clock: Clock,
    private readonly writeOut: (text: string, done: () => void) => void = writeToStandardOutput,
  ) {
    this.refilledAtMs = clock.nowMs();
  }

  /** Number of lines dropped so far. */
  get droppedCount(): number {
    return this.dropped;
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  /** Waits a limited time for pending lines; those that a blocked reader has not read by then are lost. */
  async stop(): Promise<void> {
    const endsAtMs = this.clock.nowMs() + STOP_TIMEOUT_MS;
    while (this.isWriting && this.clock.nowMs() < endsAtMs) {
      await delay(this.clock, FLUSH_DELAY_MS);
    }
  }

  /**
   * Queues a line, or drops it when the rate or buffer limit is reached.
   * @param line - Line without its line break.
   */
  write(line: string): void {
    this.refill();
    if (this.tokens < 1) {
      this.dropped++;
      return;
    }
    if (this.queue(line)) {
      this.tokens--;
      if (!this.isWriting) {
        this.isWriting = true;
        this.clock.schedule(FLUSH_DELAY_MS, () => this.flush());
      }
    }
  }

  /**
   * Writes a line without delay unless others are being written; the rate does not limit it, the buffer does.
   * @param line - Line without its line break.
   */
  writeUrgent(line: string): void {
    if (this.queue(line) && !this.isWriting) {
      this.isWriting = true;
      this.flush();
    }
  }

  private queue(line: string): boolean {
    if (this.pendingCharacters + line.length > MAX_PENDING_CHARACTERS) {
      this.dropped++;
      return false;
    }
    this.pending.push(line);
    this.pendingCharacters += line.length + 1;
    return true;
  }

  private refill(): void {
    const nowMs = this.clock.nowMs();
    const refilledTokens = ((nowMs - this.refilledAtMs) / 1000) * LINES_PER_SECOND;
    this.tokens = Math.min(BURST_LINES, this.tokens + refilledTokens);
    this.refilledAtMs = nowMs;
  }

  private flush(): void {
    if (this.dropped > this.reportedDropped) {
      this.pending.push(
        JSON.stringify({ message: 'log lines dropped', count: this.dropped - this.reportedDropped }),
      );
      this.reportedDropped = this.dropped;
    }
    const text = `${this.pending.join('\n')}\n`;
    this.pending = [];
    this.pendingCharacters = 0;
    this.writeOut(text, () => {
      if (this.pending.length > 0) {
        this.clock.schedule(FLUSH_DELAY_MS, () => this.flush());
      } else {
        this.isWriting = false;
      }
    });
  }
}

/**
 * Writes text to the standard output.
 *
 * A pipe or socket is written as a stream. While nobody reads, `write` would hold a thread, for which a process that exits
 * waits, or lose part of the text if the descriptor does not block.
 */
function writeToStandardOutput(text: string, done: () => void): void {
  if (!isPipeOrSocket(STANDARD_OUTPUT)) {
    write(STANDARD_OUTPUT, text, done);
    return;
  }
  if (process.stdout.listenerCount('error') === 0) {
    // The callback of each write also gets the error.
    process.stdout.on('error', () => undefined);
  }
  process.stdout.write(text, () => done());
}

function isPipeOrSocket(descriptor: number): boolean {
  try {
    const stats = fstatSync(descriptor);
    return stats.isFIFO() || stats.isSocket();
  } catch {
    // Not open; `write` reports the error to its callback.
    return false;
  }
}
