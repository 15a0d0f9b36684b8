import type { Clock, Timer } from '../kernel/index.js';
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
} from '../domain/index.js';
import type { Metrics } from '../telemetry/index.js';
import { ConnectionLostError, type PeerConnection, type PeerDialer } from '../transport/index.js';
import { ResponseAssembler, type AssemblyStep } from './decisions/index.js';

/** Time between two tries to reach an agent again, in milliseconds. */
const REASK_INTERVAL_MS = 300;
/**
 * Tries to reach an agent again before an attempt is given up that could be run elsewhere, or whose agent's process has
 * ended and can't know of it any more.
 */
const TRIES_BEFORE_GIVING_UP = 4;

/** How an attempt ended for its router. */
export type AttemptResult =
  | { readonly kind: 'complete'; readonly tokenCount: number }
  /** The agent vouches that the attempt did not run and never will. */
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

interface LiveAttempt {
  readonly params: RunParams;
  readonly target: AttemptTarget;
  readonly assembler: ResponseAssembler;
  readonly deliver: (chunk: ResponseChunk) => void;
  readonly settle: (result: AttemptResult) => void;
  triesLeft: number;
  resuming: boolean;
  retryTimer?: Timer;
  stopListening?: () => void;
}

/** Runs attempts on agents and puts their answers together, across connections that break or go silent. */
export class AttemptClient {
  private readonly live = new Map<string, LiveAttempt>();

  /**
   * @param clock - Source of time.
   * @param dialer - Reaches agents.
   * @param metrics - Counters.
   */
  constructor(
    private readonly clock: Clock,
    private readonly dialer: PeerDialer,
    private readonly metrics: Metrics,
  ) {}

  /** Attempts that run now. */
  get liveCount(): number {
    return this.live.size;
  }

  /**
   * Runs an attempt to its end.
   * @param target - Process to run it.
   * @param params - The attempt.
   * @param deliver - Takes the pieces of the answer, in order and each once.
   */
  run(
    target: AttemptTarget,
    params: RunParams,
    deliver: (chunk: ResponseChunk) => void,
  ): Promise<AttemptResult> {
    return new Promise((resolve) => {
      const settle = (result: AttemptResult) => {
        if (this.live.delete(params.attemptId)) {
          live.retryTimer?.cancel();
          live.stopListening?.();
          resolve(result);
        }
      };
      const live: LiveAttempt = {
        params,
        target,
        deliver,
        settle,
        assembler: new ResponseAssembler(),
        triesLeft: TRIES_BEFORE_GIVING_UP,
        resuming: false,
      };
      this.live.set(params.attemptId, live);
      void this.send(live);
    });
  }

  /**
   * Gives up an attempt and tells its agent.
   * @param attemptId - The attempt.
   */
  cancel(attemptId: string): void {
    const live = this.live.get(attemptId);
    live?.settle({
      kind: 'failed',
      crashed: false,
      reason: 'cancelled',
      detail: 'The request was given up.',
    });
    if (live) {
      this.tell(live.target, AGENT_METHODS.cancel, attemptId);
    }
  }

  /**
   * Tells the agent that the answer has arrived for good.
   * @param target - The agent.
   * @param attemptId - The attempt.
   */
  acknowledge(target: AttemptTarget, attemptId: string): void {
    this.tell(target, AGENT_METHODS.acknowledge, attemptId);
  }

  /** @param chunk - Piece that an agent sent. */
  onChunk(chunk: ResponseChunk): void {
    const live = this.live.get(chunk.attemptId);
    if (!live) {
      this.metrics.count('chunks_unknown_attempt');
      return;
    }
    this.take(live, live.assembler.onChunk(chunk));
  }

  /** @param end - End that an agent sent. */
  onEnd(end: ResponseEnd): void {
    const live = this.live.get(end.attemptId);
    if (!live) {
      this.metrics.count('ends_unknown_attempt');
      return;
    }
    this.take(live, live.assembler.onEnd(end));
  }

