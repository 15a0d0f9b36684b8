import type { Clock, Timer } from '../kernel/index.js';
import { LoadPacer, type PacerLimits } from './decisions/index.js';

/** Grants load permits to all agents that request them from this router. */
export class PacerService {
  private readonly pacer: LoadPacer;
  private readonly waiting = new Map<string, () => void>();
  private timer: Timer | undefined;
  private nextPermitNumber = 1;

  /**
   * @param clock - Source of time.
   * @param limits - Limits of the weight store.
   * @param selfId - Prefix of the permit IDs.
   */
  constructor(
    private readonly clock: Clock,
    limits: PacerLimits,
    private readonly selfId: string,
  ) {
    this.pacer = new LoadPacer(limits);
  }

  /**
   * Waits for a permit.
   * @param remainingMs - Time left of the most urgent request that waits for the load, in milliseconds.
   */
  acquire(remainingMs: number): Promise<string> {
    const permitId = `${this.selfId}-${this.nextPermitNumber++}`;
    return new Promise((resolve) => {
      this.waiting.set(permitId, () => resolve(permitId));
      this.pacer.enqueue(permitId, this.clock.nowMs() + remainingMs);
      this.advance();
    });
  }

  /** @param permitId - Permit to release. */
  release(permitId: string): void {
    this.pacer.release(permitId);
    this.advance();
  }

  private advance(): void {
    for (const permitId of this.pacer.takePermitted(this.clock.nowMs())) {
      this.waiting.get(permitId)?.();
      this.waiting.delete(permitId);
    }
    this.timer?.cancel();
    const delayMs = this.pacer.getNextDelayMs(this.clock.nowMs());
    this.timer = delayMs === undefined ? undefined : this.clock.schedule(delayMs, () => this.advance());
  }
}
