import type { Clock } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { AgentConnections } from './AgentConnections.js';
import type { BreakCause } from './attemptEnds.js';
import type { CrashRecordClient } from './CrashRecordClient.js';
import type { CrashTracker, FleetView, PromptPartSuspects, ServerEntry } from './decisions/index.js';
import { getSharedParts } from './HeaderCodec.js';
import type { CallerRequest } from './CallerRequest.js';

/**
 * Time for which a stream must have delivered events to show that its prompt does not crash the server, in milliseconds.
 */
const PROVEN_STREAM_MS = 150;
/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 8;

/** Dependencies of {@link CrashEvidence}. */
export interface CrashEvidenceDependencies {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly agentConnections: AgentConnections;
  readonly crashRecords: CrashRecordClient;
  readonly crashTracker: CrashTracker;
  readonly partSuspects: PromptPartSuspects;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Why a request is not sent to any server. */
export interface CrashBlock {
  /** Whether a part of its prompt is blocked, in contrast to the request itself. */
  readonly isPart: boolean;
  readonly detail: string;
}

/**
 * What one request shows about crashes of servers, by its fingerprint and by the parts of its prompt that other requests may
 * share, and whether it is blocked for what others have shown.
 */
export class CrashEvidence {
  private readonly promptParts: readonly string[];
  /** Whether the request is tried although equal ones are blocked. */
  private isTrial = false;
  /** Number of attempts that were lost because their server may have crashed. */
  private lossCount = 0;
  /** When the current attempt was sent. */
  private sentAtMs = -Infinity;
  /** Whether the current attempt has shown that its prompt does not crash the server. */
  private isProven = false;
  /** When the first event of the current attempt arrived. */
  private firstEventAtMs: number | undefined;
  /** When the stream of the current attempt next counts in favour of the parts of its prompt. */
  private nextProofAtMs = Infinity;

  /**
   * @param deps - Dependencies.
   * @param request - The request.
   */
  constructor(
    private readonly deps: CrashEvidenceDependencies,
    private readonly request: CallerRequest,
  ) {
    this.promptParts = getSharedParts(request.headers.promptParts);
  }

  /** Whether a server might crash on the request. */
  isBlocked(): boolean {
    return this.findBlock() !== undefined;
  }

  /** Returns what a server might crash on; undefined if nothing suggests it. */
  findBlock(): CrashBlock | undefined {
    const { partSuspects, clock } = this.deps;
    const nowMs = clock.nowMs();
    const blockedPart = partSuspects.findBlocked(this.promptParts, nowMs);
    if (blockedPart !== undefined) {
      return { isPart: true, detail: `servers crashed on the part ${blockedPart} of the prompt` };
    }
    return !this.isTrial && this.isRequestBlocked()
      ? { isPart: false, detail: 'the request broke off on several servers' }
      : undefined;
  }

  /**
   * Asks for leave to try the request once if it is blocked itself, in contrast to a part of its prompt. One of which an attempt
   * was lost is not tried again.
   */
  async requestTrial(): Promise<void> {
    const { crashTracker, crashRecords, view, clock, log, metrics } = this.deps;
    const { fingerprint, headers } = this.request;
    if (this.lossCount > 0 || !this.isRequestBlocked() || this.findBlock()?.isPart === true) {
      return;
    }
    if (!crashTracker.beginAsking(fingerprint, clock.nowMs())) {
      return;
    }
    const crashCount = crashTracker.getCount(fingerprint, view.getCrashCount(fingerprint), clock.nowMs());
    const decision =
      (await crashRecords.takeTrial({ fingerprint, crashCount })) ??
      crashTracker.takeTrial(fingerprint, crashCount, view.routerCount, clock.nowMs());
    crashTracker.recordDecision(fingerprint, decision, clock.nowMs());
    this.isTrial = decision.isGranted;
    metrics.count(decision.isGranted ? 'blocked_requests_tried' : 'blocked_requests_not_tried');
    log.decision('blocked request', {
      requestId: headers.requestId,
      fingerprint,
      crashCount,
      isTried: decision.isGranted,
    });
  }

  /** Records that another attempt has the request. */
  recordAttempt(): void {
    const { partSuspects, clock } = this.deps;
    this.sentAtMs = clock.nowMs();
    if (this.promptParts.length > 0) {
      partSuspects.recordAttempt(this.promptParts, clock.nowMs());
    }
    this.isProven = false;
    this.firstEventAtMs = undefined;
    this.nextProofAtMs = Infinity;
  }

