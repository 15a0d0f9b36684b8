import type { ByteBudget, Timer } from '../kernel/index.js';
import { VerdictTracker, type ServerId, type ServiceId } from '../domain/index.js';
import type { CallerAccess } from '../organisations/index.js';
import { describePace, StreamPace } from '../pace/decisions/index.js';
import { applyServerNotice } from './applyServerNotice.js';
import { describeEnd, isServerFault, type AttemptEnd, type ResponseHead } from './attemptEnds.js';
import { BackendAttempt } from './BackendAttempt.js';
import type { CallerRequest } from './CallerRequest.js';
import { CrashEvidence, type CrashEvidenceDependencies } from './CrashEvidence.js';
import {
  isRetryable,
  RequestLimits,
  type CompleteEvents,
  type KnownServer,
  type SharedRetryBudget,
  type ServerChooser,
} from './decisions/index.js';
import type { HeaderCodec } from './HeaderCodec.js';
import type { ModelLoader } from './ModelLoader.js';
import type { RequestPermits } from './RequestPermits.js';
import type { RequestRefusal } from './RequestResolver.js';
import { RequestRetries } from './RequestRetries.js';
import type { StreamOriginClient } from './StreamOriginClient.js';
import { ServerSearch } from './ServerSearch.js';
import type { PreparedAttempt, SentAttempt } from './SilentServerReplacement.js';
import { StreamResumption } from './StreamResumption.js';

/** Default delay after which a caller should retry, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Least urgent rank that engines accept. */
const MAX_URGENCY_RANK = 9;

/** Dependencies of {@link RequestForwarder}. */
export interface RequestForwarderDependencies extends CrashEvidenceDependencies {
  readonly chooser: ServerChooser;
  readonly modelLoader: ModelLoader;
  readonly permits: RequestPermits;
  readonly streamOrigins: StreamOriginClient;
  readonly codec: HeaderCodec;
  /** Memory for responses that are buffered until they are complete. */
  readonly bufferBudget: ByteBudget;
  /** Returns the retry budget of a service. */
  readonly getRetryBudget: (serviceId: ServiceId) => SharedRetryBudget;
}

/** Destination of the response. */
export interface ResponseSink {
  /** Sends a complete response of a backend server. */
  sendResponse(head: ResponseHead, body: Buffer): void;
  /** Starts a stream. */
  beginStream(head: ResponseHead): void;
  /** Sends complete events; returns false if the caller reads them too slowly. */
  sendEvents(bytes: Buffer): boolean;
  /** Calls the listener once the caller has read what was sent. */
  onceDrained(listener: () => void): void;
  /** Ends a complete stream. */
  endStream(): void;
  /** Closes the connection, so that a partial response does not appear complete. */
  closeConnection(): void;
  /** Refuses the request. */
  refuse(status: number, detail: string, retryAfterMs: number | undefined): void;
}

/** Forwards one request to a backend server and its response to the caller. */
export class RequestForwarder {
  private readonly tracker: VerdictTracker;
  private readonly search: ServerSearch;
  private readonly resumption: StreamResumption;
  private readonly retries: RequestRetries;
  private readonly limits: RequestLimits;
  private readonly deadlineTimer: Timer;
  private attempt: BackendAttempt | undefined;
  private sendCount = 0;
  /** Number of servers that may have run the request. */
  private runCount = 0;
  private hasEnded = false;
  /** Whether the request has ended because its time was over. */
  private hasTimedOut = false;
  /** Error response of a server, delivered if no later attempt succeeds. */
  private fallback: { head: ResponseHead; body: Buffer } | undefined;
  /** Size of the response bodies that are kept until the caller has received one, in bytes. */
  private bufferedLength = 0;
  private isClosed = false;
  /** How the request is refused once it is with no server; undefined while it may be sent. */
  private refusalOfUnsent: RequestRefusal | undefined;
  private latencyMs: number | undefined;
  private readonly crashEvidence: CrashEvidence;
  private readonly streamPace = new StreamPace();

