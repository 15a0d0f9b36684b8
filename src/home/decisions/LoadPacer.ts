/** Time after which a permit that was not released counts as lost, in milliseconds. */
export const PERMIT_LEASE_MS = 60_000;

/** Load limits of a weight store. */
export interface PacerLimits {
  readonly loadsPerSecond: number;
  readonly concurrentLoads: number;
}

/** A load that waits for a permit. */
interface PendingLoad {
  readonly permitId: string;
  readonly deadlineAtMs: number;
}

/** Grants permits for loads from one weight store by earliest deadline, within the limits of the store. */
export class LoadPacer {
  private readonly waiting: PendingLoad[] = [];
  private readonly leaseEndsAtMs = new Map<string, number>();
  private nextStartAtMs = 0;

  /** @param limits - Limits of the store. */
  constructor(private readonly limits: PacerLimits) {}

  /** Number of loads that hold a permit. */
  get activeCount(): number {
    return this.leaseEndsAtMs.size;
  }

  /**
   * Queues a load for a permit.
   * @param permitId - ID of the permit.
   * @param deadlineAtMs - Earliest deadline of the requests that wait for the load.
   */
  enqueue(permitId: string, deadlineAtMs: number): void {
    const insertIndex = this.waiting.findIndex((other) => other.deadlineAtMs > deadlineAtMs);
    this.waiting.splice(insertIndex < 0 ? this.waiting.length : insertIndex, 0, { permitId, deadlineAtMs });
  }

  /** @param permitId - Permit of a load that ended or no longer waits. */
  release(permitId: string): void {
    this.leaseEndsAtMs.delete(permitId);
    const index = this.waiting.findIndex((other) => other.permitId === permitId);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }

  /**
   * Grants permits to the loads that may start now and returns their IDs.
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
   * Time until the next permit can be granted, in milliseconds; undefined when nothing waits.
   * @param nowMs - Time now.
   */
  getNextDelayMs(nowMs: number): number | undefined {
    if (this.waiting.length === 0) {
      return undefined;
    }
    const soonestLeaseEndMs = Math.min(...this.leaseEndsAtMs.values());
    const capacityFreeAtMs = this.activeCount < this.limits.concurrentLoads ? 0 : soonestLeaseEndMs;
    return Math.max(1, capacityFreeAtMs - nowMs, this.nextStartAtMs - nowMs);
  }

  private canStart(nowMs: number): boolean {
    return (
      this.waiting.length > 0 && this.activeCount < this.limits.concurrentLoads && nowMs >= this.nextStartAtMs
    );
  }
}
