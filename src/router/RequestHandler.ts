import type { Clock } from '../kernel/index.js';
import {
  toAttemptId,
  VerdictTracker,
  type ResponseChunk,
  type AssignReply,
  type AttemptId,
  type AttemptTarget,
  type CallerRequest,
  type ModelId,
  type RecordedOutcome,
  type Refusal,
  type RefusalReason,
  type RouterId,
  type RunParams,
  type ServerId,
} from '../domain/index.js';
import type { Metrics } from '../telemetry/index.js';
import type { AttemptClient, AttemptResult } from './AttemptClient.js';
import type { OwnerClient } from './OwnerClient.js';
import type { RetryBudget } from './decisions/index.js';

/** Most attempts at one request. */
const MAX_ATTEMPTS = 8;
/** Number of claim shards of one service. */
const CLAIM_SHARDS = 16;
/** Time that a caller should wait after a failure, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** What a flow is made of. */
export interface RequestHandlerDependencies {
  readonly clock: Clock;
  readonly owners: OwnerClient;
  readonly attempts: AttemptClient;
  readonly retryBudget: RetryBudget;
  readonly metrics: Metrics;
}

/** Where a flow's answer goes. */
export interface ResponseSink {
  /** Takes the next piece of the answer. */
  deliver(chunk: ResponseChunk): void;
  /** Whether any piece has gone to the caller for good. */
  readonly hasDelivered: boolean;
  /** Forgets what was buffered, since another attempt begins. */
  reset(): void;
  /** The whole answer, for the record of a claimed request. */
  getOutcome(): RecordedOutcome | undefined;
}

/** How a request ended. */
export type RequestResult =
  | { readonly kind: 'complete'; readonly tokenCount: number; readonly timing: RequestTiming }
  | { readonly kind: 'recorded'; readonly outcome: RecordedOutcome }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Where the time of a request went. */
export interface RequestTiming {
  readonly queuedMs: number;
  readonly loadMs: number;
  readonly attemptCount: number;
}

/** Fields of a run order that only the entry knows. */
export interface FlowExtras {
  readonly modelId: ModelId;
  readonly adapterSizeBytes: number;
  readonly cacheSalt: string;
  readonly claimShard: string | undefined;
}

/** Takes one request through assignment, claim and attempts to its one final answer. */
export class RequestHandler {
  private readonly tracker = new VerdictTracker();
  private readonly excluded = new Set<ServerId>();
  private readonly startedAtMs: number;
  private homeId: RouterId | undefined;
  private currentAttemptId: AttemptId | undefined;
  private attemptCount = 0;
  private queuedMs = 0;
  private loadMs = 0;
  private settled = false;
  private assigning = false;
  private finish: (result: RequestResult) => void = () => undefined;

  /**
   * @param deps - What the flow is made of.
   * @param request - The request.
   * @param extras - Further fields of its run orders.
   * @param sink - Where the answer goes.
   */
  constructor(
    private readonly deps: RequestHandlerDependencies,
    private readonly request: CallerRequest,
    private readonly extras: FlowExtras,
    private readonly sink: ResponseSink,
  ) {
    this.startedAtMs = deps.clock.nowMs();
  }

  /** Runs the request; the result comes at the deadline at the latest. */
  run(): Promise<RequestResult> {
    return new Promise((resolve) => {
      const watchdog = this.deps.clock.schedule(this.remainingMs(), () => {
        this.refuse(
          'deadlinePassed',
          'The deadline passed before the answer was complete.',
          DEFAULT_RETRY_AFTER_MS,
        );
      });
      this.finish = (result) => {
        if (!this.settled) {
          this.settled = true;
          watchdog.cancel();
          this.dropWhatIsLeft();
          resolve(result);
        }
      };
      this.runAttempts().catch((error: unknown) => {
        this.deps.metrics.count('flow_errors');
        this.refuse('serverFailed', `The router failed: ${String(error)}.`, DEFAULT_RETRY_AFTER_MS);
      });
    });
  }

  /** Gives the request up because its caller hung up. */
  callerLeft(): void {
    this.refuse('cancelled', 'The caller hung up.');
  }

  private async runAttempts(): Promise<void> {
    while (!this.settled) {
      const assigned = await this.assign();
      if (!assigned || this.settled) {
        return;
      }
      const attemptId = toAttemptId(this.request.requestId, ++this.attemptCount);
      const target: AttemptTarget = assigned.assignment;
      if (!(await this.claim(attemptId, target)) || this.settled) {
        this.release('refused', 0);
        return;
      }
      const result = await this.attempt(attemptId, assigned, target);
      if (this.settled || !(await this.shouldTryAgain(attemptId, target, result))) {
        return;
      }
    }
  }

