import {
  makePlainText,
  makeStreamText,
  type WorkerArrival,
  type WorkerRun,
} from '../../standins/users/index.js';
import {
  findAccessViolations,
  findQuotaViolations,
  type KeyChange,
  type QuotaChange,
} from './findAccessViolations.js';
import { LIMITED_ORGANISATION } from './SoakOrganisations.js';
import { MIN_REPORTED_MS, type EventLoopDelay } from './watchEventLoop.js';

/** Time limits of the platform documentation for applying a configuration and a drain, in milliseconds. */
const CONFIG_APPLY_MS = 2_000;
const DRAIN_APPLY_MS = 2_000;
/** Time after a disturbance during which checks with time limits exclude a process, in milliseconds. */
const STABILIZATION_MS = 3_000;
/** Time after a refusal that asks for a pause in which requests may still arrive, in milliseconds. */
const PAUSE_APPLY_MS = 500;
/** Largest number of requests of one router that may arrive during a pause after that. */
const MAX_ARRIVALS_IN_PAUSE = 2;
/** Timeout of each route, and the time that a response may take beyond it, in milliseconds. */
const ROUTE_TIMEOUT_MS = 2_500;
const RESPONSE_SLACK_MS = 1_000;
/** Time before the timeout of a route from which a request may end without a response, in milliseconds. */
const TIMEOUT_MARGIN_MS = 50;

/** Statuses that state that a request has not run. */
const NOT_RUN_STATUSES: readonly number[] = [401, 429, 503];

export type RequestKind = 'stream' | 'read' | 'write' | 'moved';

/** Request and its response as observed by the caller. */
export interface SoakRequest {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly router: string;
  readonly sentAtMs: number;
  /** Key that it was sent with, and the organisation that the key belongs to; absent for no or an unknown one. */
  readonly key?: string;
  readonly organisation?: string;
  /** Whether checks with time limits applied to its router when the request was sent. */
  readonly isRouterStable: boolean;
  endedAtMs?: number;
  status?: number;
  text: string;
  isComplete: boolean;
  /** Whether its router was disturbed before the request ended. */
  wasDisturbed: boolean;
  /** Whether the connection was established, so that the request could be sent. */
  isSent: boolean;
  /** When its last byte was handed to the operating system, and when the head of the response arrived. */
  writtenAtMs?: number;
  headAtMs?: number;
}

/** Configuration that changed the service of the route `/moved/`. */
interface RouteChange {
  /** Time at which the store had acknowledged the change. */
  readonly atMs: number;
  readonly service: string;
}

/** Records requests of callers, executions on workers and injected faults, and checks them for violated invariants. */
export class SoakRecorder {
  readonly requests: SoakRequest[] = [];
  readonly runs: WorkerRun[] = [];
  /** All requests that arrived at workers, in chronological order. */
  readonly arrivals: WorkerArrival[] = [];
  /** Services of the route `/moved/` and the times since which they apply. */
  readonly routeChanges: RouteChange[] = [];
  readonly keyChanges: KeyChange[] = [];
  /** Changes of the quota of {@link LIMITED_ORGANISATION}. */
  readonly quotaChanges: QuotaChange[] = [];
  /** Periods in which a worker was draining. */
  readonly drains: { readonly workerId: string; readonly fromMs: number; toMs: number }[] = [];
  /** Periods in which a worker was down after a crash. */
  readonly crashes: { readonly workerId: string; readonly fromMs: number; readonly toMs: number }[] = [];
  /** Planned stops of routers that were not disturbed otherwise around that time. */
  readonly plannedStops: { readonly router: string; readonly atMs: number }[] = [];
  /** Periods in which the store was unavailable; updates may be delayed until some seconds after. */
  readonly storeOutages: { readonly fromMs: number; toMs: number }[] = [];
  /** Delays of the event loop of this process, in which it neither sends nor observes anything. */
  readonly ownDelays: EventLoopDelay[] = [];
  /** Violations that other components have detected. */
  readonly reportedViolations: string[] = [];

