import type { Clock, Timer } from '../../src/kernel/index.js';

/** Clock of one simulated process, whose timers stop with it. */
export class ProcessClock implements Clock {
  private isFrozen = false;
  private hasEnded = false;
  private readonly late: (() => void)[] = [];

  /** @param world - Clock of the simulation. */
  constructor(private readonly world: Clock) {}

  /** Whether the process no longer exists. */
  get isEnded(): boolean {
    return this.hasEnded;
  }

  /** Whether the process stands still. */
  get isStandingStill(): boolean {
    return this.isFrozen;
  }

  nowMs(): number {
    return this.world.nowMs();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    let isCancelled = false;
    const timer = this.world.schedule(delayMs, () =>
      this.run(() => {
        if (!isCancelled) {
          callback();
        }
      }),
    );
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  /** Runs a step of the process, at the end of a standstill if there is one. */
  run(step: () => void): void {
    if (this.isFrozen) {
      this.late.push(step);
    } else if (!this.hasEnded) {
      step();
    }
  }

  freeze(): void {
    this.isFrozen = true;
  }

  /** Ends a standstill and runs what has come due in it. */
  thaw(): void {
    this.isFrozen = false;
    for (const step of this.late.splice(0)) {
      this.run(step);
    }
  }

  end(): void {
    this.hasEnded = true;
  }
}
