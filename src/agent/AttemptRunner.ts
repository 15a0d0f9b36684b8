import { delay, type Clock } from '../kernel/index.js';
import type { ResponseEnd, RefusalReason, RunParams, RunReply } from '../domain/index.js';
import { ROUTER_METHODS } from '../domain/index.js';
import type { Metrics } from '../telemetry/index.js';
import type { PeerConnection } from '../transport/index.js';
import { AttemptTable, type AttemptStatus } from './decisions/index.js';
import type { BackendClient, BackendRunResult } from './BackendClient.js';
import type { ResidencyService } from './ResidencyService.js';

/** Time that an adapter stays after its last use, in milliseconds. */
const ADAPTER_KEEP_ALIVE_MS = 600_000;
/** Time between two looks whether the backend server crashed, in milliseconds. */
const CRASH_CHECK_INTERVAL_MS = 100;
/** Time that a caller should wait after a server refused, in milliseconds. */
const REFUSAL_RETRY_AFTER_MS = 1_000;

interface LiveAttempt {
  connection: PeerConnection;
  readonly cancel: AbortController;
  readonly idempotent: boolean;
  /** Whether it was broken off because the backend server stopped answering. */
  stalled: boolean;
}

/** Runs attempts on the backend server and sends their answers to the routers. */
export class AttemptRunner {
  readonly attempts = new AttemptTable();
  private readonly live = new Map<string, LiveAttempt>();
  private readonly idleListeners: (() => void)[] = [];
  /** Attempts that must run alone. */
  private exclusiveCount = 0;

  /**
   * @param clock - Source of time.
   * @param backend - The backend server.
   * @param residency - What the server holds.
   * @param metrics - Counters.
   */
  constructor(
    private readonly clock: Clock,
    private readonly backend: BackendClient,
    private readonly residency: ResidencyService,
    private readonly metrics: Metrics,
  ) {
    residency.onChange(() => this.breakOffStalled());
  }

  /** Attempts that run now. */
  get runningCount(): number {
    return this.live.size;
  }

  /**
   * Starts an attempt, or refuses it for good.
   * @param order - The attempt.
   * @param connection - Connection that the answer goes to.
   */
  run(order: RunParams, connection: PeerConnection): RunReply {
    if (!this.attempts.admit(order.attemptId)) {
      this.metrics.count('attempts_duplicate');
      return { kind: 'refused', reason: 'cancelled', detail: 'The attempt was given up before it arrived.' };
    }
    if (this.exclusiveCount > 0) {
      return this.refuse(order, 'overloaded', 'The server runs a request that must be alone.');
    }
    if (order.modelId !== undefined && !this.residency.controller.onRequestStarted(order.modelId)) {
      return this.refuse(order, 'notLoaded', 'The model is not loaded on this server.');
    }
    this.metrics.count('attempts_accepted');
    const live: LiveAttempt = {
      connection,
      cancel: new AbortController(),
      idempotent: order.idempotent,
      stalled: false,
    };
    this.live.set(order.attemptId, live);
    this.exclusiveCount += order.alone ? 1 : 0;
    const deadline = this.clock.schedule(order.remainingMs, () => live.cancel.abort());
    void this.runToEnd(order, live).finally(() => {
      deadline.cancel();
      this.finishLive(order);
    });
    return { kind: 'accepted' };
  }

  /**
   * Refuses an attempt for good.
   * @param order - The attempt.
   * @param reason - Why.
   * @param detail - Sentence for the caller.
   */
  refuse(order: RunParams, reason: RefusalReason, detail: string): RunReply {
    this.attempts.refuse(order.attemptId, this.clock.nowMs());
    this.metrics.count('attempts_refused');
    return { kind: 'refused', reason, detail, retryAfterMs: REFUSAL_RETRY_AFTER_MS };
  }

  /**
   * Sends the rest of an answer to another connection.
   * @param attemptId - The attempt.
   * @param fromOrdinal - Number of the first piece wanted.
   * @param connection - The connection.
   */
  resume(attemptId: string, fromOrdinal: number, connection: PeerConnection): AttemptStatus {
    const status = this.attempts.resolveStatus(attemptId, this.clock.nowMs());
    const live = this.live.get(attemptId);
    if (live) {
      live.connection = connection;
    }
    for (const chunk of this.attempts.chunksFrom(attemptId, fromOrdinal)) {
      connection.notify(ROUTER_METHODS.chunk, chunk);
    }
    if (status.kind === 'finished') {
      connection.notify(ROUTER_METHODS.end, status.end);
    }
    return status;
  }