  /** Lists the violated invariants. */
  findViolations(): string[] {
    const runsById = new Map<string, WorkerRun[]>();
    for (const run of this.runs) {
      runsById.set(run.requestId, [...(runsById.get(run.requestId) ?? []), run]);
    }
    const violations = [...this.reportedViolations];
    for (const request of this.requests) {
      const runs = runsById.get(request.requestId) ?? [];
      const isTimed = request.isRouterStable && !this.isNearStoreOutage(request.sentAtMs);
      const found = [
        ...this.checkResponse(request, runs),
        ...this.checkTiming(request, runs),
        ...findAccessViolations(request, runs, this.keyChanges, isTimed),
      ];
      for (const violation of found) {
        const { kind, requestId, router, status, sentAtMs, endedAtMs = Infinity } = request;
        const { writtenAtMs = NaN, headAtMs = NaN } = request;
        const workers = runs.map(({ workerId, fault = 'sound' }) => `${workerId} (${fault})`).join(', ');
        const stages = `sent ${sentAtMs}, written after ${writtenAtMs - sentAtMs}, head after ${headAtMs - sentAtMs}`;
        const outcome = `${status ?? 'no status'} after ${endedAtMs - sentAtMs} ms (${stages})`;
        violations.push(`${violation}: ${kind} ${requestId} by ${router}, ${outcome}, runs: ${workers}`);
      }
    }
    return [...violations, ...this.findIgnoredNotices(), ...this.findExceededQuotas(runsById)];
  }

  private findExceededQuotas(runsById: ReadonlyMap<string, readonly WorkerRun[]>): string[] {
    const sentAtMs: number[] = [];
    for (const request of this.requests) {
      if (request.organisation === LIMITED_ORGANISATION && runsById.has(request.requestId)) {
        sentAtMs.push(request.sentAtMs);
      }
    }
    return findQuotaViolations(sentAtMs, this.quotaChanges);
  }

  /** Lists requests that routers sent to workers against the workers' notices in earlier answers to them. */
  private findIgnoredNotices(): string[] {
    const requestsById = new Map(this.requests.map((request) => [request.requestId, request]));
    const violations: string[] = [];
    for (const [index, notice] of this.arrivals.entries()) {
      const { workerId, bornAtMs, isLeaving, pauseMs, handledAtMs } = notice;
      const router = requestsById.get(notice.requestId)?.router;
      if (!isLeaving && pauseMs === 0) {
        continue;
      }
      const later = this.arrivals.slice(index + 1).filter((arrival) => {
        const request = requestsById.get(arrival.requestId);
        const isSameWorker = arrival.workerId === workerId && arrival.bornAtMs === bornAtMs;
        return isSameWorker && request?.router === router && request?.isRouterStable === true;
      });
      const inPause = later.filter((arrival) => {
        const sinceMs = arrival.atMs - handledAtMs;
        return sinceMs > PAUSE_APPLY_MS && sinceMs < pauseMs;
      });
      if (inPause.length > MAX_ARRIVALS_IN_PAUSE) {
        violations.push(`${inPause.length} requests during a pause of ${workerId} by ${router}`);
      }
      const isPassedOn = requestsById.get(notice.requestId)?.status !== undefined;
      if (isLeaving && isPassedOn && later.some((arrival) => arrival.atMs - handledAtMs > DRAIN_APPLY_MS)) {
        violations.push(`sent to ${workerId} after it had said to ${router} that it is leaving`);
      }
    }
    return violations;
  }

  private *checkResponse(request: SoakRequest, runs: readonly WorkerRun[]): IterableIterator<string> {
    const { kind, status, text, isComplete, requestId } = request;
    const maxRuns = kind === 'stream' || kind === 'read' ? 2 : 1;
    if (runs.length > maxRuns) {
      yield 'twice';
    }
    if (NOT_RUN_STATUSES.includes(status ?? 0) && runs.length > 0) {
      yield `executed although refused with ${status}`;
    }
    if (this.isLostByRouter(request, runs)) {
      yield 'accepted request got no whole answer';
    }
    if (status === 200) {
      const completeText = makeCompleteText(kind, requestId);
      if (!completeText.startsWith(text)) {
        yield 'mixed';
      } else if (isComplete && text !== completeText) {
        yield 'a truncated response ended as complete';
      }
    }
  }

