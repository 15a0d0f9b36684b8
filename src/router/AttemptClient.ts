import { runInBackground, type Clock, type Timer } from '../kernel/index.js';
import {
  AGENT_METHODS,
  type ResponseChunk,
  type ResponseEnd,
  type AttemptStatusParams,
  type AttemptStatusReply,
  type AttemptTarget,
  type DidNotRunProof,
  type RefusalReason,
  type RunParams,
  type RunReply,
  type StalledParams,
} from '../domain/index.js';
import type { Metrics } from '../telemetry/index.js';
import { ConnectionLostError, type PeerConnection, type PeerDialer } from '../transport/index.js';
import { ResponseAssembler, type AssemblyStep } from './decisions/index.js';

/** Time between two tries to resume an attempt, in milliseconds. */
const RESUME_INTERVAL_MS = 300;
/**
 * Tries to resume an attempt that could be run elsewhere, or whose agent process has ended and no longer knows the
 * attempt; other attempts are tried until the deadline.
 */
const MAX_RESUME_TRIES = 4;

/** Result of an attempt. */
export type AttemptResult =
  | { readonly kind: 'complete'; readonly tokenCount: number }
  /** There is proof that the attempt did not run and never will. */
  | {
      readonly kind: 'didNotRun';
      readonly source: DidNotRunProof['source'];
      readonly reason: RefusalReason;
      readonly detail: string;
      readonly retryAfterMs?: number;
    }
  | {
      readonly kind: 'failed';
      readonly crashed: boolean;
      readonly reason: RefusalReason;
      readonly detail: string;
    };

/** Receives the response to an attempt. */
export interface AttemptListener {
  /** Called with each chunk of the response once, in order. */
  onChunk(chunk: ResponseChunk): void;
  /** Called again and again while the backend server does not respond; the attempt goes on. */
  onStalled(): void;
}

interface ActiveAttempt {
  readonly params: RunParams;
  readonly target: AttemptTarget;
  readonly assembler: ResponseAssembler;
  readonly listener: AttemptListener;
  readonly settle: (result: AttemptResult) => void;
  triesLeft: number;
  resuming: boolean;
  retryTimer?: Timer;
  releaseConnection?: () => void;
}

/** Runs attempts on agents and assembles their responses, resuming after lost connections. */
export class AttemptClient {
  private readonly active = new Map<string, ActiveAttempt>();

  /**
   * @param clock - Source of time.
   * @param dialer - Connects to agents.
   * @param metrics - Counters.
   */
  constructor(
    private readonly clock: Clock,
    private readonly dialer: PeerDialer,
    private readonly metrics: Metrics,
  ) {}

  /** Number of attempts in progress. */
  get activeCount(): number {
    return this.active.size;
  }

  /**
   * Runs an attempt and resolves with its result.
   * @param target - Agent process that runs the attempt.
   * @param params - Parameters of the attempt.
   * @param listener - Receives the response.
   */
  run(target: AttemptTarget, params: RunParams, listener: AttemptListener): Promise<AttemptResult> {
    return new Promise((resolve) => {
      const settle = (result: AttemptResult) => {
        if (this.active.delete(params.attemptId)) {
          attempt.retryTimer?.cancel();
          attempt.releaseConnection?.();
          resolve(result);
        }
      };
      const attempt: ActiveAttempt = {
        params,
        target,
        listener,
        settle,
        assembler: new ResponseAssembler(),
        triesLeft: MAX_RESUME_TRIES,
        resuming: false,
      };
      this.active.set(params.attemptId, attempt);
      runInBackground('attempt', () => this.send(attempt));
    });
  }

  /**
   * Cancels an attempt and notifies its agent.
   * @param attemptId - Attempt to cancel.
   */
  cancel(attemptId: string): void {
    this.cancelWithReason(attemptId, 'cancelled', 'The request was given up.');
  }

  /**
   * Cancels an attempt whose backend server does not respond, because the request can run on another one.
   * @param attemptId - Attempt to cancel.
   */
  cancelStalled(attemptId: string): void {
    this.cancelWithReason(attemptId, 'serverFailed', 'The backend server stopped answering.');
  }

  /**
   * Notifies the agent that the response was received and need not be kept.
   * @param target - Agent process that ran the attempt.
   * @param attemptId - Completed attempt.
   */
  acknowledge(target: AttemptTarget, attemptId: string): void {
    this.notifyAgent(target, AGENT_METHODS.acknowledge, attemptId);
  }

  /** @param chunk - Chunk received from an agent. */
  onChunk(chunk: ResponseChunk): void {
    const attempt = this.active.get(chunk.attemptId);
    if (!attempt) {
      this.metrics.count('chunks_unknown_attempt');
      return;
    }
    this.applyStep(attempt, attempt.assembler.onChunk(chunk));
  }

  /** @param end - End of a response received from an agent. */
  onEnd(end: ResponseEnd): void {
    const attempt = this.active.get(end.attemptId);
    if (!attempt) {
      this.metrics.count('ends_unknown_attempt');
      return;
    }
    this.applyStep(attempt, attempt.assembler.onEnd(end));
  }

  /** @param params - Attempt whose backend server does not respond. */
  onStalled({ attemptId }: StalledParams): void {
    this.active.get(attemptId)?.listener.onStalled();
  }

