import type { ServiceId } from '../domain/index.js';
import type { Clock } from '../kernel/index.js';
import type { Metrics } from '../telemetry/index.js';
import type { CrashEvidence } from './CrashEvidence.js';
import type { FleetView, RequestLimits, SharedRetryBudget } from './decisions/index.js';
import { getSharingRouterCount } from './engineEntries.js';
import type { CallerRequest } from './CallerRequest.js';
import type { RetryAllowance } from './SilentServerReplacement.js';

/** Maximum sends of one request, including refused ones; limits a request that every server refuses. */
export const MAX_SENDS = 6;
/** Minimum remaining time for which another attempt is sent, in milliseconds. */
const MIN_ATTEMPT_MS = 20;

/** Dependencies of {@link RequestRetries}. */
export interface RequestRetriesDependencies {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly metrics: Metrics;
  /** Returns the retry budget of a service. */
  readonly getRetryBudget: (serviceId: ServiceId) => SharedRetryBudget;
}

/** Retries that one request may take from the retry budget of its service. */
export class RequestRetries implements RetryAllowance {
  /**
   * @param deps - Dependencies.
   * @param request - The caller's request.
   * @param limits - Limits of the request.
   * @param crashEvidence - Evidence that the request crashes servers; one that does is not sent again.
   * @param getSendCount - Returns the number of sends so far.
   */
  constructor(
    private readonly deps: RequestRetriesDependencies,
    private readonly request: CallerRequest,
    private readonly limits: RequestLimits,
    private readonly crashEvidence: CrashEvidence,
    private readonly getSendCount: () => number,
  ) {}

  /** Whether there are sends and time left for another attempt. */
  get isInTime(): boolean {
    const remainingMs = this.limits.deadlineAtMs - this.deps.clock.nowMs();
    return this.getSendCount() < MAX_SENDS && remainingMs > MIN_ATTEMPT_MS;
  }

  /** Records that the request was received. */
  recordRequest(): void {
    this.getRetryBudget().recordRequest(this.deps.clock.nowMs());
  }

  isLeft(): boolean {
    const isLeft = this.getRetryBudget().isLeft(this.deps.clock.nowMs(), this.getRouterCount());
    return isLeft && this.isInTime && !this.crashEvidence.isBlocked();
  }

  tryTake(): boolean {
    if (!this.isInTime || this.crashEvidence.isBlocked()) {
      return false;
    }
    const isAllowed = this.getRetryBudget().tryTake(this.deps.clock.nowMs(), this.getRouterCount());
    this.deps.metrics.count(isAllowed ? 'repeats' : 'repeats_refused');
    return isAllowed;
  }

  private getRouterCount(): number | undefined {
    return getSharingRouterCount(this.deps.view, this.deps.clock.nowMs() - this.getRetryBudget().windowMs);
  }

  private getRetryBudget(): SharedRetryBudget {
    return this.deps.getRetryBudget(this.request.serviceId);
  }
}