  /**
   * Records events of the current attempt.
   * @param nowMs - Current time.
   */
  recordEvents(nowMs: number): void {
    if (this.firstEventAtMs === undefined) {
      this.firstEventAtMs = nowMs;
      this.nextProofAtMs = nowMs + PROVEN_STREAM_MS;
    }
    if (nowMs >= this.nextProofAtMs) {
      this.nextProofAtMs = nowMs + PROVEN_STREAM_MS;
      this.recordAnswered();
    }
  }

  /** Records that a server has answered the request, or a part of it, without a crash. */
  recordAnswered(): void {
    const { partSuspects, agentConnections, clock } = this.deps;
    const { promptParts } = this;
    if (promptParts.length > 0) {
      const addresses = partSuspects.recordSuccess(promptParts, !this.isProven, clock.nowMs());
      this.isProven = true;
      agentConnections.notifyPartsAnswered(addresses, { promptParts });
    }
  }

  /** Records that a server has run the request to its end. */
  recordCompleted(): void {
    const { crashTracker, crashRecords, view, clock } = this.deps;
    const { fingerprint } = this.request;
    if (crashTracker.recordSuccess(fingerprint, view.getCrashCount(fingerprint), clock.nowMs())) {
      crashRecords.notifyCompleted(fingerprint);
    }
  }

  /**
   * Records what a failed attempt has in common with others that may have failed in the same crash of the server.
   * @param entry - Entry of the server.
   * @param cause - Why the attempt ended.
   */
  recordBroken({ address, serverId, bornAtMs }: ServerEntry, cause: BreakCause): void {
    const { log, metrics, agentConnections, partSuspects, clock } = this.deps;
    const { promptParts } = this;
    const nowMs = clock.nowMs();
    const streamedForMs = this.getStreamedForMs(nowMs);
    metrics.count(cause === 'silence' ? 'attempts_silent' : 'attempts_broken');
    log.decision('attempt broken off', {
      requestId: this.request.headers.requestId,
      serverId,
      bornAtMs,
      cause,
      streamedForMs: this.firstEventAtMs === undefined ? -1 : Math.round(streamedForMs),
      promptParts: promptParts.slice(0, MAX_LOGGED_PARTS).join(' '),
    });
    if (cause === 'server' && promptParts.length > 0 && streamedForMs < PROVEN_STREAM_MS) {
      const histories = partSuspects.getHistories(promptParts, nowMs);
      agentConnections.notifyBrokenOff(address, { bornAtMs, promptParts, histories });
    }
  }

  /**
   * Counts a crash against the request's fingerprint if its attempt may have crashed the server.
   * @param cause - Why the attempt ended.
   * @param otherSentAtMs - When the attempt was sent; absent for the current one, whose events are known.
   */
  recordCrash(cause: BreakCause, otherSentAtMs?: number): void {
    const { crashTracker, crashRecords, clock } = this.deps;
    const { fingerprint } = this.request;
    const nowMs = clock.nowMs();
    const sentAtMs = otherSentAtMs ?? this.sentAtMs;
    const isProven = otherSentAtMs === undefined && this.getStreamedForMs(nowMs) >= PROVEN_STREAM_MS;
    if (cause !== 'server' || isProven) {
      return;
    }
    const isRepeat = this.lossCount++ > 0;
    this.isTrial = false;
    const crashCount = crashTracker.recordCrash(fingerprint, { sentAtMs, isRepeat }, nowMs);
    crashRecords.notifyCrash({ fingerprint, crashCount, sentForMs: nowMs - sentAtMs, isRepeat });
  }

  /** Whether the request itself is blocked, whatever its prompt is. */
  private isRequestBlocked(): boolean {
    const { crashTracker, view, clock } = this.deps;
    const { fingerprint } = this.request;
    return crashTracker.isBlocked(fingerprint, view.getCrashCount(fingerprint), clock.nowMs());
  }

  /** Returns the time since the first event of the current attempt, in milliseconds; 0 before it. */
  private getStreamedForMs(nowMs: number): number {
    return nowMs - (this.firstEventAtMs ?? nowMs);
  }
}
