import type { Random } from '../../src/kernel/index.js';
import { sleepMs } from '../waiting.js';
import type { SoakFleet, SoakProcess } from './SoakFleet.js';
import type { SoakRecorder } from './SoakRecorder.js';

/** Range of the time between two series of signals, in milliseconds. */
const SERIES_INTERVAL_RANGE_MS = 800;
/** Largest number of signals in a series. */
const MAX_SERIES_LENGTH = 6;
/** Range of the time between two signals of a series, in milliseconds. */
const SIGNAL_INTERVAL_RANGE_MS = 60;
/** Interval at which the processes are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 10;
/** Log messages on errors that nothing expects. */
const ERROR_MESSAGES = ['uncaught error', 'background task failed'];

/**
 * Sends signals that no caller must notice: SIGHUP in series, also as soon as a process has started, and repeated signals to
 * stop. Reports processes that end without having been asked to.
 */
export class SoakSignals {
  private isStopped = false;
  private readonly startedChildren = new WeakSet<object>();
  private running: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly fleet: SoakFleet,
    private readonly recorder: SoakRecorder,
    private readonly random: Random,
  ) {}

  start(): void {
    this.running = Promise.all([this.sendSeries(), this.watchStarts()]);
  }

  /** Sends no further signals, and reports processes that have ended or logged an error that nothing expects. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.running;
    for (const { name, child, output } of this.fleet.processes) {
      if (child?.exitCode !== null || child.signalCode !== null) {
        this.recorder.reportedViolations.push(`${name} has ended by itself`);
      }
      for (const line of output.filter((text) => ERROR_MESSAGES.some((message) => text.includes(message)))) {
        this.recorder.reportedViolations.push(`${name}: ${line}`);
      }
    }
  }

  /** Sends a signal again once or twice at random times while the process is stopping. */
  repeat({ child }: SoakProcess, signal: NodeJS.Signals): void {
    for (let count = this.random.nextInt(3); count > 0; count--) {
      void sleepMs(this.random.nextInt(1_500)).then(() => child?.kill(signal));
    }
  }

  private async sendSeries(): Promise<void> {
    while (!this.isStopped) {
      const { processes } = this.fleet;
      const process = processes[this.random.nextInt(processes.length)];
      if (process?.hasWritten === true) {
        await this.sendHangups(process);
      }
      await sleepMs(this.random.nextInt(SERIES_INTERVAL_RANGE_MS));
    }
  }

  /** Sends a series to each process as soon as it has started. */
  private async watchStarts(): Promise<void> {
    while (!this.isStopped) {
      for (const process of this.fleet.processes) {
        const { child, hasWritten } = process;
        if (child && hasWritten && !this.startedChildren.has(child)) {
          this.startedChildren.add(child);
          await this.sendHangups(process);
        }
      }
      await sleepMs(CHECK_INTERVAL_MS);
    }
  }

  private async sendHangups({ child }: SoakProcess): Promise<void> {
    for (let count = 1 + this.random.nextInt(MAX_SERIES_LENGTH); count > 0; count--) {
      child?.kill('SIGHUP');
      await sleepMs(this.random.nextInt(SIGNAL_INTERVAL_RANGE_MS));
    }
  }
}
