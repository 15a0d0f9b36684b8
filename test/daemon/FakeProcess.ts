import { EventEmitter } from 'node:events';

/** Process that records its exit instead of exiting. */
export class FakeProcess extends EventEmitter {
  readonly pid = 1;
  readonly version = 'v0.0.0';
  exitCode: number | undefined;
  hasExited = false;

  uptime(): number {
    return 0;
  }

  exit(code: number): void {
    this.exitCode = code;
    this.hasExited = true;
    this.emit('exit', code);
  }

  /** This object in place of the global one. */
  get asProcess(): NodeJS.Process {
    return this as unknown as NodeJS.Process;
  }
}