  /**
   * @param deps - Dependencies.
   * @param request - Request to forward.
   * @param sink - Destination of the response.
   */
  constructor(
    private readonly deps: RequestForwarderDependencies,
    private readonly request: CallerRequest,
    private readonly sink: ResponseSink,
  ) {
    const { route, headers, receivedAtMs } = request;
    this.tracker = new VerdictTracker((mayHaveRun) => request.credit?.recordSent(mayHaveRun));
    const maxInteractiveTargetMs = deps.view.getMaxInteractiveTargetMs(request.serviceId);
    this.limits = new RequestLimits(route, headers.deadlineMs, receivedAtMs, maxInteractiveTargetMs);
    this.search = new ServerSearch(deps, request, this.limits, () => this.hasEnded);
    this.crashEvidence = new CrashEvidence(deps, request);
    this.retries = new RequestRetries(deps, request, this.limits, this.crashEvidence, () => this.sendCount);
    this.resumption = new StreamResumption(
      deps,
      request,
      this.limits,
      this.search,
      this.retries,
      {
        create: (server) => this.createAttempt(server, this.runCount + this.resumption.runningCount),
        send: (prepared) => this.start(prepared),
        discard: (sent) => this.discard(sent),
      },
      () => this.hasEnded,
    );
    this.deadlineTimer = deps.clock.schedule(this.remainingMs(), () => this.onDeadline());
  }

  /** What the request's key gives access to. */
  get access(): CallerAccess {
    return this.request.access;
  }

  /** Runs the request; resolves when the response or refusal has been sent. */
  async run(): Promise<void> {
    this.retries.recordRequest();
    this.deps.modelLoader.recordTraffic();
    const { serviceId, headers } = this.request;
    this.deps.chooser.recordArrival({ serviceId, model: headers.model }, this.deps.clock.nowMs());
    if (this.limits.isInteractive && this.request.headers.model !== undefined) {
      this.deps.modelLoader.recordInteractiveUse(this.request.serviceId, this.request.headers.model);
    }
    while (!this.hasEnded) {
      const sent = this.resumption.takeReplacement() ?? (await this.sendNext());
      if (!sent) {
        return;
      }
      await this.complete(sent);
    }
    await this.resumption.discardReplacements();
  }

  /** Sends the request to the next server; ends it and returns undefined if it cannot be sent. */
  private async sendNext(): Promise<SentAttempt | undefined> {
    const prepared = await this.prepareAttempt();
    return prepared && this.start(prepared);
  }

  /** Ends the request, if it has not ended, because the response was sent or the caller closed the connection. */
  onResponseClosed(): void {
    if (!this.hasEnded) {
      this.end('caller left');
    }
    this.isClosed = true;
    this.deps.bufferBudget.release(this.bufferedLength);
    this.bufferedLength = 0;
  }

  /**
   * Refuses the request as soon as it is with no server and did not run on any.
   * @param refusal - The refusal.
   */
  refuseUnsent(refusal: RequestRefusal): void {
    this.refusalOfUnsent = refusal;
    this.endIfUnsent();
  }

  /**
   * Ends the request because the process is about to exit; the connection of a started stream is closed.
   * @param detail - Reason for the refusal.
   */
  endForShutdown(detail: string): void {
    if (!this.hasEnded) {
      this.endWithFallback(detail);
    }
  }

  /** Prepares an attempt at the next server; ends the request and returns undefined if it cannot be sent. */
  private async prepareAttempt(): Promise<PreparedAttempt | undefined> {
    const server = await this.findServer();
    if (!server) {
      return undefined;
    }
    const attempt = this.createAttempt(server, this.runCount);
    if (this.sendCount > 0 && !(await this.tryConnectRetry(attempt))) {
      attempt.cancel();
      if (!this.hasEnded) {
        this.endWithFallback('no repeat is left in the budget');
      }
      return undefined;
    }
    return { server, attempt };
  }

  /** Connects a retry and takes it from the budget, unless the connection failed; returns false if it is not allowed. */
  private async tryConnectRetry(attempt: BackendAttempt): Promise<boolean> {
    if (!this.retries.isLeft()) {
      return false;
    }
    const isConnected = await attempt.connect();
    return !this.hasEnded && (!isConnected || this.retries.tryTake());
  }

  /** Finds the next server; ends the request and returns undefined if there is none. */
  private async findServer(): Promise<KnownServer | undefined> {
    await this.crashEvidence.requestTrial();
    if (this.hasEnded || this.endIfBlocked() || this.endIfUnsent()) {
      return undefined;
    }
    const { sendCount, runCount } = this;
    const found = await this.resumption.findServer({ sendCount, runCount });
    // Equal requests may have crashed their servers while this one was waiting.
    if (this.hasEnded || this.endIfBlocked()) {
      return undefined;
    }
    switch (found.kind) {
      case 'found':
        return found.server;
      case 'refused':
        this.endWithFallback(found.detail, found.retryAfterMs);
        return undefined;
    }
  }