  /** Whether a calm router ended a request without the whole response of the sound worker to which it had passed it last. */
  private isLostByRouter(request: SoakRequest, runs: readonly WorkerRun[]): boolean {
    const { kind, requestId, text, status, isComplete, sentAtMs, isRouterStable, wasDisturbed } = request;
    const endedAtMs = request.endedAtMs ?? Infinity;
    const isRouterCalm = isRouterStable && !wasDisturbed;
    const isTimedOut = endedAtMs - sentAtMs >= ROUTE_TIMEOUT_MS - TIMEOUT_MARGIN_MS;
    const isWhole = status === 200 && isComplete && text === makeCompleteText(kind, requestId);
    const [lastRun] = [...runs].sort((a, b) => b.arrivedAtMs - a.arrivedAtMs);
    if (!lastRun || lastRun.fault !== undefined || !isRouterCalm || isTimedOut || isWhole) {
      return false;
    }
    const { workerId, arrivedAtMs } = lastRun;
    return !this.crashes.some(
      (crash) => crash.workerId === workerId && crash.fromMs <= endedAtMs && arrivedAtMs <= crash.toMs,
    );
  }

  private *checkTiming(request: SoakRequest, runs: readonly WorkerRun[]): IterableIterator<string> {
    const { sentAtMs, router, status, isSent, isRouterStable } = request;
    if (
      isRouterStable &&
      !request.wasDisturbed &&
      this.getShortestHoldMs(request) > ROUTE_TIMEOUT_MS + RESPONSE_SLACK_MS
    ) {
      yield 'held';
    }
    const isLost = isSent && status === undefined;
    if (
      isLost &&
      this.plannedStops.some((stop) => stop.router === router && Math.abs(stop.atMs - sentAtMs) < 900)
    ) {
      yield 'connection lost at a planned stop';
    }
    if (!isRouterStable || this.isNearStoreOutage(sentAtMs)) {
      return;
    }
    for (const run of runs) {
      if (
        request.kind === 'moved' &&
        run.service !== this.getRoutedService(sentAtMs) &&
        this.isRouteChangeApplied(sentAtMs)
      ) {
        yield 'routed by an outdated configuration';
      }
      const isDraining = this.drains.some(
        ({ workerId, fromMs, toMs }) =>
          workerId === run.workerId && fromMs + DRAIN_APPLY_MS < sentAtMs && run.arrivedAtMs < toMs,
      );
      if (isDraining) {
        yield 'sent to a draining worker';
      }
    }
  }

  /**
   * Returns the shortest time for which a router can have held a request: while this process was delayed, it may have sent the
   * request later than recorded, and observed an answer later than it arrived; what arrived in a delay is read shortly after.
   */
  private getShortestHoldMs({ sentAtMs, writtenAtMs, endedAtMs = Infinity }: SoakRequest): number {
    let fromMs = sentAtMs;
    for (const delay of this.ownDelays) {
      if (delay.fromMs <= fromMs && fromMs <= delay.toMs) {
        fromMs = Math.min(delay.toMs, writtenAtMs ?? sentAtMs);
      }
    }
    let toMs = endedAtMs;
    let backlogMs = MIN_REPORTED_MS;
    for (const delay of [...this.ownDelays].reverse()) {
      if (delay.fromMs <= toMs && toMs <= delay.toMs + backlogMs) {
        toMs = delay.fromMs;
        backlogMs = 0;
      }
    }
    return toMs - fromMs;
  }

  private getRoutedService(atMs: number): string | undefined {
    let service: string | undefined;
    for (const change of this.routeChanges) {
      service = change.atMs <= atMs ? change.service : service;
    }
    return service;
  }

  private isRouteChangeApplied(atMs: number): boolean {
    return !this.routeChanges.some((change) => change.atMs <= atMs && change.atMs > atMs - CONFIG_APPLY_MS);
  }

  private isNearStoreOutage(atMs: number): boolean {
    const windowMs = Math.max(STABILIZATION_MS, CONFIG_APPLY_MS) + CONFIG_APPLY_MS;
    return this.storeOutages.some((outage) => outage.fromMs <= atMs && atMs < outage.toMs + windowMs);
  }
}

function makeCompleteText(kind: RequestKind, requestId: string): string {
  return kind === 'stream' ? makeStreamText(requestId) : makePlainText(requestId);
}

/**
 * Checks whether checks with time limits apply to a process now.
 * @param disturbedAtMs - Time of its last disturbance, in milliseconds.
 */
export function isStable(disturbedAtMs: number): boolean {
  return Date.now() - disturbedAtMs > STABILIZATION_MS;
}
