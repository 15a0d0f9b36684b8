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

/** Maximum number of attempts per request. */
const MAX_ATTEMPTS = 8;
/** Number of claim shards of one service. */
const CLAIM_SHARD_COUNT = 16;
/** Retry delay sent to the caller after a failure, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Dependencies of RequestHandler. */
export interface RequestHandlerDependencies {
  readonly clock: Clock;
  readonly owners: OwnerClient;
  readonly attempts: AttemptClient;
  readonly retryBudget: RetryBudget;
  readonly metrics: Metrics;
}

/** Destination of the response. */
export interface ResponseSink {
  /** Accepts the next chunk of the response. */
  deliver(chunk: ResponseChunk): void;
  /** Whether any chunk has been sent to the caller. */
  readonly hasDelivered: boolean;
  /** Discards the buffered chunks before another attempt. */
  reset(): void;
  /** Returns the complete buffered response, to be recorded with the claim. */
  getOutcome(): RecordedOutcome | undefined;
}

/** Result of a request. */
export type RequestResult =
  | { readonly kind: 'complete'; readonly tokenCount: number; readonly timing: RequestTiming }
  | { readonly kind: 'recorded'; readonly outcome: RecordedOutcome }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Time that a request spent in each phase, summed over its attempts. */
export interface RequestTiming {
  readonly queuedMs: number;
  readonly loadMs: number;
  readonly attemptCount: number;
}

/** Parameters of an attempt that are derived when the request is parsed. */
export interface RunExtras {
  readonly modelId: ModelId;
  readonly adapterSizeBytes: number;
  readonly cacheSalt: string;
  readonly claimShard: string | undefined;
}

/** Handles one request: assignment to a server, claim, attempts, retries and the final result. */
export class RequestHandler {
  private readonly verdictTracker = new VerdictTracker();
  private readonly excludedServerIds = new Set<ServerId>();
  private readonly startedAtMs: number;
  private ownerId: RouterId | undefined;
  private currentAttemptId: AttemptId | undefined;
  private attemptCount = 0;
  private queuedMs = 0;
  private loadMs = 0;
  private settled = false;
  private assigning = false;
  private isMoving = false;
  /** Whether a retry was taken from the budget before the attempt was cancelled for it. */
  private hasTakenRetry = false;
  private finish: (result: RequestResult) => void = () => undefined;

  /**
   * @param deps - Dependencies.
   * @param request - Request to handle.
   * @param extras - Further parameters of its attempts.
   * @param sink - Destination of the response.
   */
  constructor(
    private readonly deps: RequestHandlerDependencies,
    private readonly request: CallerRequest,
    private readonly extras: RunExtras,
    private readonly sink: ResponseSink,
  ) {
    this.startedAtMs = deps.clock.nowMs();
  }

  /** Runs the request; resolves at the deadline at the latest. */
  run(): Promise<RequestResult> {
    return new Promise((resolve) => {
      const deadlineTimer = this.deps.clock.schedule(this.remainingMs(), () => {
        this.refuse(
          'deadlinePassed',
          'The deadline passed before the answer was complete.',
          DEFAULT_RETRY_AFTER_MS,
        );
      });
      this.finish = (result) => {
        if (!this.settled) {
          this.settled = true;
          deadlineTimer.cancel();
          this.cancelPendingWork();
          resolve(result);
        }
      };
      this.runAttempts().catch((error: unknown) => {
        this.deps.metrics.count('flow_errors');
        this.refuse('serverFailed', `The router failed: ${String(error)}.`, DEFAULT_RETRY_AFTER_MS);
      });
    });
  }

