import type { ServerId } from '../domain/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import { delay, runInBackground, type Clock } from '../kernel/index.js';
import type { AttemptEnd, BreakCause } from './attemptEnds.js';
import type { BackendAttempt } from './BackendAttempt.js';
import type {
  CompleteEvents,
  FleetView,
  KnownServer,
  RequestLimits,
  ServerChooser,
} from './decisions/index.js';
import type { CallerRequest } from './CallerRequest.js';
import { MAX_SENDS } from './RequestRetries.js';
import type { StreamOriginClient } from './StreamOriginClient.js';
import type { SearchResult, ServerSearch } from './ServerSearch.js';
import {
  SilentServerReplacement,
  type PreparedAttempt,
  type ReplacementResult,
  type RetryAllowance,
  type SentAttempt,
} from './SilentServerReplacement.js';

/**
 * Time for which a silent server keeps a request after it was sent to another one too, in milliseconds; servers that work on
 * the same stream for longer than 400 ms are against the platform's rules.
 */
const HANDOVER_MS = 300;
/** Stands for a version that is not known; no server has it, so the stream continues nowhere else. */
const UNKNOWN_VERSION = '';

/** Dependencies of {@link StreamResumption}. */
export interface StreamResumptionDependencies {
  readonly clock: Clock;
  readonly chooser: ServerChooser;
  readonly view: FleetView;
  readonly streamOrigins: StreamOriginClient;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Numbers of a request's attempts so far. */
export interface AttemptCounts {
  /** Number of sends, including those that servers refused. */
  readonly sendCount: number;
  /** Number of servers that may have run the request. */
  readonly runCount: number;
}

/** Operations on the attempts of a request. */
export interface AttemptOperations {
  /** Creates an attempt at a server after one more server may have run the request. */
  create(server: KnownServer): BackendAttempt;
  /** Sends a request. */
  send(prepared: PreparedAttempt): SentAttempt;
  /** Records the end of an attempt that does not replace the one of a silent server. */
  discard(sent: SentAttempt): Promise<void>;
}

/** Progress of one response, to which several servers may contribute, and the choice of the server that continues it. */
export class StreamResumption {
  private readonly silentServerReplacement: SilentServerReplacement;
  private progressEventId: string | undefined;
  private progressAtMs: number | undefined;
  private isBegun = false;
  /** Whether a server broke off the response, in contrast to a silent one, which may go on. */
  private wasBrokenOff = false;
  /** Attempts that were sent to replace silent servers, in the order in which they get the request. */
  private readonly replacements: SentAttempt[] = [];
  /** Attempts at silent servers for which a replacement is being found or has the request too. */
  private readonly replacedAttempts = new Set<BackendAttempt>();
  /** Attempt at a silent server that keeps the request until the last replacement shows that it takes it. */
  private keepingAttempt: BackendAttempt | undefined;
  /** Last decision on a silent server, which is logged when it changes. */
  private lastSilenceDecision: string | undefined;

  /**
   * @param deps - Dependencies.
   * @param request - The caller's request.
   * @param limits - Limits of the request.
   * @param search - Search for the servers of the request.
   * @param retries - Retry budget.
   * @param attempts - Operations on the request's attempts.
   * @param isOver - Returns whether the request has ended.
   */
  constructor(
    private readonly deps: StreamResumptionDependencies,
    private readonly request: CallerRequest,
    private readonly limits: RequestLimits,
    private readonly search: ServerSearch,
    retries: RetryAllowance,
    private readonly attempts: AttemptOperations,
    private readonly isOver: () => boolean,
  ) {
    this.progressEventId = request.headers.lastEventId;
    this.silentServerReplacement = new SilentServerReplacement(search, retries, (server) =>
      attempts.create(server),
    );
  }

  /** Whether the caller has received the head of a stream. */
  get hasBegun(): boolean {
    return this.isBegun;
  }

  /** Number of attempts that have the request at the moment. */
  get runningCount(): number {
    return 1 + this.replacements.length;
  }