  /**
   * Creates an attempt at a server.
   * @param server - The server.
   * @param priorRunCount - Number of servers that may have run the request before.
   */
  private createAttempt(server: KnownServer, priorRunCount: number): BackendAttempt {
    const { clock, codec, bufferBudget } = this.deps;
    const { headers, priority, access, method, path, body } = this.request;
    const { serverId, address } = server.entry;
    const chunkTimeouts = this.limits.getChunkTimeouts(priorRunCount, () => this.search.hasOther(serverId));
    const attempt = new BackendAttempt(
      clock,
      codec,
      {
        serverId,
        address,
        method,
        path,
        body,
        headers,
        remainingMs: () => this.remainingMs(),
        urgency: headers.model === undefined ? undefined : Math.min(MAX_URGENCY_RANK, priority),
        access,
        getLastEventId: () => this.resumption.lastEventId,
        isStreamBegun: () => this.resumption.hasBegun,
        ...chunkTimeouts,
      },
      {
        onServerNotice: (notice) => applyServerNotice(this.deps, server.entry, notice),
        onStreamStart: (head) => this.beginStream(head),
        onEvents: (events) => this.sendEvents(events, server, attempt),
        onSilence: () => {
          this.handleSilence(attempt, serverId).catch((error: unknown) => {
            this.deps.log.warn('replacement of a silent server failed', {
              requestId: headers.requestId,
              error: String(error),
            });
          });
        },
      },
      bufferBudget,
    );
    return attempt;
  }

  /** Records that an attempt is sent. */
  private start(prepared: PreparedAttempt): SentAttempt {
    const { clock, chooser } = this.deps;
    const { requestId, promptTokens, maxOutputTokens } = this.request.headers;
    const attemptId = `${requestId}.${++this.sendCount}`;
    this.tracker.markPossiblySent(attemptId);
    const sentAtMs = clock.nowMs();
    chooser.recordSent(prepared.server.entry.serverId, sentAtMs, promptTokens + maxOutputTokens);
    this.notifyModelUse(prepared.server, 'started');
    return { ...prepared, attemptId, sentAtMs };
  }

  /** Waits for the end of the attempt that has the request, and handles it. */
  private async complete(sent: SentAttempt): Promise<void> {
    const { attempt, server } = sent;
    this.attempt = attempt;
    this.latencyMs = undefined;
    this.crashEvidence.recordAttempt();
    const end = await attempt.run();
    this.attempt = undefined;
    this.recordEnd(sent, end);
    if (!this.hasEnded) {
      this.handleEnd(end, server.entry.serverId);
    }
  }

  /** Records the end of an attempt at a server that was to replace a silent one, which keeps the request. */
  private async discard(sent: SentAttempt): Promise<void> {
    const end = await sent.attempt.run();
    const { serverId } = sent.server.entry;
    this.recordEnd(sent, end);
    // A server that refused the request may accept it a little later.
    if (end.kind !== 'notRun' || end.isOtherServer) {
      this.search.exclude(serverId);
    }
    if (end.kind === 'broken') {
      this.crashEvidence.recordCrash(end.cause, sent.sentAtMs);
    }
    if (end.kind === 'broken' || end.kind === 'cancelled') {
      this.runCount++;
    }
  }

  private recordEnd({ server, attempt, attemptId, sentAtMs }: SentAttempt, end: AttemptEnd): void {
    const { clock, chooser, log } = this.deps;
    const { headers } = this.request;
    const { serverId } = server.entry;
    const eventGapMs = this.streamPace.getMeanGapMs(attempt, clock.nowMs());
    this.notifyModelUse(server, 'ended', eventGapMs);
    const nowMs = clock.nowMs();
    const latencyMs = end.kind === 'answered' ? nowMs - sentAtMs : this.latencyMs;
    const isUnanswered =
      end.kind === 'cancelled' && this.hasTimedOut && !chooser.isResponsive(server, nowMs, sentAtMs);
    chooser.recordEnded(serverId, isServerFault(end) || isUnanswered, nowMs, latencyMs);
    log.decision('attempt ended', {
      requestId: headers.requestId,
      serverId,
      end: end.kind,
      detail: describeEnd(end),
      tookMs: Math.round(nowMs - sentAtMs),
      silentMs: Math.round(nowMs - attempt.lastReceivedAtMs),
      configurationVersion: this.deps.view.configuration?.version ?? 0,
      softwareVersion: server.entry.softwareVersion ?? '',
      ...describePace(this.deps.view.pace, serverId, headers.model, eventGapMs),
      reportAgeMs: Number.isFinite(server.reportedAtMs) ? Math.round(nowMs - server.reportedAtMs) : -1,
    });
    if (end.kind === 'broken') {
      this.crashEvidence.recordBroken(server.entry, end.cause);
    }
    if (end.kind === 'answered' || end.kind === 'notRun') {
      chooser.recordHeard(serverId, nowMs);
    }
    if (end.kind === 'answered') {
      this.keepBuffered(end.body.length);
    }
    if (end.kind === 'notRun') {
      this.tracker.proveDidNotRun({ attemptId, source: 'serverStatement' });
    }
    if (end.kind === 'unreachable') {
      this.tracker.proveDidNotRun({ attemptId, source: 'neverSent' });
      // Nothing was sent, so this does not count as a send.
      this.sendCount--;
    }
  }

