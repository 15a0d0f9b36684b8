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
  /** Whether the model had no ready replica when the request arrived. */
  readonly arrivedCold: boolean;
}

/** Request classes in dispatch order. */
const CLASS_ORDER: readonly RequestClass[] = ['interactive', 'batch'];

/** Waiting requests: interactive before batch, round-robin over organisations, earliest deadline first within each. */
export class RequestQueue {
  private readonly requests = new Map<string, WaitingRequest>();
  /** Requests by class and organisation, earliest deadline first. */
  private readonly queues = new Map<string, WaitingRequest[]>();

  /** Number of waiting requests. */
  get length(): number {
    return this.requests.size;
  }

  /** Returns all waiting requests in no particular order. */
  all(): IterableIterator<WaitingRequest> {
    return this.requests.values();
  }

  /** @param requestId - Request to find. */
  has(requestId: string): boolean {
    return this.requests.has(requestId);
  }

  /** @param request - Request to add. */
  add(request: WaitingRequest): void {
    const queue = this.getOrCreateQueue(request);
    const insertIndex = queue.findIndex((other) => other.deadlineAtMs > request.deadlineAtMs);
    queue.splice(insertIndex < 0 ? queue.length : insertIndex, 0, request);
    this.requests.set(request.requestId, request);
  }

  /** @param requestId - Request to remove. */
  remove(requestId: string): WaitingRequest | undefined {
    const request = this.requests.get(requestId);
    if (!request) {
      return undefined;
    }
    const queue = this.getOrCreateQueue(request);
    queue.splice(queue.indexOf(request), 1);
    if (queue.length === 0) {
      this.queues.delete(getQueueKey(request));
    }
    this.requests.delete(requestId);
    return request;
  }

  /**
   * Returns the request to dispatch next, without removing it.
   * @param getRunningCount - Running requests of an organisation; the one with the fewest goes first.
   * @param isEligible - Whether a request can be dispatched now.
   */
  next(
    getRunningCount: (organisationId: OrganisationId) => number,
    isEligible: (request: WaitingRequest) => boolean,
  ): WaitingRequest | undefined {
    for (const requestClass of CLASS_ORDER) {
      const best = this.nextOfClass(requestClass, getRunningCount, isEligible);
      if (best) {
        return best;
      }
    }
    return undefined;
  }

  /**
   * Counts the requests that would be dispatched before a new one.
   * @param request - The new request.
   */
  countAhead(request: WaitingRequest): number {
    let total = 0;
    let ownCount = 0;
    let queueCount = 0;
    for (const [key, queue] of this.queues) {
      const first = queue[0];
      if (!first || (request.requestClass === 'interactive' && first.requestClass === 'batch')) {
        continue;
      }
      queueCount++;
      total += queue.length;
      if (key === getQueueKey(request)) {
        ownCount = queue.filter((other) => other.deadlineAtMs <= request.deadlineAtMs).length;
        total -= queue.length - ownCount;
      }
    }
    const roundRobinCount = (ownCount + 1) * Math.max(1, queueCount);
    return Math.min(total, roundRobinCount);
  }

  private nextOfClass(
    requestClass: RequestClass,
    getRunningCount: (organisationId: OrganisationId) => number,
    isEligible: (request: WaitingRequest) => boolean,
  ): WaitingRequest | undefined {
    let best: WaitingRequest | undefined;
    let bestRunningCount = Infinity;
    for (const queue of this.queues.values()) {
      if (queue[0]?.requestClass !== requestClass) {
        continue;
      }
      const candidate = queue.find(isEligible);
      if (!candidate) {
        continue;
      }
      const runningCount = getRunningCount(candidate.organisationId);
      const isEarlier =
        runningCount === bestRunningCount && candidate.deadlineAtMs < (best?.deadlineAtMs ?? Infinity);
      if (runningCount < bestRunningCount || isEarlier) {
        best = candidate;
        bestRunningCount = runningCount;
      }
    }
    return best;
  }

  private getOrCreateQueue(request: WaitingRequest): WaitingRequest[] {
    const key = getQueueKey(request);
    const queue = this.queues.get(key) ?? [];
    this.queues.set(key, queue);
    return queue;
  }
}

function getQueueKey(request: WaitingRequest): string {
  return `${request.requestClass}|${request.organisationId}`;
}