  /** ID of the event after which the stream continues. */
  get lastEventId(): string | undefined {
    return this.progressEventId;
  }

  /** When the last events were passed on; undefined before the first ones. */
  get lastEventAtMs(): number | undefined {
    return this.progressAtMs;
  }

  /** Records that the head of the stream was passed on. */
  recordBegin(): void {
    this.isBegun = true;
  }

  /**
   * Records events that are passed on. The first ones bind the stream to the software version of their server.
   * @param events - The events.
   * @param server - Server that sent them.
   * @param nowMs - Current time.
   */
  recordEvents(events: CompleteEvents, server: KnownServer, nowMs: number): void {
    if (this.progressAtMs === undefined) {
      this.bindTo(server.softwareVersion);
    }
    this.progressAtMs = nowMs;
    this.progressEventId = events.lastEventId ?? this.progressEventId;
  }

  /**
   * Records that an attempt ended without a complete response.
   * @param cause - Why it ended.
   */
  recordBreak(cause: BreakCause): void {
    this.wasBrokenOff ||= cause !== 'silence';
  }

  /** Whether events without ids were passed on, so that no server can continue after the last of them. */
  private get isPlaceUnknown(): boolean {
    return this.progressAtMs !== undefined && this.progressEventId === undefined;
  }

  /**
   * Finds the next server for the request.
   * @param counts - Numbers of attempts so far.
   */
  async findServer({ sendCount, runCount }: AttemptCounts): Promise<SearchResult> {
    if (this.isPlaceUnknown) {
      return { kind: 'refused', detail: 'the events of the stream have no ids' };
    }
    if (!(await this.ensureOrigin())) {
      return { kind: 'refused', detail: 'the software version that began the stream is not known' };
    }
    const mayWait = !this.isBegun || !this.wasBrokenOff;
    const waitingSinceMs = this.progressAtMs ?? this.request.receivedAtMs;
    return this.search.find({
      waitUntilMs: mayWait ? this.limits.getWaitDeadlineMs(waitingSinceMs) : undefined,
      mayRetryServers: sendCount < MAX_SENDS && (runCount === 0 || !this.wasBrokenOff),
    });
  }

  /**
   * Moves the request from a silent server to another one, if one takes it; otherwise the silent server keeps it.
   * @param attempt - Attempt at the silent server.
   * @param serverId - The silent server.
   */
  async replaceSilent(attempt: BackendAttempt, serverId: ServerId): Promise<void> {
    if (this.replacedAttempts.has(attempt) || this.isPlaceUnknown) {
      return;
    }
    this.replacedAttempts.add(attempt);
    try {
      const found = await this.silentServerReplacement.find(attempt, serverId);
      const result = found.kind === 'found' ? await this.handOver(attempt, found.next) : found;
      this.logSilence(attempt, serverId, result);
      if (result.kind === 'found') {
        attempt.abandon();
      }
    } finally {
      this.replacedAttempts.delete(attempt);
    }
  }

  /**
   * Sends the request to another server too. The silent one keeps it until the other one shows that it takes it: it may
   * have gone on by then, and the other one may have failed.
   */
  private async handOver(silent: BackendAttempt, next: PreparedAttempt): Promise<ReplacementResult> {
    if (this.keepingAttempt?.isSilent === false) {
      next.attempt.cancel();
      return { kind: 'kept', reason: 'resumed' };
    }
    // Two servers at most have the request at a time.
    this.keepingAttempt?.abandon();
    this.keepingAttempt = silent;
    const sent = this.attempts.send(next);
    this.replacements.push(sent);
    runInBackground('attempt', () => next.attempt.run());
    await this.waitForHandover(silent, next.attempt);
    if (this.keepingAttempt === silent) {
      this.keepingAttempt = undefined;
    }
    const hasFailed = next.attempt.end !== undefined && !isResponse(next.attempt.end);
    const isKept = silent.end === undefined && (hasFailed || !silent.isSilent);
    if (isKept || this.isOver()) {
      await this.discard(sent);
      return { kind: 'kept', reason: hasFailed ? 'replacementFailed' : 'resumed' };
    }
    return { kind: 'found', next };
  }

