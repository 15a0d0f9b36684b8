import { delay, runInBackground, type Clock } from '../kernel/index.js';
import type { AttemptId, ResponseEnd, RefusalReason, RunParams, RunReply } from '../domain/index.js';
import { ROUTER_METHODS } from '../domain/index.js';
import type { Metrics } from '../telemetry/index.js';
import type { PeerConnection } from '../transport/index.js';
import { AttemptTable, type AttemptStatus } from './decisions/index.js';
import type { BackendClient, BackendRunResult } from './BackendClient.js';
import type { ResidencyService } from './ResidencyService.js';

/** Time for which an adapter stays loaded after its last use. */
const ADAPTER_KEEP_ALIVE_MS = 600_000;
/** Time between two checks whether the backend server has crashed. */
const CRASH_CHECK_INTERVAL_MS = 100;
/** Time that a caller should wait after a server refused a request. */
const REFUSAL_RETRY_AFTER_MS = 1_000;

interface RunningAttempt {
  connection: PeerConnection;
  readonly abortController: AbortController;
  readonly idempotent: boolean;
  /** Whether the backend server's response has ended, or its connection was lost. */
  hasBackendEnded: boolean;
}

/** Runs attempts on the backend server and sends the responses to the routers. */
export class AttemptRunner {
  readonly attempts = new AttemptTable();
  private readonly running = new Map<AttemptId, RunningAttempt>();
  private readonly endListeners: (() => void)[] = [];
  /** Number of admitted attempts that must run alone. */
  private exclusiveCount = 0;

  /**
   * @param clock - The clock.
   * @param backend - The backend server.
   * @param residency - Models and adapters on the server.
   * @param metrics - The metrics.
   */
  constructor(
    private readonly clock: Clock,
    private readonly backend: BackendClient,
    private readonly residency: ResidencyService,
    private readonly metrics: Metrics,
  ) {
    residency.onChange(() => this.reportStalledAttempts());
  }

  /** Number of running attempts. */
  get runningCount(): number {
    return this.running.size;
  }

  /**
   * Starts an attempt, or refuses it permanently.
   * @param params - The attempt.
   * @param connection - Connection that receives the response.
   */
  run(params: RunParams, connection: PeerConnection): RunReply {
    if (!this.attempts.admit(params.attemptId)) {
      this.metrics.count('attempts_duplicate');
      return { kind: 'refused', reason: 'cancelled', detail: 'The attempt was given up before it arrived.' };
    }
    if (this.exclusiveCount > 0) {
      return this.refuse(params, 'overloaded', 'The server runs a request that must be alone.');
    }
    if (params.modelId !== undefined && !this.residency.controller.onRequestStarted(params.modelId)) {
      return this.refuse(params, 'notLoaded', 'The model is not loaded on this server.');
    }
    this.metrics.count('attempts_accepted');
    const attempt: RunningAttempt = {
      connection,
      abortController: new AbortController(),
      idempotent: params.idempotent,
      hasBackendEnded: false,
    };
    this.running.set(params.attemptId, attempt);
    this.exclusiveCount += params.alone ? 1 : 0;
    const deadline = this.clock.schedule(params.remainingMs, () => attempt.abortController.abort());
    runInBackground('attempt', () =>
      this.runToEnd(params, attempt).finally(() => {
        deadline.cancel();
        this.onAttemptEnded(params);
      }),
    );
    return { kind: 'accepted' };
  }

  /**
   * Refuses an attempt permanently.
   * @param params - The attempt.
   * @param reason - Reason of the refusal.
   * @param detail - Explanation for the caller.
   */
  refuse(params: RunParams, reason: RefusalReason, detail: string): RunReply {
    this.attempts.refuse(params.attemptId, this.clock.nowMs());
    this.metrics.count('attempts_refused');
    return { kind: 'refused', reason, detail, retryAfterMs: REFUSAL_RETRY_AFTER_MS };
  }