  private async handleSilence(attempt: BackendAttempt, serverId: ServerId): Promise<void> {
    if (this.mayRunAgain(this.runCount + this.resumption.runningCount)) {
      await this.resumption.replaceSilent(attempt, serverId);
    }
  }

  /** Keeps the part of the buffer budget that a body takes until the response to the caller is closed. */
  private keepBuffered(byteCount: number): void {
    if (this.isClosed) {
      this.deps.bufferBudget.release(byteCount);
    } else {
      this.bufferedLength += byteCount;
    }
  }

  private handleEnd(end: AttemptEnd, serverId: ServerId): void {
    switch (end.kind) {
      case 'streamed':
        this.recordCompleted();
        this.crashEvidence.recordAnswered();
        this.end('complete');
        this.sink.endStream();
        return;
      case 'answered':
        this.handleResponse(end, serverId);
        return;
      case 'unreachable':
        this.search.exclude(serverId);
        return;
      case 'notRun':
        this.handleNotRun(end, serverId);
        return;
      case 'broken':
        this.handleBroken(end, serverId);
        return;
      case 'cancelled':
        return;
    }
  }

  private handleNotRun(end: AttemptEnd & { kind: 'notRun' }, serverId: ServerId): void {
    const { view, clock } = this.deps;
    const { model } = this.request.headers;
    const nowMs = clock.nowMs();
    const entry = view.getEntry(serverId);
    if (entry && !view.acceptsRequests(entry, nowMs)) {
      // The server is leaving or asked for a pause, which says nothing about the model.
      return;
    }
    if (model !== undefined && !end.isOtherServer) {
      view.recordModelRefusal(serverId, model, nowMs);
    } else {
      this.search.exclude(serverId);
    }
  }

  private handleResponse(end: AttemptEnd & { kind: 'answered' }, serverId: ServerId): void {
    this.runCount++;
    if (end.head.status >= 500 && this.mayRunAgain() && this.search.hasOther(serverId)) {
      this.fallback = end;
      this.search.exclude(serverId);
      return;
    }
    this.recordCompleted();
    if (end.head.status < 300) {
      this.crashEvidence.recordAnswered();
    }
    this.end(`answered ${end.head.status}`);
    this.sink.sendResponse(end.head, end.body);
  }

  private recordCompleted(): void {
    this.tracker.markCompleted();
    this.crashEvidence.recordCompleted();
  }

  private handleBroken(end: AttemptEnd & { kind: 'broken' }, serverId: ServerId): void {
    this.runCount++;
    this.search.exclude(serverId);
    this.resumption.recordBreak(end.cause);
    this.crashEvidence.recordCrash(end.cause);
    if (!this.mayRunAgain()) {
      this.endWithFallback(end.detail);
    }
  }

  private beginStream(head: ResponseHead): void {
    if (!this.resumption.hasBegun && !this.hasEnded) {
      this.sink.beginStream(head);
      this.resumption.recordBegin();
    }
  }

  private sendEvents(events: CompleteEvents, server: KnownServer, attempt: BackendAttempt): void {
    if (this.hasEnded) {
      return;
    }
    const nowMs = this.deps.clock.nowMs();
    this.deps.chooser.recordHeard(server.entry.serverId, nowMs);
    this.latencyMs ??= nowMs - this.request.receivedAtMs;
    this.streamPace.record(attempt, events.eventCount, nowMs);
    this.resumption.recordEvents(events, server, nowMs);
    this.crashEvidence.recordEvents(nowMs);
    if (!this.sink.sendEvents(events.bytes)) {
      attempt.pause();
      this.streamPace.markDisturbed();
      this.sink.onceDrained(() => attempt.resume());
    }
  }