  /** Resolves when it shows which of two servers has the request from now on. */
  private async waitForHandover(silent: BackendAttempt, next: BackendAttempt): Promise<void> {
    const { route, headers } = this.request;
    if (route.kind !== 'stream' && headers.model === undefined) {
      // Only whole bodies are passed on, so the first one may come from either.
      await Promise.race([next.run(), silent.run()]);
      return;
    }
    await Promise.race([
      next.waitForSign(),
      route.kind === 'stream' ? silent.waitForProgress() : silent.run(),
      delay(this.deps.clock, HANDOVER_MS),
    ]);
  }

  /** Returns the attempt that replaces a silent server, once; undefined if there is none. */
  takeReplacement(): SentAttempt | undefined {
    return this.replacements.shift();
  }

  /** Cancels the attempts that replace silent servers and records their ends, if they are not in use. */
  async discardReplacements(): Promise<void> {
    for (const sent of [...this.replacements]) {
      await this.discard(sent);
    }
  }

  private async discard(sent: SentAttempt): Promise<void> {
    const index = this.replacements.indexOf(sent);
    if (index >= 0) {
      this.replacements.splice(index, 1);
      sent.attempt.cancel();
      await this.attempts.discard(sent);
    }
  }

  /** Whether the request takes up a stream that an earlier request has begun. */
  private get isTakenUp(): boolean {
    const { lastEventId, resumedRequestId } = this.request.headers;
    return lastEventId !== undefined || resumedRequestId !== undefined;
  }

  /**
   * Determines the software version of a stream that the caller takes up; returns false if nobody knows it. The versions of
   * the listed servers tell nothing, as the list may lag behind and shows no server that has left.
   */
  private async ensureOrigin(): Promise<boolean> {
    const isBound = this.search.softwareVersion !== undefined;
    if (isBound || !this.isTakenUp || this.request.route.kind !== 'stream') {
      return true;
    }
    const { resumedRequestId } = this.request.headers;
    const softwareVersion =
      resumedRequestId === undefined ? undefined : await this.deps.streamOrigins.find(resumedRequestId);
    if (softwareVersion === undefined) {
      return false;
    }
    this.search.requireVersion(softwareVersion);
    return true;
  }

  private bindTo(softwareVersion: string | undefined): void {
    const { headers } = this.request;
    this.search.requireVersion(softwareVersion ?? UNKNOWN_VERSION);
    if (softwareVersion !== undefined) {
      const requestId = headers.resumedRequestId ?? headers.requestId;
      this.deps.streamOrigins.record({ requestId, softwareVersion });
    }
  }

  /** Logs the decision on a silent server, and records the silence as a failure if the server keeps the request. */
  private logSilence(attempt: BackendAttempt, serverId: ServerId, result: ReplacementResult): void {
    const { clock, chooser, log, metrics } = this.deps;
    const outcome = result.kind === 'found' ? 'moved' : result.reason;
    const decision = `${serverId} ${outcome}`;
    if (this.isOver() || decision === this.lastSilenceDecision) {
      return;
    }
    this.lastSilenceDecision = decision;
    metrics.count(result.kind === 'found' ? 'silent_servers_left' : 'silent_servers_kept');
    if (outcome === 'noRetryLeft' || outcome === 'noOtherServer') {
      chooser.recordOutcome(serverId, true, clock.nowMs());
    }
    log.decision('server fell silent', {
      requestId: this.request.headers.requestId,
      serverId,
      silentMs: Math.round(clock.nowMs() - attempt.lastReceivedAtMs),
      outcome,
      nextServerId: result.kind === 'found' ? result.next.server.entry.serverId : '',
    });
  }
}

/** Whether an attempt ended with a response of its server. */
function isResponse({ kind }: AttemptEnd): boolean {
  return kind === 'answered' || kind === 'streamed';
}