  /**
   * Sends the rest of a response to another connection.
   * @param attemptId - The attempt.
   * @param fromOrdinal - Ordinal of the first chunk to send.
   * @param connection - The connection.
   */
  resume(attemptId: AttemptId, fromOrdinal: number, connection: PeerConnection): AttemptStatus {
    const status = this.attempts.resolveStatus(attemptId, this.clock.nowMs());
    const attempt = this.running.get(attemptId);
    if (attempt) {
      attempt.connection = connection;
    }
    for (const chunk of this.attempts.getChunksFrom(attemptId, fromOrdinal)) {
      connection.notify(ROUTER_METHODS.chunk, chunk);
    }
    if (status.kind === 'finished') {
      connection.notify(ROUTER_METHODS.end, status.end);
    }
    return status;
  }

  /**
   * Cancels an attempt whose response is no longer needed.
   * @param attemptId - The attempt.
   */
  cancel(attemptId: AttemptId): void {
    this.running.get(attemptId)?.abortController.abort();
  }

  /** Waits until no attempt is running. */
  waitUntilIdle(): Promise<void> {
    return this.waitForFewerThan(1);
  }

  private async waitForFewerThan(count: number): Promise<void> {
    while (this.running.size >= count) {
      await new Promise<void>((resolve) => this.endListeners.push(resolve));
    }
  }

  /**
   * Reports idempotent attempts without a response on a server that does not respond, so that routers move them if
   * another server can take them. The server may be running, so the attempts go on until then.
   */
  private reportStalledAttempts(): void {
    if (this.residency.isReachable) {
      return;
    }
    for (const [attemptId, attempt] of this.running) {
      const hasResponse = this.attempts.getChunksFrom(attemptId, 0).length > 0;
      if (attempt.idempotent && !attempt.hasBackendEnded && !hasResponse) {
        attempt.connection.notify(ROUTER_METHODS.stalled, { attemptId });
      }
    }
  }

  private async runToEnd(params: RunParams, attempt: RunningAttempt): Promise<void> {
    const bootId = this.residency.bootId;
    if (params.alone) {
      await this.waitForFewerThan(2);
    }
    const isReady = await this.ensureAdapter(params, attempt.abortController.signal);
    if (!isReady) {
      this.end(params, attempt, { kind: 'notSent', detail: 'The adapter can not be loaded now.' }, false);
      return;
    }
    const sink = (content: Parameters<Parameters<BackendClient['run']>[1]>[0]) => {
      const chunk = this.attempts.append(params.attemptId, content);
      if (chunk) {
        attempt.connection.notify(ROUTER_METHODS.chunk, chunk);
      }
    };
    const result = await this.backend.run(params, sink, attempt.abortController.signal);
    attempt.hasBackendEnded = true;
    const crashed = result.kind === 'failed' && result.isConnectionLost && (await this.hasCrashed(bootId));
    this.end(params, attempt, result, crashed);
  }

  private async ensureAdapter(params: RunParams, signal: AbortSignal): Promise<boolean> {
    if (params.adapterId === undefined) {
      return true;
    }
    const request = {
      itemId: params.adapterId,
      sizeBytes: params.adapterSizeBytes,
      baseItemId: params.modelId,
      keepAliveMs: ADAPTER_KEEP_ALIVE_MS,
    };
    while (await this.residency.ensureAdapter(request, signal)) {
      if (this.residency.controller.onRequestStarted(params.adapterId)) {
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

  private end(params: RunParams, attempt: RunningAttempt, result: BackendRunResult, crashed: boolean): void {
    const chunkCount = this.attempts.getChunksFrom(params.attemptId, 0).length;
    const end = toResponseEnd(params, result, crashed, chunkCount);
    this.attempts.finish(end, this.clock.nowMs());
    this.metrics.count(`attempts_${end.kind}`);
    attempt.connection.notify(ROUTER_METHODS.end, end);
  }

  private onAttemptEnded(params: RunParams): void {
    const nowMs = this.clock.nowMs();
    this.running.delete(params.attemptId);
    if (params.modelId !== undefined) {
      this.residency.controller.onRequestEnded(params.modelId, nowMs);
    }
    if (params.adapterId !== undefined) {
      this.residency.controller.onRequestEnded(params.adapterId, nowMs);
    }
    this.exclusiveCount -= params.alone ? 1 : 0;
    for (const listener of this.endListeners.splice(0)) {
      listener();
    }
  }
}

/** Converts the result of a request to the backend server to the end of the attempt. */
function toResponseEnd(
  params: RunParams,
  result: BackendRunResult,
  crashed: boolean,
  chunkCount: number,
): ResponseEnd {
  const attemptId = params.attemptId;
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