  /** @param attemptId - Attempt that nobody waits for any more. */
  cancel(attemptId: string): void {
    this.live.get(attemptId)?.cancel.abort();
  }

  /** Waits until no attempt runs. */
  whenIdle(): Promise<void> {
    return this.whenFewerThan(1);
  }

  private async whenFewerThan(count: number): Promise<void> {
    while (this.live.size >= count) {
      await new Promise<void>((resolve) => this.idleListeners.push(resolve));
    }
  }

  /** Ends idempotent attempts without an answer on a silent server, so that their routers can try elsewhere. */
  private breakOffStalled(): void {
    if (this.residency.isReachable) {
      return;
    }
    for (const [attemptId, live] of this.live) {
      const hasAnswer = this.attempts.chunksFrom(attemptId, 0).length > 0;
      if (live.idempotent && !hasAnswer && !live.stalled) {
        live.stalled = true;
        live.cancel.abort();
      }
    }
  }

  private async runToEnd(order: RunParams, live: LiveAttempt): Promise<void> {
    const bootId = this.residency.bootId;
    if (order.alone) {
      await this.whenFewerThan(2);
    }
    const isReady = await this.ensureAdapter(order, live.cancel.signal);
    if (!isReady) {
      this.end(order, live, { kind: 'notSent', detail: 'The adapter can not be loaded now.' }, false);
      return;
    }
    const sink = (piece: Parameters<Parameters<BackendClient['run']>[1]>[0]) => {
      const chunk = this.attempts.append(order.attemptId, piece);
      if (chunk) {
        live.connection.notify(ROUTER_METHODS.chunk, chunk);
      }
    };
    const result = await this.backend.run(order, sink, live.cancel.signal);
    const crashed = result.kind === 'failed' && result.connectionBroke && (await this.hasCrashed(bootId));
    this.end(order, live, result, crashed);
  }

  private async ensureAdapter(order: RunParams, signal: AbortSignal): Promise<boolean> {
    if (order.adapterId === undefined) {
      return true;
    }
    const request = {
      itemId: order.adapterId,
      sizeBytes: order.adapterSizeBytes,
      baseItemId: order.modelId,
      keepAliveMs: ADAPTER_KEEP_ALIVE_MS,
    };
    while (await this.residency.ensureAdapter(request, signal)) {
      if (this.residency.controller.onRequestStarted(order.adapterId)) {
        return true;
      }
    }
    return false;
  }

  private async hasCrashed(bootIdBefore: string | undefined): Promise<boolean> {
    while (this.residency.isReachable && this.residency.bootId === bootIdBefore) {
      if (await this.residency.refresh()) {
        return this.residency.bootId !== bootIdBefore;
      }
      await delay(this.clock, CRASH_CHECK_INTERVAL_MS);
    }
    return true;
  }

  private end(order: RunParams, live: LiveAttempt, result: BackendRunResult, crashed: boolean): void {
    const stall: BackendRunResult = {
      kind: 'failed',
      detail: 'The backend server stopped answering.',
      connectionBroke: true,
    };
    const seen = live.stalled && result.kind === 'cancelled' ? stall : result;
    const end = toAnswerEnd(order, seen, crashed, this.attempts.chunksFrom(order.attemptId, 0).length);
    this.attempts.finish(end, this.clock.nowMs());
    this.metrics.count(`attempts_${end.kind}`);
    live.connection.notify(ROUTER_METHODS.end, end);
  }

  private finishLive(order: RunParams): void {
    const nowMs = this.clock.nowMs();
    this.live.delete(order.attemptId);
    if (order.modelId !== undefined) {
      this.residency.controller.onRequestEnded(order.modelId, nowMs);
    }
    if (order.adapterId !== undefined) {
      this.residency.controller.onRequestEnded(order.adapterId, nowMs);
    }
    this.exclusiveCount -= order.alone ? 1 : 0;
    for (const listener of this.idleListeners.splice(0)) {
      listener();
    }
  }
}

/** Says how an attempt ended from how its run on the backend server ended. */
function toAnswerEnd(
  order: RunParams,
  result: BackendRunResult,
  crashed: boolean,
  chunkCount: number,
): ResponseEnd {
  const attemptId = order.attemptId;
  switch (result.kind) {
    case 'complete':
      return { kind: 'complete', attemptId, chunkCount, tokenCount: result.tokenCount };
    case 'cancelled':
      return { kind: 'cancelled', attemptId };
    case 'notSent':
      return { kind: 'notRun', attemptId, detail: result.detail };
    case 'failed':
      return { kind: 'failed', attemptId, crashed, detail: result.detail };
  }
}
