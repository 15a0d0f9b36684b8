import { DurationEstimate } from './DurationEstimate.js';
import type { ReplicaView } from './ReplicaView.js';

/** Load time estimate before the first load was measured, in milliseconds. */
const INITIAL_LOAD_MS = 500;
/** Service time estimate before the first request was measured, in milliseconds. */
const INITIAL_SERVICE_MS = 50;
/** Quantile of the service time that the forecast uses for the request itself. */
const SERVICE_TIME_QUANTILE = 0.9;
/** Slots assumed for a server that has not reported yet. */
const DEFAULT_SLOT_COUNT = 4;

/** Time until a request would start and finish. */
export interface Forecast {
  readonly startInMs: number;
  readonly finishInMs: number;
}

/** Forecasts the queueing and service time of a request from recent load and service times. */
export class AdmissionEstimate {
  readonly loadTime = new DurationEstimate(INITIAL_LOAD_MS);
  readonly serviceTime = new DurationEstimate(INITIAL_SERVICE_MS);

  /**
   * Forecasts when a request would start and finish.
   * @param aheadCount - Waiting requests that are dispatched before it.
   * @param replicas - The granted servers.
   * @param nowMs - Time now.
   */
  forecast(aheadCount: number, replicas: Iterable<ReplicaView>, nowMs: number): Forecast {
    const views = [...replicas];
    const readyCapacity = countSlots(views.filter((view) => view.isUsable && view.isReady));
    const isCold = readyCapacity.slotCount === 0;
    const defaultSlotCount = Math.max(DEFAULT_SLOT_COUNT, ...views.map((view) => view.slotCount));
    const slotCount = isCold ? defaultSlotCount : readyCapacity.slotCount;
    const freeCount = isCold ? defaultSlotCount : readyCapacity.freeCount;
    const remainingLoadMs = isCold ? this.getRemainingLoadMs(views, nowMs) : 0;
    const turnsAhead = aheadCount < freeCount ? 0 : (aheadCount - freeCount + 1) / slotCount;
    const startInMs = remainingLoadMs + turnsAhead * this.serviceTime.meanMs;
    return { startInMs, finishInMs: startInMs + this.serviceTime.getQuantileMs(SERVICE_TIME_QUANTILE) };
  }

  /**
   * Whether another replica would be loaded before the ready ones have processed the queue.
   * @param waitingCount - Number of waiting requests.
   * @param replicas - The granted servers.
   */
  shouldAddReplica(waitingCount: number, replicas: Iterable<ReplicaView>): boolean {
    const capacity = countSlots([...replicas].filter((view) => view.isUsable && view.isReady));
    const waitMs = (waitingCount / Math.max(1, capacity.slotCount)) * this.serviceTime.meanMs;
    return waitMs > this.loadTime.meanMs;
  }

  private getRemainingLoadMs(views: readonly ReplicaView[], nowMs: number): number {
    let remainingMs = this.loadTime.meanMs;
    for (const view of views) {
      if (view.isUsable && view.isLoading) {
        remainingMs = Math.min(remainingMs, Math.max(0, this.loadTime.meanMs - view.getLoadingMs(nowMs)));
      }
    }
    return remainingMs;
  }
}

/** Sums the slots of replicas. */
function countSlots(views: readonly ReplicaView[]): {
  readonly slotCount: number;
  readonly freeCount: number;
} {
  let slotCount = 0;
  let freeCount = 0;
  for (const view of views) {
    slotCount += view.slotCount;
    freeCount += view.freeSlotCount;
  }
  return { slotCount, freeCount };
}