  /** Cancels the request after its caller disconnected. */
  onCallerDisconnected(): void {
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
      const result = await this.runAttempt(attemptId, assigned, target);
      if (this.settled || !(await this.handleResult(attemptId, target, result))) {
        return;
      }
    }
  }

  private async assign(): Promise<(AssignReply & { kind: 'assigned' }) | undefined> {
    const { requestId, organisationId, requestClass, fingerprint, idempotent } = this.request;
    this.assigning = true;
    const { ownerId, reply } = await this.deps.owners.assign({
      requestId,
      organisationId,
      requestClass,
      fingerprint,
      idempotent,
      modelId: this.extras.modelId,
      remainingMs: this.remainingMs(),
      excludedServerIds: [...this.excludedServerIds],
    });
    this.assigning = false;
    this.ownerId = ownerId;
    if (reply.kind === 'refused') {
      this.ownerId = undefined;
      this.refuse(reply.reason, reply.detail, reply.retryAfterMs);
      return undefined;
    }
    if (this.settled) {
      this.cancelPendingWork();
      return undefined;
    }
    this.queuedMs += reply.assignment.queuedMs;
    this.loadMs += reply.assignment.loadMs;
    return reply;
  }

  /** Claims a non-idempotent request that has an idempotency key; returns true when the attempt may be sent. */
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
      earlierAttemptDidNotRun: this.attemptCount > 1 && this.verdictTracker.verdict === 'didNotRun',
    });
    switch (reply.kind) {
      case 'claimed':
        return true;
      case 'recorded':
        this.finish({ kind: 'recorded', outcome: reply.outcome });
        return false;
      case 'inProgress':
        this.refuseWithVerdict(
          'mayHaveRun',
          'claimInProgress',
          'A request with this key is running.',
          DEFAULT_RETRY_AFTER_MS,
        );
        return false;
      case 'keyReused':
        this.refuseWithVerdict(
          'didNotRun',
          'keyReused',
          'This Idempotency-Key belongs to another request; use a new one.',
        );
        return false;
      case 'undecided':
        this.refuseWithVerdict(
          'mayHaveRun',
          'alreadyClaimed',
          'An earlier request with this key may have run; it is not repeated.',
        );
        return false;
      case 'agentSilent':
        this.refuseWithVerdict(
          'mayHaveRun',
          'alreadyClaimed',
          'An earlier request with this key may have run; its server does not answer now.',
          DEFAULT_RETRY_AFTER_MS,
        );
        return false;
      case 'unavailable':
        this.refuse('platformUnavailable', 'The claim could not be written.', DEFAULT_RETRY_AFTER_MS);
        return false;
    }
  }

  private async runAttempt(
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
    this.verdictTracker.markPossiblySent(attemptId);
    this.currentAttemptId = attemptId;
    const sentAtMs = this.deps.clock.nowMs();
    const result = await this.deps.attempts.run(target, params, {
      onChunk: (chunk) => this.deliver(chunk),
      onStalled: () => void this.moveStalledAttempt(attemptId, target),
    });
    this.currentAttemptId = undefined;
    this.release(toReleaseOutcome(result), this.deps.clock.nowMs() - sentAtMs);
    return result;
  }

  private deliver(chunk: ResponseChunk): void {
    if (!this.settled) {
      this.sink.deliver(chunk);
    }
  }

  /** Cancels an attempt on a silent server once another server and a retry are available for the request. */
  private async moveStalledAttempt(attemptId: AttemptId, target: AttemptTarget): Promise<void> {
    if (this.isMoving || this.ownerId === undefined || this.attemptCount >= MAX_ATTEMPTS) {
      return;
    }
    this.isMoving = true;
    const params = { modelId: this.extras.modelId, serverId: target.serverId };
    const hasOther = await this.deps.owners.hasOtherServer(this.ownerId, params);
    this.isMoving = false;
    const isRunning = !this.settled && this.currentAttemptId === attemptId && !this.sink.hasDelivered;
    if (hasOther && isRunning && this.deps.retryBudget.tryTake(this.deps.clock.nowMs())) {
      this.hasTakenRetry = true;
      this.deps.attempts.cancelStalled(attemptId);
    }
  }

  /** Handles the result of an attempt; returns true when another attempt should be made. */
  private async handleResult(
    attemptId: AttemptId,
    target: AttemptTarget,
    result: AttemptResult,
  ): Promise<boolean> {
    switch (result.kind) {
      case 'complete':
        this.verdictTracker.markCompleted();
        this.deps.retryBudget.recordSuccess();
        this.recordOutcome(attemptId, target);
        this.finish({ kind: 'complete', tokenCount: result.tokenCount, timing: this.timing() });
        return false;
      case 'didNotRun':
        this.verdictTracker.proveDidNotRun({ attemptId, source: result.source });
        this.excludedServerIds.add(target.serverId);
        return this.tryRetry(result.reason, result.detail, result.retryAfterMs);
      case 'failed':
        if (!this.request.idempotent || this.sink.hasDelivered) {
          this.refuse(result.reason, result.detail, DEFAULT_RETRY_AFTER_MS);
          return false;
        }
        this.excludedServerIds.add(target.serverId);
        return this.tryRetry(result.reason, result.detail, DEFAULT_RETRY_AFTER_MS);
    }
  }

  private tryRetry(reason: RefusalReason, detail: string, retryAfterMs: number | undefined): boolean {
    const mayRetry =
      this.hasTakenRetry ||
      (this.attemptCount < MAX_ATTEMPTS && this.deps.retryBudget.tryTake(this.deps.clock.nowMs()));
    this.hasTakenRetry = false;
    if (!mayRetry) {
      this.refuse(reason, detail, retryAfterMs ?? DEFAULT_RETRY_AFTER_MS);
      return false;
    }
    this.deps.metrics.count('retries');
    this.sink.reset();
    return true;
  }

  /**
   * Records the outcome for retries by the caller without delaying the response; until then such retries are refused.
   */
  private recordOutcome(attemptId: AttemptId, target: AttemptTarget): void {
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
    if (this.ownerId !== undefined) {
      const { requestId } = this.request;
      this.deps.owners.release(this.ownerId, { requestId, modelId: this.extras.modelId, outcome, serviceMs });
      this.ownerId = undefined;
    }
  }

  private cancelPendingWork(): void {
    if (this.currentAttemptId !== undefined) {
      this.deps.attempts.cancel(this.currentAttemptId);
      this.currentAttemptId = undefined;
    }
    if (this.ownerId !== undefined || this.assigning) {
      const { requestId } = this.request;
      this.deps.owners.abandon(this.ownerId, { requestId, modelId: this.extras.modelId });
    }
    this.ownerId = undefined;
  }

  private refuse(reason: RefusalReason, detail: string, retryAfterMs?: number): void {
    const verdict = this.verdictTracker.verdict === 'ran' ? 'mayHaveRun' : this.verdictTracker.verdict;
    this.refuseWithVerdict(verdict, reason, detail, retryAfterMs);
  }

  private refuseWithVerdict(
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
 * Returns the claim shard of an idempotency key.
 * @param serviceId - Service that the request is for.
 * @param keyHash - Hash of organisation and key.
 */
export function getClaimShard(serviceId: string, keyHash: number): string {
  return `${serviceId}/${keyHash % CLAIM_SHARD_COUNT}`;
}

/** Converts the result of an attempt to the outcome sent to the owner. */
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