  private async assign(): Promise<(AssignReply & { kind: 'assigned' }) | undefined> {
    const { requestId, organisationId, requestClass, fingerprint, idempotent } = this.request;
    this.assigning = true;
    const { homeId, reply } = await this.deps.owners.assign({
      requestId,
      organisationId,
      requestClass,
      fingerprint,
      idempotent,
      modelId: this.extras.modelId,
      remainingMs: this.remainingMs(),
      excludedServerIds: [...this.excluded],
    });
    this.assigning = false;
    this.homeId = homeId;
    if (reply.kind === 'refused') {
      this.homeId = undefined;
      this.refuse(reply.reason, reply.detail, reply.retryAfterMs);
      return undefined;
    }
    if (this.settled) {
      this.dropWhatIsLeft();
      return undefined;
    }
    this.queuedMs += reply.assignment.queuedMs;
    this.loadMs += reply.assignment.loadMs;
    return reply;
  }

  /** Claims a non-idempotent request that has a key; true when the attempt may be sent. */
  private async claim(attemptId: AttemptId, target: AttemptTarget): Promise<boolean> {
    const { claimShard } = this.extras;
    if (claimShard === undefined) {
      return true;
    }
    const reply = await this.deps.owners.claim({
      claimShard,
      key: this.claimKey(),
      fingerprint: this.request.fingerprint,
      requestId: this.request.requestId,
      attemptId,
      target: { serverId: target.serverId, incarnation: target.incarnation, peerAddress: target.peerAddress },
      earlierAttemptDidNotRun: this.attemptCount > 1 && this.tracker.verdict === 'didNotRun',
    });
    switch (reply.kind) {
      case 'claimed':
        return true;
      case 'recorded':
        this.finish({ kind: 'recorded', outcome: reply.outcome });
        return false;
      case 'inProgress':
        this.refuseAs(
          'mayHaveRun',
          'claimInProgress',
          'A request with this key is running.',
          DEFAULT_RETRY_AFTER_MS,
        );
        return false;
      case 'keyReused':
        this.refuseAs(
          'didNotRun',
          'keyReused',
          'This Idempotency-Key belongs to another request; use a new one.',
        );
        return false;
      case 'undecided':
        this.refuseAs(
          'mayHaveRun',
          'alreadyClaimed',
          'An earlier request with this key may have run; it is not repeated.',
        );
        return false;
      case 'unavailable':
        this.refuse('platformUnavailable', 'The claim could not be written.', DEFAULT_RETRY_AFTER_MS);
        return false;
    }
  }

  private async attempt(
    attemptId: AttemptId,
    assigned: AssignReply & { kind: 'assigned' },
    target: AttemptTarget,
  ): Promise<AttemptResult> {
    const { modelId, adapterSizeBytes, cacheSalt } = this.extras;
    const {
      organisationId,
      serviceId,
      adapterId,
      requestClass,
      method,
      path,
      body,
      fingerprint,
      idempotent,
    } = this.request;
    const params: RunParams = {
      attemptId,
      organisationId,
      serviceId,
      modelId: this.request.modelId === undefined ? undefined : modelId,
      adapterId,
      adapterSizeBytes,
      requestClass,
      remainingMs: this.remainingMs(),
      method,
      path,
      body,
      fingerprint,
      idempotent,
      cacheSalt,
      alone: assigned.assignment.alone,
      incarnation: target.incarnation,
    };
    this.tracker.markPossiblySent(attemptId);
    this.currentAttemptId = attemptId;
    const sentAtMs = this.deps.clock.nowMs();
    const result = await this.deps.attempts.run(target, params, (chunk) => this.deliver(chunk));
    this.currentAttemptId = undefined;
    this.release(toReleaseOutcome(result), this.deps.clock.nowMs() - sentAtMs);
    return result;
  }

  private deliver(chunk: ResponseChunk): void {
    if (!this.settled) {
      this.sink.deliver(chunk);
    }
  }

