import { DurationEstimate } from './DurationEstimate.js';
import type { ReplicaView } from './ReplicaView.js';

/** Time that a load is taken to need before any was seen, in milliseconds. */
const INITIAL_LOAD_MS = 500;
/** Time that a request is taken to need before any was seen, in milliseconds. */
const INITIAL_SERVICE_MS = 50;
/** Quantile of the service time that a request must fit in. */
const OWN_SERVICE_QUANTILE = 0.9;
/** Requests at once of a server that has not reported yet. */
const ASSUMED_SLOT_COUNT = 4;

/** When a request would start and end. */
export interface Forecast {
  readonly startInMs: number;
  readonly finishInMs: number;
}

/** Forecasts how long a request waits and runs, from the loads and requests seen lately. */
export class AdmissionEstimate {
  readonly loadTime = new DurationEstimate(INITIAL_LOAD_MS);
  readonly serviceTime = new DurationEstimate(INITIAL_SERVICE_MS);

  /**
   * Forecasts a request.
   * @param aheadCount - Waiting requests that are served before it.
   * @param replicas - The granted servers.
   * @param nowMs - Time now.
   */
  forecast(aheadCount: number, replicas: Iterable<ReplicaView>, nowMs: number): Forecast {
    const views = [...replicas];
    const readyCapacity = countSlots(views.filter((view) => view.isUsable && view.isReady));
    const isCold = readyCapacity.slotCount === 0;
    const assumedSlots = Math.max(ASSUMED_SLOT_COUNT, ...views.map((view) => view.slotCount));
    const slotCount = isCold ? assumedSlots : readyCapacity.slotCount;
    const freeCount = isCold ? assumedSlots : readyCapacity.freeCount;
    const loadInMs = isCold ? this.loadLeftMs(views, nowMs) : 0;
    const roundsAhead = aheadCount < freeCount ? 0 : (aheadCount - freeCount + 1) / slotCount;
    const startInMs = loadInMs + roundsAhead * this.serviceTime.meanMs;
    return { startInMs, finishInMs: startInMs + this.serviceTime.quantileMs(OWN_SERVICE_QUANTILE) };
  }

  /**
   * Whether another replica would be loaded before those there have worked off the line.
   * @param waitingCount - Requests that wait.
   * @param replicas - The granted servers.
   */
  isAnotherReplicaWorthIt(waitingCount: number, replicas: Iterable<ReplicaView>): boolean {
    const capacity = countSlots([...replicas].filter((view) => view.isUsable && view.isReady));
    const waitMs = (waitingCount / Math.max(1, capacity.slotCount)) * this.serviceTime.meanMs;
    return waitMs > this.loadTime.meanMs;
  }

  private loadLeftMs(views: readonly ReplicaView[], nowMs: number): number {
    let leftMs = this.loadTime.meanMs;
    for (const view of views) {
      if (view.isUsable && view.isLoading) {
        leftMs = Math.min(leftMs, Math.max(0, this.loadTime.meanMs - view.loadingForMs(nowMs)));
      }
    }
    return leftMs;
  }
}

/** Adds up the slots of some replicas. */
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
