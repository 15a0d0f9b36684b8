import { runInBackground, type Clock } from '../kernel/index.js';
import { PeriodicTask } from '../kernel/index.js';
import type { PlacementOffer, ServerId } from '../domain/index.js';
import type { BackendClient } from './BackendClient.js';
import { LoadLimiter, type PermitSource } from './LoadLimiter.js';
import {
  ResidencyController,
  type CacheTier,
  type EngineOrder,
  type EngineState,
  type ItemRequest,
} from './decisions/index.js';

/** Time between two checks whether the backend server's state has to be read. */
const STATE_POLL_INTERVAL_MS = 500;
/** Number of polls per state read while no request runs and no item is loaded or unloaded. */
const IDLE_POLLS_PER_READ = 4;
/** Number of consecutive failed reads after which the backend server counts as unreachable. */
const UNREACHABLE_AFTER_FAILED_READS = 2;

/** Executes the decisions of the residency controller on the backend server. */
export class ResidencyService {
  private readonly pollTask: PeriodicTask;
  private readonly changeListeners: (() => void)[] = [];
  private readonly permitSourceByItem = new Map<string, PermitSource>();
  private latestState: EngineState | undefined;
  private failedReadCount = 0;
  private pollsSinceRead = 0;
  private pendingRead: Promise<boolean> | undefined;

  /**
   * @param clock - The clock.
   * @param backend - The backend server.
   * @param controller - Decides which items to load and unload.
   * @param loadLimiter - Limits the rate of loads.
   */
  constructor(
    private readonly clock: Clock,
    private readonly backend: BackendClient,
    readonly controller: ResidencyController,
    private readonly loadLimiter: LoadLimiter,
  ) {
    this.pollTask = new PeriodicTask(clock, STATE_POLL_INTERVAL_MS, () => this.poll());
  }

  /** Whether the backend server responds. */
  get isReachable(): boolean {
    return this.latestState !== undefined && this.failedReadCount < UNREACHABLE_AFTER_FAILED_READS;
  }

  /** Maximum number of concurrent requests of the backend server; 0 until its state was read. */
  get slotCount(): number {
    return this.latestState?.slotCount ?? 0;
  }

  /** Identifies the current run of the backend server; it changes after a crash. */
  get bootId(): string | undefined {
    return this.latestState?.bootId;
  }

  /**
   * Adds a listener for changes of the residency.
   * @param listener - Called whenever the residency may have changed.
   */
  onChange(listener: () => void): void {
    this.changeListeners.push(listener);
  }

  /** Reads the backend server's state and starts to poll it. */
  async start(): Promise<void> {
    await this.refresh();
    this.pollTask.start();
  }

  /** Stops polling the backend server's state. */
  stop(): void {
    this.pollTask.stop();
  }

  /**
   * Requests an item, and starts to load it if it is absent.
   * @param request - The item.
   * @param permits - Source of the permit if the item is loaded from the remote weight store.
   */
  wake(request: ItemRequest, permits: PermitSource | undefined) {
    if (permits) {
      this.permitSourceByItem.set(request.itemId, permits);
    }
    const result = this.controller.wake(request, this.clock.nowMs());
    this.sendOrdersAndNotify();
    return result;
  }

  /**
   * Loads an adapter and waits until it is ready; returns false if it can't be loaded or the signal is aborted.
   * @param request - The adapter.
   * @param signal - Aborts the waiting.
   */
  async ensureAdapter(request: ItemRequest, signal: AbortSignal): Promise<boolean> {
    while (!signal.aborted) {
      const result = this.wake(request, undefined);
      if (result.kind === 'ready') {
        return true;
      }
      if (result.kind === 'refused' && this.controller.getPhase(request.itemId) === 'absent') {
        return false;
      }
      await this.waitForChange(signal);
    }
    return false;
  }

  /**
   * Creates the placement offer of this server for a model.
   * @param serverId - This server.
   * @param modelId - The model.
   * @param leaving - Whether the server is leaving.
   */
  createOffer(serverId: ServerId, modelId: string, leaving: boolean): PlacementOffer {
    let grantCount = 0;
    for (const _model of this.controller.residentModels()) {
      grantCount++;
    }
    return {
      serverId,
      freeBytes: this.controller.ledger.freeBytes,
      capacityBytes: this.latestState?.capacityBytes ?? 0,
      tier: this.getCacheTier(modelId),
      grantCount,
      leaving: leaving || !this.isReachable,
    };
  }

  /**
   * Returns the storage tier of a checkpoint.
   * @param itemId - Model or adapter of the checkpoint.
   */
  getCacheTier(itemId: string): CacheTier {
    if (this.latestState?.memoryCached.includes(itemId)) {
      return 'memory';
    }
    return this.latestState?.diskCached.includes(itemId) ? 'disk' : 'remote';
  }

  private poll(): void {
    this.pollsSinceRead++;
    const isStateUncertain = this.failedReadCount > 0 || this.latestState === undefined;
    if (isStateUncertain || this.controller.isBusy || this.pollsSinceRead >= IDLE_POLLS_PER_READ) {
      runInBackground('read of the state of the engine', () => this.refresh());
    }
  }

  /** Reads the backend server's state now, or joins a read in progress; returns whether the server responded. */
  refresh(): Promise<boolean> {
    this.pendingRead ??= this.readState().finally(() => {
      this.pendingRead = undefined;
    });
    return this.pendingRead;
  }

  private async readState(): Promise<boolean> {
    const requestedAtMs = this.clock.nowMs();
    this.pollsSinceRead = 0;
    const state = await this.backend.readState();
    this.failedReadCount = state ? 0 : this.failedReadCount + 1;
    if (state) {
      this.latestState = state;
      this.controller.onEngineState(state, requestedAtMs);
    }
    this.controller.tick(this.clock.nowMs());
    this.sendOrdersAndNotify();
    return state !== undefined;
  }

  /** Sends the orders that the controller has planned, and notifies the listeners. */
  sendOrdersAndNotify(): void {
    for (const order of this.controller.takeOrders()) {
      runInBackground('order to the engine', () => this.executeOrder(order));
    }
    for (const listener of this.changeListeners) {
      listener();
    }
  }

  private async executeOrder(order: EngineOrder): Promise<void> {
    const slot = await this.loadLimiter.acquireSlot(
      order,
      this.getCacheTier(order.itemId),
      this.permitSourceByItem.get(order.itemId),
    );
    let result;
    try {
      result = await this.backend.sendOrder(order);
    } finally {
      slot.release();
    }
    this.controller.onOrderResult(order, result, this.clock.nowMs());
    this.sendOrdersAndNotify();
  }

  private async waitForChange(signal: AbortSignal): Promise<void> {
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
