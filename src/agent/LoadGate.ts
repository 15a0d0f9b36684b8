import { delay, type Clock } from '../kernel/index.js';
import type { CacheTier, EngineOrder } from './decisions/index.js';

/** Time given to the pacer to hand out a permit, in milliseconds; the load goes on without one after it. */
const PERMIT_TIMEOUT_MS = 15_000;
/** Time between two remote loads of this server while no pacer answers, in milliseconds. */
const UNPACED_INTERVAL_MS = 2_000;

/** Where permits for loads from the remote store come from. */
export interface PermitSource {
  /** Waits for a permit; undefined when no pacer answers. */
  acquire(itemId: string): Promise<string | undefined>;
  /** @param permitId - Permit that is no longer needed. */
  release(permitId: string): void;
}

/** Pass for one order. */
export interface GatePass {
  /** Tells the gate that the order has been answered. */
  leave(): void;
}

const FREE_PASS: GatePass = { leave: () => undefined };

/** Holds back loads that would overrun the weight store's limits. */
export class LoadGate {
  private adaptersInFlight = 0;
  private readonly waitingAdapters: (() => void)[] = [];
  private nextUnpacedAtMs = 0;

  /**
   * @param clock - Source of time.
   * @param adapterShare - Adapter loads that this server may have in flight.
   */
  constructor(
    private readonly clock: Clock,
    private readonly adapterShare: number,
  ) {}

  /**
   * Waits until an order may be sent.
   * @param order - The order.
   * @param tier - Where the checkpoint lies.
   * @param permits - Source of permits; undefined when no router asked for the load.
   */
  async enter(order: EngineOrder, tier: CacheTier, permits: PermitSource | undefined): Promise<GatePass> {
    if (order.kind !== 'load') {
      return FREE_PASS;
    }
    if (order.isAdapter) {
      return this.enterAdapter();
    }
    return tier === 'remote' ? this.enterRemote(order, permits) : FREE_PASS;
  }

  private async enterAdapter(): Promise<GatePass> {
    while (this.adaptersInFlight >= this.adapterShare) {
      await new Promise<void>((resolve) => this.waitingAdapters.push(resolve));
    }
    this.adaptersInFlight++;
    return {
      leave: () => {
        this.adaptersInFlight--;
        this.waitingAdapters.shift()?.();
      },
    };
  }

  private async enterRemote(order: EngineOrder, permits: PermitSource | undefined): Promise<GatePass> {
    const permitId = permits ? await this.askInTime(permits, order.itemId) : undefined;
    if (permitId !== undefined && permits) {
      return { leave: () => permits.release(permitId) };
    }
    const nowMs = this.clock.nowMs();
    const startAtMs = Math.max(nowMs, this.nextUnpacedAtMs);
    this.nextUnpacedAtMs = startAtMs + UNPACED_INTERVAL_MS;
    await delay(this.clock, startAtMs - nowMs);
    return FREE_PASS;
  }

  private async askInTime(permits: PermitSource, itemId: string): Promise<string | undefined> {
    return new Promise((resolve) => {
      const timer = this.clock.schedule(PERMIT_TIMEOUT_MS, () => resolve(undefined));
      const settle = (permitId: string | null | undefined) => {
        timer.cancel();
        resolve(permitId ?? undefined);
      };
      permits.acquire(itemId).then(settle, () => settle(undefined));
    });
  }
}