  private cancelWithReason(attemptId: string, reason: RefusalReason, detail: string): void {
    const attempt = this.active.get(attemptId);
    if (attempt) {
      attempt.settle({ kind: 'failed', crashed: false, reason, detail });
      this.notifyAgent(attempt.target, AGENT_METHODS.cancel, attemptId);
    }
  }

  private applyStep(attempt: ActiveAttempt, step: AssemblyStep): void {
    switch (step.kind) {
      case 'deliver':
        attempt.listener.onChunk(step.chunk);
        return;
      case 'resume':
        runInBackground('attempt that is resumed', () => this.resume(attempt));
        return;
      case 'finished':
        attempt.settle(toResult(step.end));
        return;
      case 'wait':
        return;
    }
  }

  private async send(attempt: ActiveAttempt): Promise<void> {
    let connection: PeerConnection;
    try {
      connection = await this.dialer.connect(attempt.target.peerAddress);
    } catch {
      const detail = 'The agent could not be reached.';
      attempt.settle({ kind: 'didNotRun', source: 'neverSent', reason: 'connectionLost', detail });
      return;
    }
    this.resumeWhenClosed(attempt, connection);
    try {
      const reply = await connection.call<RunReply>(AGENT_METHODS.run, attempt.params);
      if (reply.kind === 'refused') {
        attempt.settle({ ...reply, kind: 'didNotRun', source: 'agentRefusal' });
      }
    } catch {
      runInBackground('attempt that is resumed', () => this.resume(attempt));
    }
  }

  private resumeWhenClosed(attempt: ActiveAttempt, connection: PeerConnection): void {
    attempt.releaseConnection?.();
    const release = connection.acquire();
    const stopListening = connection.onClose(() => {
      this.metrics.count('attempts_connection_lost');
      runInBackground('attempt that is resumed', () => this.resume(attempt));
    });
    attempt.releaseConnection = () => {
      release();
      stopListening();
    };
  }

  /** Queries the attempt's status and requests the missing chunks; never sends the attempt again. */
  private async resume(attempt: ActiveAttempt): Promise<void> {
    if (attempt.resuming || !this.active.has(attempt.params.attemptId)) {
      return;
    }
    attempt.resuming = true;
    try {
      const connection = await this.dialer.connect(attempt.target.peerAddress);
      const params: AttemptStatusParams = {
        attemptId: attempt.params.attemptId,
        incarnation: attempt.target.incarnation,
        fromOrdinal: attempt.assembler.nextOrdinal,
      };
      const reply = await connection.call<AttemptStatusReply>(AGENT_METHODS.resume, params);
      attempt.resuming = false;
      this.metrics.count('attempts_resumed');
      this.applyResumeReply(attempt, reply, connection);
    } catch (error) {
      attempt.resuming = false;
      this.scheduleResume(attempt, error instanceof ConnectionLostError && error.isRefused);
    }
  }

  private applyResumeReply(
    attempt: ActiveAttempt,
    reply: AttemptStatusReply,
    connection: PeerConnection,
  ): void {
    switch (reply.kind) {
      case 'neverSeen':
      case 'refused': {
        const detail = 'The connection was lost before the request arrived.';
        attempt.settle({ kind: 'didNotRun', source: 'agentTombstone', reason: 'connectionLost', detail });
        return;
      }
      case 'otherIncarnation': {
        const detail = 'The agent restarted while the request ran.';
        attempt.settle({ kind: 'failed', crashed: false, reason: 'connectionLost', detail });
        return;
      }
      case 'running':
        this.resumeWhenClosed(attempt, connection);
        return;
      case 'finished':
        return;
    }
  }

  private scheduleResume(attempt: ActiveAttempt, hasAgentEnded: boolean): void {
    attempt.triesLeft--;
    const shouldKeepTrying =
      !hasAgentEnded && (attempt.assembler.nextOrdinal > 0 || !attempt.params.idempotent);
    if (attempt.triesLeft <= 0 && !shouldKeepTrying) {
      const detail = 'The agent could not be reached again.';
      attempt.settle({ kind: 'failed', crashed: false, reason: 'connectionLost', detail });
      return;
    }
    attempt.retryTimer = this.clock.schedule(RESUME_INTERVAL_MS, () => void this.resume(attempt));
  }

  private notifyAgent(target: AttemptTarget, method: string, attemptId: string): void {
    const params = { attemptId, incarnation: target.incarnation };
    this.dialer.connect(target.peerAddress).then(
      (connection) => connection.notify(method, params),
      () => this.metrics.count('agents_untold'),
    );
  }
}

/** Converts the end reported by an agent to the result of the attempt. */
function toResult(end: ResponseEnd): AttemptResult {
  switch (end.kind) {
    case 'complete':
      return { kind: 'complete', tokenCount: end.tokenCount };
    case 'notRun':
      return { kind: 'didNotRun', source: 'agentRefusal', reason: 'serverFailed', detail: end.detail };
    case 'failed':
      return { kind: 'failed', crashed: end.crashed, reason: 'serverFailed', detail: end.detail };
    case 'cancelled':
      return {
        kind: 'failed',
        crashed: false,
        reason: 'cancelled',
        detail: 'The agent cancelled the request.',
      };
  }
}
