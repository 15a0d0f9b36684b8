import type { OrganisationId, RequestClass, RequestId, ServerId } from '../../domain/index.js';

/** A request that waits for a server. */
export interface WaitingRequest {
  readonly requestId: RequestId;
  readonly organisationId: OrganisationId;
  readonly requestClass: RequestClass;
  readonly deadlineAtMs: number;
  readonly arrivedAtMs: number;
  readonly fingerprint: string;
  readonly idempotent: boolean;
  readonly excludedServerIds: readonly ServerId[];
  /** Whether the model had no ready replica when the request came. */
  readonly arrivedCold: boolean;
}

/** Classes in the order in which they are served. */
const CLASSES: readonly RequestClass[] = ['interactive', 'batch'];

/** Waiting requests: interactive before batch, organisations by turns, earliest deadline first within each. */
export class RequestQueue {
  private readonly requests = new Map<string, WaitingRequest>();
  /** Requests of one class and organisation, earliest deadline first. */
  private readonly lanes = new Map<string, WaitingRequest[]>();

  /** Requests that wait. */
  get length(): number {
    return this.requests.size;
  }

  /** All waiting requests in no particular order. */
  all(): IterableIterator<WaitingRequest> {
    return this.requests.values();
  }

  /** @param requestId - Request to look for. */
  has(requestId: string): boolean {
    return this.requests.has(requestId);
  }

  /** @param request - Request that starts to wait. */
  add(request: WaitingRequest): void {
    const lane = this.laneOf(request);
    const after = lane.findIndex((other) => other.deadlineAtMs > request.deadlineAtMs);
    lane.splice(after < 0 ? lane.length : after, 0, request);
    this.requests.set(request.requestId, request);
  }

  /** @param requestId - Request that no longer waits. */
  remove(requestId: string): WaitingRequest | undefined {
    const request = this.requests.get(requestId);
    if (!request) {
      return undefined;
    }
    const lane = this.laneOf(request);
    lane.splice(lane.indexOf(request), 1);
    if (lane.length === 0) {
      this.lanes.delete(laneKey(request));
    }
    this.requests.delete(requestId);
    return request;
  }

  /**
   * Gives the request that is served next, without removing it.
   * @param runningCountOf - Running requests of an organisation; the one with the fewest goes first.
   * @param isEligible - Whether a request can be served now.
   */
  next(
    runningCountOf: (organisationId: OrganisationId) => number,
    isEligible: (request: WaitingRequest) => boolean,
  ): WaitingRequest | undefined {
    for (const requestClass of CLASSES) {
      const best = this.nextOfClass(requestClass, runningCountOf, isEligible);
      if (best) {
        return best;
      }
    }
    return undefined;
  }

  /**
   * Counts the requests that would be served before a new one.
   * @param request - The new request.
   */
  countAhead(request: WaitingRequest): number {
    let total = 0;
    let ownAhead = 0;
    let laneCount = 0;
    for (const [key, lane] of this.lanes) {
      const first = lane[0];
      if (!first || (request.requestClass === 'interactive' && first.requestClass === 'batch')) {
        continue;
      }
      laneCount++;
      total += lane.length;
      if (key === laneKey(request)) {
        ownAhead = lane.filter((other) => other.deadlineAtMs <= request.deadlineAtMs).length;
        total -= lane.length - ownAhead;
      }
    }
    const byTurns = (ownAhead + 1) * Math.max(1, laneCount);
    return Math.min(total, byTurns);
  }

  private nextOfClass(
    requestClass: RequestClass,
    runningCountOf: (organisationId: OrganisationId) => number,
    isEligible: (request: WaitingRequest) => boolean,
  ): WaitingRequest | undefined {
    let best: WaitingRequest | undefined;
    let bestRunning = Infinity;
    for (const lane of this.lanes.values()) {
      if (lane[0]?.requestClass !== requestClass) {
        continue;
      }
      const candidate = lane.find(isEligible);
      if (!candidate) {
        continue;
      }
      const running = runningCountOf(candidate.organisationId);
      const isEarlier = running === bestRunning && candidate.deadlineAtMs < (best?.deadlineAtMs ?? Infinity);
      if (running < bestRunning || isEarlier) {
        best = candidate;
        bestRunning = running;
      }
    }
    return best;
  }

  private laneOf(request: WaitingRequest): WaitingRequest[] {
    const key = laneKey(request);
    const lane = this.lanes.get(key) ?? [];
    this.lanes.set(key, lane);
    return lane;
  }
}

/** Names the lane of a request. */
function laneKey(request: WaitingRequest): string {
  return `${request.requestClass}|${request.organisationId}`;
}