  /** Whether another server may run the request after one or more servers that may have run it. */
  private mayRunAgain(runCount = this.runCount): boolean {
    const { route } = this.request;
    return isRetryable(route) && runCount < route.maxAttempts && this.retries.isInTime;
  }

  /** Ends the request if its fingerprint or a part of its prompt is blocked after crashes; returns true if it did. */
  private endIfBlocked(): boolean {
    const block = this.crashEvidence.findBlock();
    if (!block) {
      return false;
    }
    if (block.isPart) {
      this.deps.metrics.count('requests_with_blocked_part');
    }
    this.refuse(502, block.detail);
    return true;
  }

  /** Refuses the request if requests that did not run are to be refused and this is one; returns true if it did. */
  private endIfUnsent(): boolean {
    if (!this.refusalOfUnsent || this.hasEnded || this.tracker.verdict !== 'didNotRun') {
      return false;
    }
    const { status, detail, retryAfterMs } = this.refusalOfUnsent;
    this.refuse(status, detail, retryAfterMs);
    return true;
  }

  private notifyModelUse({ entry }: KnownServer, event: 'started' | 'ended', eventGapMs?: number): void {
    const { model } = this.request.headers;
    if (model !== undefined) {
      const use = { model, isInteractive: this.limits.isInteractive, eventGapMs };
      this.deps.agentConnections.notifyModelUse(entry.address, event, use);
    }
  }

  /** Ends the request with the stored error response; with a refusal if there is none or a stream has begun. */
  private endWithFallback(detail: string, retryAfterMs = DEFAULT_RETRY_AFTER_MS): void {
    if (this.fallback && !this.resumption.hasBegun) {
      const { head, body } = this.fallback;
      this.end(`answered ${head.status}`);
      this.sink.sendResponse(head, body);
      return;
    }
    if (this.tracker.verdict === 'didNotRun') {
      this.refuse(503, detail, retryAfterMs);
    } else {
      this.refuse(502, detail);
    }
  }

  private onDeadline(): void {
    if (!this.hasEnded) {
      this.hasTimedOut = true;
      this.deps.metrics.count('timeouts');
      if (this.tracker.verdict === 'didNotRun') {
        this.refuse(503, 'the time for the request is over', DEFAULT_RETRY_AFTER_MS);
      } else {
        this.refuse(504, 'no answer came in time');
      }
    }
  }

  private refuse(status: number, detail: string, retryAfterMs?: number): void {
    this.end(`refused ${status}`, detail);
    if (this.resumption.hasBegun) {
      this.sink.closeConnection();
    } else {
      this.sink.refuse(status, detail, retryAfterMs);
    }
  }

  private end(outcome: string, detail = ''): void {
    const { log, metrics, clock, modelLoader } = this.deps;
    const { headers, route, receivedAtMs, serviceId } = this.request;
    this.hasEnded = true;
    this.deadlineTimer.cancel();
    this.attempt?.cancel();
    if (headers.model !== undefined) {
      const { model, requestId } = headers;
      modelLoader.stopWaiting({ serviceId, model, requestId, softwareVersion: this.search.softwareVersion });
    }
    const tookMs = clock.nowMs() - receivedAtMs;
    metrics.count(`requests_${outcome.replaceAll(' ', '_')}`);
    metrics.recordMs('request_ms', tookMs);
    log.decision('request ended', {
      requestId: headers.requestId,
      route: route.name,
      configurationVersion: this.request.configurationVersion,
      outcome,
      detail,
      verdict: this.tracker.verdict,
      isCut: this.resumption.hasBegun && outcome.startsWith('refused'),
      connectionRequestNumber: this.request.connectionRequestNumber,
      tookMs: Math.round(tookMs),
      sendCount: this.sendCount,
      firstPieceMs: Math.round(this.latencyMs ?? -1),
      longestPauseMs: Math.round(this.streamPace.longestGapMs),
      model: headers.model ?? '',
      resumedRequestId: headers.resumedRequestId ?? '',
    });
  }

  private remainingMs(): number {
    return this.limits.deadlineAtMs - this.deps.clock.nowMs();
  }
}
