import type { Clock } from '../kernel/index.js';
import { PeriodicTask } from '../kernel/index.js';
import type { PlacementOffer, ServerId } from '../domain/index.js';
import type { BackendClient } from './BackendClient.js';
import { LoadGate, type PermitSource } from './LoadGate.js';
import {
  ResidencyController,
  type CacheTier,
  type EngineOrder,
  type EngineState,
  type ItemRequest,
} from './decisions/index.js';

/** Time between two looks whether the backend server's state is to be read, in milliseconds. */
const STATE_INTERVAL_MS = 500;
/** Looks between two reads while nothing runs, loads or was asked for. */
const IDLE_INTERVALS = 4;
/** Failed reads in a row after which the backend server counts as unreachable. */
const UNREACHABLE_AFTER_READS = 2;

/** Carries out what the residency controller decides, against the real backend server. */
export class ResidencyService {
  private readonly repeater: PeriodicTask;
  private readonly changeListeners: (() => void)[] = [];
  private readonly permitSourceByItem = new Map<string, PermitSource>();
  private latest: EngineState | undefined;
  private failedReads = 0;
  private looksSinceRead = 0;
  private reading: Promise<boolean> | undefined;

  /**
   * @param clock - Source of time.
   * @param backend - The backend server.
   * @param controller - Decides.
   * @param gate - Paces loads.
   */
  constructor(
    private readonly clock: Clock,
    private readonly backend: BackendClient,
    readonly controller: ResidencyController,
    private readonly gate: LoadGate,
  ) {
    this.repeater = new PeriodicTask(clock, STATE_INTERVAL_MS, () => this.look());
  }

  /** Whether the backend server answers. */
  get isReachable(): boolean {
    return this.latest !== undefined && this.failedReads < UNREACHABLE_AFTER_READS;
  }

  /** Requests that the backend server runs at once. */
  get slotCount(): number {
    return this.latest?.slotCount ?? 0;
  }

  /** Names the backend server's present run; it changes at a crash. */
  get bootId(): string | undefined {
    return this.latest?.bootId;
  }

  /** @param listener - Called whenever the residency may have changed. */
  onChange(listener: () => void): void {
    this.changeListeners.push(listener);
  }

  /** Reads the state once and goes on doing so. */
  async start(): Promise<void> {
    await this.refresh();
    this.repeater.start();
  }

  /** Ends the reading. */
  stop(): void {
    this.repeater.stop();
  }

  /**
   * Asks for an item.
   * @param request - The item.
   * @param permits - Where a permit for a load from the remote store is asked for.
   */
  wake(request: ItemRequest, permits: PermitSource | undefined) {
    if (permits) {
      this.permitSourceByItem.set(request.itemId, permits);
    }
    const result = this.controller.wake(request, this.clock.nowMs());
    this.settle();
    return result;
  }

  /**
   * Loads an adapter and waits until it is ready; false when it can't be had.
   * @param request - The adapter.
   * @param signal - Ends the waiting.
   */
  async ensureAdapter(request: ItemRequest, signal: AbortSignal): Promise<boolean> {
    while (!signal.aborted) {
      const result = this.wake(request, undefined);
      if (result.kind === 'ready') {
        return true;
      }
      if (result.kind === 'refused' && this.controller.phaseOf(request.itemId) === 'absent') {
        return false;
      }
      await this.nextChange(signal);
    }
    return false;
  }

  /**
   * Makes an offer for a model.
   * @param serverId - This server.
   * @param modelId - The model.
   * @param leaving - Whether the server is leaving.
   */
  offerFor(serverId: ServerId, modelId: string, leaving: boolean): PlacementOffer {
    let grantCount = 0;
    for (const _model of this.controller.residentModels()) {
      grantCount++;
    }
    return {
      serverId,
      freeBytes: this.controller.ledger.freeBytes,
      capacityBytes: this.latest?.capacityBytes ?? 0,
      tier: this.tierOf(modelId),
      grantCount,
      leaving: leaving || !this.isReachable,
    };
  }

  /** @param itemId - Checkpoint to look for. */
  tierOf(itemId: string): CacheTier {
    if (this.latest?.memoryCached.includes(itemId)) {
      return 'memory';
    }
    return this.latest?.diskCached.includes(itemId) ? 'disk' : 'remote';
  }

  private look(): void {
    this.looksSinceRead++;
    const isUnsure = this.failedReads > 0 || this.latest === undefined;
    if (isUnsure || this.controller.isBusy || this.looksSinceRead >= IDLE_INTERVALS) {
      void this.refresh();
    }
  }

  /** Reads the backend server's state now; true when the server answered. */
  refresh(): Promise<boolean> {
    this.reading ??= this.readState().finally(() => {
      this.reading = undefined;
    });
    return this.reading;
  }

  private async readState(): Promise<boolean> {
    const askedAtMs = this.clock.nowMs();
    this.looksSinceRead = 0;
    const state = await this.backend.readState();
    this.failedReads = state ? 0 : this.failedReads + 1;
    if (state) {
      this.latest = state;
      this.controller.onEngineState(state, askedAtMs);
    }
    this.controller.tick(this.clock.nowMs());
    this.settle();
    return state !== undefined;
  }

  /** Sends the orders that are due and tells the listeners. */
  settle(): void {
    for (const order of this.controller.takeOrders()) {
      void this.carryOut(order);
    }
    for (const listener of this.changeListeners) {
      listener();
    }
  }

  private async carryOut(order: EngineOrder): Promise<void> {
    const permit = await this.gate.enter(
      order,
      this.tierOf(order.itemId),
      this.permitSourceByItem.get(order.itemId),
    );
    const outcome = await this.backend.sendOrder(order);
    permit.leave();
    this.controller.onOrderResult(order, outcome, this.clock.nowMs());
    this.settle();
  }

  private async nextChange(signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      const listener = () => {
        this.changeListeners.splice(this.changeListeners.indexOf(listener), 1);
        signal.removeEventListener('abort', listener);
        resolve();
      };
      this.changeListeners.push(listener);
      signal.addEventListener('abort', listener, { once: true });
    });
  }
}