  private async shouldTryAgain(
    attemptId: AttemptId,
    target: AttemptTarget,
    result: AttemptResult,
  ): Promise<boolean> {
    switch (result.kind) {
      case 'complete':
        this.tracker.markCompleted();
        this.deps.retryBudget.succeeded();
        this.keepOutcome(attemptId, target);
        this.finish({ kind: 'complete', tokenCount: result.tokenCount, timing: this.timing() });
        return false;
      case 'didNotRun':
        this.tracker.proveDidNotRun({ attemptId, source: result.source });
        this.excluded.add(target.serverId);
        return this.takeRetry(result.reason, result.detail, result.retryAfterMs);
      case 'failed':
        if (!this.request.idempotent || this.sink.hasDelivered) {
          this.refuse(result.reason, result.detail, DEFAULT_RETRY_AFTER_MS);
          return false;
        }
        this.excluded.add(target.serverId);
        return this.takeRetry(result.reason, result.detail, DEFAULT_RETRY_AFTER_MS);
    }
  }

  private takeRetry(reason: RefusalReason, detail: string, retryAfterMs: number | undefined): boolean {
    const mayRetry =
      this.attemptCount < MAX_ATTEMPTS && this.deps.retryBudget.tryTake(this.deps.clock.nowMs());
    if (!mayRetry) {
      this.refuse(reason, detail, retryAfterMs ?? DEFAULT_RETRY_AFTER_MS);
      return false;
    }
    this.deps.metrics.count('retries');
    this.sink.reset();
    return true;
  }

  /** Keeps the outcome for repeats, without holding back the answer for long: repeats are refused until it is kept. */
  private keepOutcome(attemptId: AttemptId, target: AttemptTarget): void {
    const outcome = this.sink.getOutcome();
    if (this.extras.claimShard === undefined || !outcome) {
      this.deps.attempts.acknowledge(target, attemptId);
      return;
    }
    const { requestId } = this.request;
    const params = { claimShard: this.extras.claimShard, key: this.claimKey(), requestId, outcome };
    this.deps.owners.recordOutcome(params).then(
      (recorded) => {
        if (recorded) {
          this.deps.attempts.acknowledge(target, attemptId);
        }
      },
      () => this.deps.metrics.count('outcomes_not_recorded'),
    );
  }

  private claimKey(): string {
    return `${this.request.organisationId}|${this.request.idempotencyKey ?? ''}`;
  }

  private release(outcome: 'completed' | 'refused' | 'crashed' | 'failed', serviceMs: number): void {
    if (this.homeId !== undefined) {
      const { requestId } = this.request;
      this.deps.owners.release(this.homeId, { requestId, modelId: this.extras.modelId, outcome, serviceMs });
      this.homeId = undefined;
    }
  }

  private dropWhatIsLeft(): void {
    if (this.currentAttemptId !== undefined) {
      this.deps.attempts.cancel(this.currentAttemptId);
      this.currentAttemptId = undefined;
    }
    if (this.homeId !== undefined || this.assigning) {
      const { requestId } = this.request;
      this.deps.owners.abandon(this.homeId, { requestId, modelId: this.extras.modelId });
    }
    this.homeId = undefined;
  }

  private refuse(reason: RefusalReason, detail: string, retryAfterMs?: number): void {
    const verdict = this.tracker.verdict === 'ran' ? 'mayHaveRun' : this.tracker.verdict;
    this.refuseAs(verdict, reason, detail, retryAfterMs);
  }

  private refuseAs(
    verdict: Refusal['verdict'],
    reason: RefusalReason,
    detail: string,
    retryAfterMs?: number,
  ): void {
    this.finish({ kind: 'refused', refusal: { reason, detail, verdict, retryAfterMs } });
  }

  private timing(): RequestTiming {
    return { queuedMs: this.queuedMs, loadMs: this.loadMs, attemptCount: this.attemptCount };
  }

  private remainingMs(): number {
    return this.request.deadlineAtMs - this.deps.clock.nowMs();
  }
}

/**
 * Names the shard that keeps a key's claim.
 * @param serviceId - Service that the key belongs to.
 * @param keyHash - Hash of the key.
 */
export function claimShardOf(serviceId: string, keyHash: number): string {
  return `${serviceId}/${keyHash % CLAIM_SHARDS}`;
}

/** Says how an assigned request ended, in the home's words. */
function toReleaseOutcome(result: AttemptResult): 'completed' | 'refused' | 'crashed' | 'failed' {
  switch (result.kind) {
    case 'complete':
      return 'completed';
    case 'didNotRun':
      return 'refused';
    case 'failed':
      return result.crashed ? 'crashed' : 'failed';
  }
}
