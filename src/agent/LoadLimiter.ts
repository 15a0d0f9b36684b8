import { delay, type Clock } from '../kernel/index.js';
import type { CacheTier, EngineOrder } from './decisions/index.js';

/** Timeout for a permit from the pacer; the load proceeds without a permit afterwards. */
const PERMIT_TIMEOUT_MS = 15_000;
/** Minimum time between two remote loads of this server while no pacer responds. */
const LOAD_INTERVAL_WITHOUT_PERMIT_MS = 2_000;

/** Source of permits for loads from the remote weight store. */
export interface PermitSource {
  /**
   * Waits for a permit; undefined if no pacer responds.
   * @param itemId - Item to load.
   */
  acquire(itemId: string): Promise<string | undefined>;
  /**
   * Releases a permit that is no longer needed.
   * @param permitId - The permit.
   */
  release(permitId: string): void;
}

/** Right to execute one order. */
export interface LoadSlot {
  /** Releases the slot once the order has ended. */
  release(): void;
}

const UNLIMITED_SLOT: LoadSlot = { release: () => undefined };

/** Delays loads that would exceed the limits of the weight store. */
export class LoadLimiter {
  private adapterLoadCount = 0;
  private readonly adapterWaiters: (() => void)[] = [];
  private nextLoadWithoutPermitAtMs = 0;

  /**
   * @param clock - The clock.
   * @param maxAdapterLoads - Maximum number of concurrent adapter loads of this server.
   */
  constructor(
    private readonly clock: Clock,
    private readonly maxAdapterLoads: number,
  ) {}

  /**
   * Waits until an order may be sent.
   * @param order - The order.
   * @param tier - Storage tier of the checkpoint.
   * @param permits - Source of permits; undefined if no router requested the load.
   */
  async acquireSlot(
    order: EngineOrder,
    tier: CacheTier,
    permits: PermitSource | undefined,
  ): Promise<LoadSlot> {
    if (order.kind !== 'load') {
      return UNLIMITED_SLOT;
    }
    if (order.isAdapter) {
      return this.acquireAdapterSlot();
    }
    return tier === 'remote' ? this.acquireRemoteSlot(order, permits) : UNLIMITED_SLOT;
  }

  private async acquireAdapterSlot(): Promise<LoadSlot> {
    while (this.adapterLoadCount >= this.maxAdapterLoads) {
      await new Promise<void>((resolve) => this.adapterWaiters.push(resolve));
    }
    this.adapterLoadCount++;
    return {
      release: () => {
        this.adapterLoadCount--;
        this.adapterWaiters.shift()?.();
      },
    };
  }

  private async acquireRemoteSlot(order: EngineOrder, permits: PermitSource | undefined): Promise<LoadSlot> {
    const permitId = permits ? await this.acquirePermit(permits, order.itemId) : undefined;
    if (permitId !== undefined && permits) {
      return { release: () => permits.release(permitId) };
    }
    const nowMs = this.clock.nowMs();
    const startAtMs = Math.max(nowMs, this.nextLoadWithoutPermitAtMs);
    this.nextLoadWithoutPermitAtMs = startAtMs + LOAD_INTERVAL_WITHOUT_PERMIT_MS;
    await delay(this.clock, startAtMs - nowMs);
    return UNLIMITED_SLOT;
  }

  private async acquirePermit(permits: PermitSource, itemId: string): Promise<string | undefined> {
    return new Promise((resolve) => {
      const timer = this.clock.schedule(PERMIT_TIMEOUT_MS, () => resolve(undefined));
      const finish = (permitId: string | null | undefined) => {
        timer.cancel();
        resolve(permitId ?? undefined);
      };
      permits.acquire(itemId).then(finish, () => finish(undefined));
    });
  }
}
