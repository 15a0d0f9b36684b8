import { spawn, type ChildProcess as NodeChild } from 'node:child_process';
import { createServer, type AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';

/** Time given to a process to report that it is ready, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;

/** A process that prints `ready` when it is. */
export class ChildProcess {
  /** What the process wrote to its standard error. */
  errorOutput = '';
  private exitCode: number | null | undefined;

  private constructor(
    private readonly child: NodeChild,
    readonly name: string,
  ) {
    child.stderr?.on('data', (piece) => (this.errorOutput += String(piece)));
    child.on('exit', (code) => (this.exitCode = code));
  }

  /** Process id. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /**
   * Starts a compiled script and waits until it is ready; resolves with what follows `ready` on its line.
   * @param name - Name for error messages.
   * @param script - Path below the folder of compiled files.
   * @param args - Arguments.
   * @param environment - Further environment variables.
   */
  static async start(
    name: string,
    script: string,
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): Promise<{ readonly process: ChildProcess; readonly ready: string }> {
    const path = fileURLToPath(new URL(`../${script}`, import.meta.url));
    const child = spawn(process.execPath, [path, ...args], {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const started = new ChildProcess(child, name);
    return { process: started, ready: await started.whenReady() };
  }

  /** @param signal - Signal to send. */
  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Waits for the end and gives the exit code; null when a signal ended it. */
  async whenExited(): Promise<number | null> {
    if (this.exitCode === undefined && this.child.exitCode === null && this.child.signalCode === null) {
      await new Promise((resolve) => this.child.once('exit', resolve));
    }
    return this.child.exitCode;
  }

  /** Ends the process, asking first. */
  async stop(): Promise<void> {
    this.kill('SIGCONT');
    this.kill('SIGTERM');
    const timer = setTimeout(() => this.kill('SIGKILL'), 10_000);
    await this.whenExited();
    clearTimeout(timer);
  }

  private whenReady(): Promise<string> {
    return new Promise((resolve, reject) => {
      let output = '';
      const timer = setTimeout(
        () => reject(new Error(`${this.name} was not ready in time: ${this.errorOutput}`)),
        READY_TIMEOUT_MS,
      );
      this.child.stdout?.on('data', (piece) => {
        output += String(piece);
        const line = /^ready ?(.*)\n/m.exec(output);
        if (line) {
          clearTimeout(timer);
          resolve(line[1] ?? '');
        }
      });
      this.child.once('exit', () => {
        clearTimeout(timer);
        reject(new Error(`${this.name} ended before it was ready: ${this.errorOutput}`));
      });
    });
  }
}

/** Finds ports that are free now. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    ports.push((server.address() as AddressInfo).port);
  }
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}
