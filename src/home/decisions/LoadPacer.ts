/** Time after which a permit that was not given back is taken to be lost, in milliseconds. */
export const PERMIT_LEASE_MS = 60_000;

/** Limits of a weight store. */
export interface PacerLimits {
  readonly loadsPerSecond: number;
  readonly concurrentLoads: number;
}

/** A load that waits for its permit. */
interface WaitingLoad {
  readonly permitId: string;
  readonly deadlineAtMs: number;
}

/** Hands out permits for loads from one weight store, the most urgent first, within the store's limits. */
export class LoadPacer {
  private readonly waiting: WaitingLoad[] = [];
  private readonly leaseEndsAtMs = new Map<string, number>();
  private nextStartAtMs = 0;

  /** @param limits - Limits of the store. */
  constructor(private readonly limits: PacerLimits) {}

  /** Loads that hold a permit. */
  get activeCount(): number {
    return this.leaseEndsAtMs.size;
  }

  /**
   * Asks for a permit.
   * @param permitId - Names the load.
   * @param deadlineAtMs - When the first waiting request's deadline is.
   */
  enqueue(permitId: string, deadlineAtMs: number): void {
    const after = this.waiting.findIndex((other) => other.deadlineAtMs > deadlineAtMs);
    this.waiting.splice(after < 0 ? this.waiting.length : after, 0, { permitId, deadlineAtMs });
  }

  /** @param permitId - Load that ended or no longer waits. */
  release(permitId: string): void {
    this.leaseEndsAtMs.delete(permitId);
    const index = this.waiting.findIndex((other) => other.permitId === permitId);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }

  /**
   * Hands out what may start now.
   * @param nowMs - Time now.
   */
  takePermitted(nowMs: number): string[] {
    for (const [permitId, endsAtMs] of this.leaseEndsAtMs) {
      if (endsAtMs <= nowMs) {
        this.leaseEndsAtMs.delete(permitId);
      }
    }
    const permitted: string[] = [];
    while (this.canStart(nowMs)) {
      const next = this.waiting.shift();
      if (!next) {
        break;
      }
      this.leaseEndsAtMs.set(next.permitId, nowMs + PERMIT_LEASE_MS);
      this.nextStartAtMs = Math.max(nowMs, this.nextStartAtMs) + 1000 / this.limits.loadsPerSecond;
      permitted.push(next.permitId);
    }
    return permitted;
  }

  /**
   * Time until the next permit could be handed out, in milliseconds; undefined when nothing waits.
   * @param nowMs - Time now.
   */
  nextDelayMs(nowMs: number): number | undefined {
    if (this.waiting.length === 0) {
      return undefined;
    }
    const soonestLeaseEndMs = Math.min(...this.leaseEndsAtMs.values());
    const freeAtMs = this.activeCount < this.limits.concurrentLoads ? 0 : soonestLeaseEndMs;
    return Math.max(1, freeAtMs - nowMs, this.nextStartAtMs - nowMs);
  }

  private canStart(nowMs: number): boolean {
    return (
      this.waiting.length > 0 && this.activeCount < this.limits.concurrentLoads && nowMs >= this.nextStartAtMs
    );
  }
}
