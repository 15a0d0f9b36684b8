import { spawn, type ChildProcess } from 'node:child_process';
import { sleepMs } from '../waiting.js';

/** Interval at which the output is searched, in milliseconds. */
const POLL_INTERVAL_MS = 2;

/** How a program ended: its exit code, or the signal that ended it. */
export interface ProgramEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Structured line of a program's output. */
export interface OutputLine {
  readonly message: string;
  readonly context: Readonly<Record<string, string | number | boolean>>;
}

/** Started program whose log lines and end are recorded. */
export class ObservedProgram {
  /** Standard output and standard error so far. */
  output = '';
  /** Resolves when the program has ended and its output is complete. */
  readonly ended: Promise<ProgramEnd>;
  private readonly child: ChildProcess;
  private hasEnded = false;

  /**
   * Starts a program.
   * @param args - Arguments of Node.js: the script and its own arguments.
   * @param environment - All environment variables of the program.
   * @param standardOutput - Descriptor of the standard output; recorded when it is absent.
   */
  constructor(args: readonly string[], environment: NodeJS.ProcessEnv, standardOutput?: number) {
    this.child = spawn(process.execPath, args, {
      env: environment,
      stdio: ['ignore', standardOutput ?? 'pipe', 'pipe'],
    });
    this.child.stdout?.on('data', (chunk: Buffer) => (this.output += chunk.toString()));
    this.child.stderr?.on('data', (chunk: Buffer) => (this.output += chunk.toString()));
    this.ended = new Promise((resolve) => {
      this.child.on('close', (code, signal) => {
        this.hasEnded = true;
        resolve({ code, signal });
      });
    });
  }

  /** Whether the program is still running. */
  get isRunning(): boolean {
    return !this.hasEnded;
  }

  /** Structured lines so far, in the order of output. */
  get lines(): readonly OutputLine[] {
    const texts = this.output.split('\n').slice(0, -1);
    return texts.filter((text) => text.startsWith('{')).map((text) => JSON.parse(text) as OutputLine);
  }

  /** Closes the pipes for the output of the program. */
  closeOutput(): void {
    this.child.stdout?.destroy();
    this.child.stderr?.destroy();
  }

  /** Returns the lines with a message. */
  findLines(message: string): readonly OutputLine[] {
    return this.lines.filter((line) => line.message === message);
  }

  /** Sends a signal to the program. */
  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Waits until the output has a line with a message; throws when the program ends first or the time is over. */
  async waitForLine(message: string, timeoutMs = 12_000): Promise<void> {
    const endsAtMs = Date.now() + timeoutMs;
    while (!this.output.includes(`"message":"${message}"`)) {
      if (this.hasEnded || Date.now() > endsAtMs) {
        throw new Error(`No line "${message}" in: ${this.output}`);
      }
      await sleepMs(POLL_INTERVAL_MS);
    }
  }

  /** Returns how the program ended, or undefined when it is still running after a time. */
  waitForEnd(timeoutMs: number): Promise<ProgramEnd | undefined> {
    return Promise.race([this.ended, sleepMs(timeoutMs).then(() => undefined)]);
  }
}