  private take(live: LiveAttempt, step: AssemblyStep): void {
    switch (step.kind) {
      case 'deliver':
        live.deliver(step.chunk);
        return;
      case 'resume':
        void this.resume(live);
        return;
      case 'finished':
        live.settle(toResult(step.end));
        return;
      case 'wait':
        return;
    }
  }

  private async send(live: LiveAttempt): Promise<void> {
    let connection: PeerConnection;
    try {
      connection = await this.dialer.connect(live.target.peerAddress);
    } catch {
      const detail = 'The agent could not be reached.';
      live.settle({ kind: 'didNotRun', source: 'neverSent', reason: 'connectionLost', detail });
      return;
    }
    this.resumeWhenClosed(live, connection);
    try {
      const reply = await connection.call<RunReply>(AGENT_METHODS.run, live.params);
      if (reply.kind === 'refused') {
        live.settle({ ...reply, kind: 'didNotRun', source: 'agentRefusal' });
      }
    } catch {
      void this.resume(live);
    }
  }

  private resumeWhenClosed(live: LiveAttempt, connection: PeerConnection): void {
    live.stopListening?.();
    const release = connection.acquire();
    const stopListening = connection.onClose(() => {
      this.metrics.count('attempts_connection_lost');
      void this.resume(live);
    });
    live.stopListening = () => {
      release();
      stopListening();
    };
  }

  /** Asks the agent what became of the attempt and for the rest of its answer; never sends the attempt again. */
  private async resume(live: LiveAttempt): Promise<void> {
    if (live.resuming || !this.live.has(live.params.attemptId)) {
      return;
    }
    live.resuming = true;
    try {
      const connection = await this.dialer.connect(live.target.peerAddress);
      const params: AttemptStatusParams = {
        attemptId: live.params.attemptId,
        incarnation: live.target.incarnation,
        fromOrdinal: live.assembler.nextOrdinal,
      };
      const reply = await connection.call<AttemptStatusReply>(AGENT_METHODS.resume, params);
      live.resuming = false;
      this.metrics.count('attempts_resumed');
      this.takeResumeReply(live, reply, connection);
    } catch (error) {
      live.resuming = false;
      this.resumeLater(live, error instanceof ConnectionLostError && error.isRefused);
    }
  }

  private takeResumeReply(live: LiveAttempt, reply: AttemptStatusReply, connection: PeerConnection): void {
    switch (reply.kind) {
      case 'neverSeen':
      case 'refused': {
        const detail = 'The connection was lost before the request arrived.';
        live.settle({ kind: 'didNotRun', source: 'agentTombstone', reason: 'connectionLost', detail });
        return;
      }
      case 'otherIncarnation': {
        const detail = 'The agent restarted while the request ran.';
        live.settle({ kind: 'failed', crashed: false, reason: 'connectionLost', detail });
        return;
      }
      case 'running':
        this.resumeWhenClosed(live, connection);
        return;
      case 'finished':
        return;
    }
  }

  private resumeLater(live: LiveAttempt, isAgentGone: boolean): void {
    live.triesLeft--;
    const isWorthWaiting = !isAgentGone && (live.assembler.nextOrdinal > 0 || !live.params.idempotent);
    if (live.triesLeft <= 0 && !isWorthWaiting) {
      const detail = 'The agent could not be reached again.';
      live.settle({ kind: 'failed', crashed: false, reason: 'connectionLost', detail });
      return;
    }
    live.retryTimer = this.clock.schedule(REASK_INTERVAL_MS, () => void this.resume(live));
  }

  private tell(target: AttemptTarget, method: string, attemptId: string): void {
    const params = { attemptId, incarnation: target.incarnation };
    this.dialer.connect(target.peerAddress).then(
      (connection) => connection.notify(method, params),
      () => this.metrics.count('agents_untold'),
    );
  }
}

/** Says how an attempt ended from what its agent said. */
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
