import type { Clock, Timer } from '../kernel/index.js';
import { LoadPacer, type PacerLimits } from './decisions/index.js';

/** Hands out load permits to whichever agent asks this router. */
export class PacerService {
  private readonly pacer: LoadPacer;
  private readonly waiting = new Map<string, () => void>();
  private timer: Timer | undefined;
  private nextPermitNumber = 1;

  /**
   * @param clock - Source of time.
   * @param limits - Limits of the weight store.
   * @param selfId - Names this router in permits.
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

  /** @param permitId - Permit that is given back. */
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
    const delayMs = this.pacer.nextDelayMs(this.clock.nowMs());
    this.timer = delayMs === undefined ? undefined : this.clock.schedule(delayMs, () => this.advance());
  }
}
