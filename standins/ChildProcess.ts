import { spawn, type ChildProcess as NodeChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** Timeout for the `ready` line of a started process, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;

/** Child process that prints a `ready` line once it has started. */
export class ChildProcess {
  /** Standard error output of the process so far. */
  errorOutput = '';
  private exitCode: number | null | undefined;

  private constructor(
    private readonly child: NodeChildProcess,
    readonly name: string,
  ) {
    child.stderr?.on('data', (chunk) => (this.errorOutput += String(chunk)));
    child.on('exit', (code) => (this.exitCode = code));
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the process has ended. */
  get hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /**
   * Starts a compiled script and resolves with the process and the text after `ready` on its `ready` line.
   * @param name - Name of the process in error messages.
   * @param scriptPath - Path of the script, relative to the output directory of the compiler.
   * @param args - Command-line arguments.
   * @param environment - Environment variables added to those of this process.
   */
  static async start(
    name: string,
    scriptPath: string,
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): Promise<{ readonly process: ChildProcess; readonly ready: string }> {
    const path = fileURLToPath(new URL(`../${scriptPath}`, import.meta.url));
    const child = spawn(process.execPath, [path, ...args], {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const childProcess = new ChildProcess(child, name);
    return { process: childProcess, ready: await childProcess.waitUntilReady() };
  }

  /**
   * Sends a signal to the process.
   * @param signal - Signal to send.
   */
  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Waits until the process has exited and returns its exit code, or null if a signal terminated it. */
  async waitForExit(): Promise<number | null> {
    if (this.exitCode === undefined && this.child.exitCode === null && this.child.signalCode === null) {
      await new Promise((resolve) => this.child.once('exit', resolve));
    }
    return this.child.exitCode;
  }

  /** Terminates the process with SIGTERM, and with SIGKILL if it is still running 10 seconds later. */
  async stop(): Promise<void> {
    // A process stopped by SIGSTOP handles SIGTERM only after it is continued.
    this.kill('SIGCONT');
    this.kill('SIGTERM');
    const timer = setTimeout(() => this.kill('SIGKILL'), 10_000);
    await this.waitForExit();
    clearTimeout(timer);
  }

  private waitUntilReady(): Promise<string> {
    return new Promise((resolve, reject) => {
      let output = '';
      const timer = setTimeout(
        () => reject(new Error(`${this.name} was not ready in time: ${this.errorOutput}`)),
        READY_TIMEOUT_MS,
      );
      this.child.stdout?.on('data', (chunk) => {
        output += String(chunk);
        const readyLine = /^ready ?(.*)\n/m.exec(output);
        if (readyLine) {
          clearTimeout(timer);
          resolve(readyLine[1] ?? '');
        }
      });
      this.child.once('exit', () => {
        clearTimeout(timer);
        reject(new Error(`${this.name} ended before it was ready: ${this.errorOutput}`));
      });
    });
  }
}
