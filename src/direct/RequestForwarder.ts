import type { Clock, Timer } from '../kernel/index.js';
import { VerdictTracker, type ServerId, type ServiceId } from '../domain/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { AgentConnections } from './AgentConnections.js';
import { describeEnd, isServerFault } from './attemptEnds.js';
import { BackendAttempt, type AttemptEnd, type AttemptHead } from './BackendAttempt.js';
import {
  isRetryable,
  RequestLimits,
  type CrashTracker,
  type CompleteEvents,
  type FleetView,
  type KnownServer,
  type SharedRetryBudget,
  type Route,
  type ServerChooser,
} from './decisions/index.js';
import type { RequestHeaders, HeaderCodec } from './HeaderCodec.js';
import type { ModelLoader } from './ModelLoader.js';
import { ServerSearch } from './ServerSearch.js';

/** Most sends of one request, refused ones included; a bound on a request that every server refuses. */
const MAX_SENDS = 6;
/** Time after which a caller should return when nothing better is known, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Time that an attempt needs at least to be worth sending, in milliseconds. */
const MIN_ATTEMPT_MS = 20;
/** Least urgent rank that engines know. */
const MAX_URGENCY = 9;

/** What flows are made of. */
export interface RequestForwarderDependencies {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly chooser: ServerChooser;
  readonly modelLoader: ModelLoader;
  readonly agentConnections: AgentConnections;
  readonly codec: HeaderCodec;
  readonly crashTracker: CrashTracker;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Gives the allowance for repeated sends to a service. */
  readonly getRetryBudget: (serviceId: ServiceId) => SharedRetryBudget;
}

/** A caller's request as it came. */
export interface CallerRequest {
  readonly call: RequestHeaders;
  readonly route: Route;
  readonly serviceId: ServiceId;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  /** Equal requests have equal fingerprints. */
  readonly fingerprint: string;
  readonly receivedAtMs: number;
}

/** Where the answer goes. */
export interface ResponseSink {
  /** Sends a whole answer of a backend server. */
  sendWhole(head: AttemptHead, body: Buffer): void;
  /** Begins a stream. */
  beginStream(head: AttemptHead): void;
  /** Sends whole events. */
  sendEvents(bytes: Buffer): void;
  /** Ends a stream that is complete. */
  endStream(): void;
  /** Breaks the connection off, so that what was sent doesn't look complete. */
  breakOff(): void;
  /** Refuses the request. */
  refuse(status: number, detail: string, retryAfterMs: number | undefined): void;
}

/** Takes one request to a backend server and its answer back. */
export class RequestForwarder {
  private readonly tracker = new VerdictTracker();
  private readonly search: ServerSearch;
  private readonly limits: RequestLimits;
  private readonly watchdog: Timer;
  private attempt: BackendAttempt | undefined;
  private sendCount = 0;
  /** Servers that may have run the request. */
  private runCount = 0;
  private lastEventId: string | undefined;
  private hasBegun = false;
  private settled = false;
  /** Failure that a server answered, delivered when nothing better comes. */
  private fallback: { head: AttemptHead; body: Buffer } | undefined;
  private latencyMs: number | undefined;
  private lastEventAtMs: number | undefined;
  private longestPauseMs = 0;

  /**
   * @param deps - What flows are made of.
   * @param request - The request.
   * @param sink - Where the answer goes.
   */
  constructor(
    private readonly deps: RequestForwarderDependencies,
    private readonly request: CallerRequest,
    private readonly sink: ResponseSink,
  ) {
    const { route, call, receivedAtMs } = request;
    this.limits = new RequestLimits(route, call.deadlineMs, receivedAtMs);
    this.search = new ServerSearch(deps, request, this.limits, () => this.settled);
    this.lastEventId = call.lastEventId;
    this.watchdog = deps.clock.schedule(this.remainingMs(), () => this.timeOut());
  }

  /** Runs the request; resolves when its answer has been given. */
  async run(): Promise<void> {
    this.deps.getRetryBudget(this.request.serviceId).recordRequest(this.deps.clock.nowMs());
    this.deps.modelLoader.recordTraffic();
    if (this.limits.isInteractive && this.request.call.model !== undefined) {
      this.deps.modelLoader.recordInteractiveUse(this.request.serviceId, this.request.call.model);
    }
    while (!this.settled) {
      const server = await this.findServer();
      if (!server) {
        return;
      }
      if (this.sendCount > 0 && !this.mayRepeat()) {
        this.giveUp('no repeat is left in the budget');
        return;
      }
      await this.send(server);
    }
  }

  /** Ends the request because its caller left. */
  callerLeft(): void {
    if (!this.settled) {
      this.settle('caller left');
    }
  }

  /**
   * Refuses the request if it was not sent to any server.
   * @param detail - Why.
   * @param retryAfterMs - When the caller should return, in milliseconds.
   */
  refuseUnsent(detail: string, retryAfterMs: number): void {
    if (!this.settled && this.tracker.verdict === 'didNotRun') {
      this.refuse(503, detail, retryAfterMs);
    }
  }

  /**
   * Gives the request its final answer, since the process ends; a stream that has begun is broken off.
   * @param detail - Why.
   */
  endForStop(detail: string): void {
    if (!this.settled) {
      this.giveUp(detail);
    }
  }

  /** Finds the next server, or ends the request; undefined when it has ended. */
  private async findServer(): Promise<KnownServer | undefined> {
    if (this.endIfStopped()) {
      return undefined;
    }
    const found = await this.search.find({
      mayWait: !this.hasBegun,
      mayAskAgain: this.sendCount < MAX_SENDS && this.runCount === 0,
    });
    // Equal requests may have crashed their servers while this one waited.
    if (this.settled || this.endIfStopped()) {
      return undefined;
    }
    switch (found.kind) {
      case 'found':
        return found.server;
      case 'refused':
        this.giveUp(found.detail, found.retryAfterMs);
        return undefined;
    }
  }

  private async send(server: KnownServer): Promise<void> {
    const { clock, codec, chooser, log } = this.deps;
    const { call, route, method, path, body } = this.request;
    const { serverId, address } = server.entry;
    const silence = this.limits.getSilenceLimits(this.runCount, () => this.search.hasOther(serverId));
    const attempt = new BackendAttempt(
      clock,
      codec,
      {
        serverId,
        address,
        method,
        path,
        body,
        call,
        remainingMs: () => this.remainingMs(),
        urgency: call.model === undefined ? undefined : Math.min(MAX_URGENCY, route.priority),
        lastEventId: this.lastEventId,
        ...silence,
      },
      { streamStarted: (head) => this.beginStream(head), eventsArrived: (events) => this.deliver(events) },
    );
    const attemptId = `${call.requestId}.${++this.sendCount}`;
    this.tracker.markPossiblySent(attemptId);
    this.attempt = attempt;
    this.latencyMs = undefined;
    const sentAtMs = clock.nowMs();
    chooser.recordSent(serverId);
    this.noteUse(server, 'started');
    const end = await attempt.run();
    this.attempt = undefined;
    this.noteUse(server, 'ended');
    const nowMs = clock.nowMs();
    const latencyMs = end.kind === 'answered' ? nowMs - sentAtMs : this.latencyMs;
    chooser.recordEnded(serverId, isServerFault(end), nowMs, latencyMs);
    log.decision('attempt ended', {
      requestId: call.requestId,
      serverId,
      end: end.kind,
      detail: describeEnd(end),
      tookMs: Math.round(nowMs - sentAtMs),
      configurationVersion: this.deps.view.configuration?.version ?? 0,
      reportAgeMs: Number.isFinite(server.reportedAtMs) ? Math.round(nowMs - server.reportedAtMs) : -1,
    });
    if (end.kind === 'notRun') {
      this.tracker.proveDidNotRun({ attemptId, source: 'serverStatement' });
    }
    if (end.kind === 'unreachable') {
      this.tracker.proveDidNotRun({ attemptId, source: 'neverSent' });
      // Nothing was sent, so this is no repeat at a server.
      this.sendCount--;
    }
    if (!this.settled) {
      this.takeEnd(end, serverId);
    }
  }

  private takeEnd(end: AttemptEnd, serverId: ServerId): void {
    switch (end.kind) {
      case 'streamed':
        this.noteServed();
        this.settle('complete');
        this.sink.endStream();
        return;
      case 'answered':
        this.takeAnswer(end, serverId);
        return;
      case 'unreachable':
        this.search.exclude(serverId);
        return;
      case 'notRun':
        this.takeRejection(end, serverId);
        return;
      case 'broken':
        this.takeBreak(end, serverId);
        return;
      case 'cancelled':
        return;
    }
  }

  private takeRejection(end: AttemptEnd & { kind: 'notRun' }, serverId: ServerId): void {
    const { model } = this.request.call;
    if (model !== undefined && !end.isOtherServer) {
      this.deps.view.recordModelRefusal(serverId, model, this.deps.clock.nowMs());
    } else {
      this.search.exclude(serverId);
    }
  }

  private takeAnswer(end: AttemptEnd & { kind: 'answered' }, serverId: ServerId): void {
    this.runCount++;
    if (end.head.status >= 500 && this.mayRunAgain() && this.search.hasOther(serverId)) {
      this.fallback = end;
      this.search.exclude(serverId);
      return;
    }
    this.noteServed();
    this.settle(`answered ${end.head.status}`);
    this.sink.sendWhole(end.head, end.body);
  }

  private noteServed(): void {
    const { crashTracker: suspects, view, clock } = this.deps;
    const { fingerprint } = this.request;
    this.tracker.markCompleted();
    suspects.recordSuccess(fingerprint, view.getCrashCount(fingerprint), clock.nowMs());
  }

  private takeBreak(end: AttemptEnd & { kind: 'broken' }, serverId: ServerId): void {
    const { crashTracker: suspects, agentConnections: links, clock } = this.deps;
    this.runCount++;
    this.search.exclude(serverId);
    if (!end.isSilent) {
      const count = suspects.recordCrash(this.request.fingerprint, serverId, clock.nowMs());
      if (count > 1) {
        links.notifyCrash(this.request.fingerprint, count);
      }
    }
    if (!this.mayRunAgain()) {
      this.giveUp(end.detail);
    }
  }

  private beginStream(head: AttemptHead): void {
    if (!this.hasBegun && !this.settled) {
      this.hasBegun = true;
      this.sink.beginStream(head);
    }
  }

  private deliver(events: CompleteEvents): void {
    if (this.settled) {
      return;
    }
    const nowMs = this.deps.clock.nowMs();
    this.latencyMs ??= nowMs - this.request.receivedAtMs;
    this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - (this.lastEventAtMs ?? nowMs));
    this.lastEventAtMs = nowMs;
    this.lastEventId = events.lastEventId ?? this.lastEventId;
    this.sink.sendEvents(events.bytes);
  }

  /** Whether another server may run the request, after some that may have. */
  private mayRunAgain(): boolean {
    const { route } = this.request;
    return (
      isRetryable(route) &&
      this.runCount < route.maxAttempts &&
      this.sendCount < MAX_SENDS &&
      this.remainingMs() > MIN_ATTEMPT_MS
    );
  }

  /** Takes a repeated send out of the budget. */
  private mayRepeat(): boolean {
    if (this.sendCount >= MAX_SENDS || this.remainingMs() <= MIN_ATTEMPT_MS) {
      return false;
    }
    const { view, clock, metrics } = this.deps;
    const isTaken = this.deps.getRetryBudget(this.request.serviceId).tryTake(clock.nowMs(), view.routerCount);
    metrics.count(isTaken ? 'repeats' : 'repeats_refused');
    return isTaken;
  }

  /** Ends the request if equal ones have crashed their servers; true when it did. */
  private endIfStopped(): boolean {
    const { crashTracker: suspects, view, clock } = this.deps;
    const { fingerprint } = this.request;
    if (!suspects.isBlocked(fingerprint, view.getCrashCount(fingerprint), clock.nowMs())) {
      return false;
    }
    this.refuse(502, 'the request broke off on several servers');
    return true;
  }

  private noteUse(server: KnownServer, event: 'started' | 'ended'): void {
    const { model } = this.request.call;
    if (model !== undefined) {
      this.deps.agentConnections.notifyModelUse(
        server.entry.address,
        event,
        model,
        this.limits.isInteractive,
      );
    }
  }

  /** Ends the request with what there is. */
  private giveUp(detail: string, retryAfterMs = DEFAULT_RETRY_AFTER_MS): void {
    if (this.fallback) {
      const { head, body } = this.fallback;
      this.settle(`answered ${head.status}`);
      this.sink.sendWhole(head, body);
      return;
    }
    if (this.tracker.verdict === 'didNotRun') {
      this.refuse(503, detail, retryAfterMs);
    } else {
      this.refuse(502, detail);
    }
  }

  private timeOut(): void {
    if (!this.settled) {
      this.deps.metrics.count('timeouts');
      if (this.tracker.verdict === 'didNotRun') {
        this.refuse(503, 'the time for the request is over', DEFAULT_RETRY_AFTER_MS);
      } else {
        this.refuse(504, 'no answer came in time');
      }
    }
  }

  private refuse(status: number, detail: string, retryAfterMs?: number): void {
    this.settle(`refused ${status}`, detail);
    if (this.hasBegun) {
      this.sink.breakOff();
    } else {
      this.sink.refuse(status, detail, retryAfterMs);
    }
  }

  private settle(outcome: string, detail = ''): void {
    const { log, metrics, clock, modelLoader: desk } = this.deps;
    const { call, route, receivedAtMs } = this.request;
    this.settled = true;
    this.watchdog.cancel();
    this.attempt?.cancel();
    if (call.model !== undefined) {
      desk.stopWaiting(call.model, call.requestId);
    }
    const tookMs = clock.nowMs() - receivedAtMs;
    metrics.count(`requests_${outcome.replaceAll(' ', '_')}`);
    metrics.recordMs('request_ms', tookMs);
    log.decision('request ended', {
      requestId: call.requestId,
      route: route.name,
      outcome,
      detail,
      verdict: this.tracker.verdict,
      tookMs: Math.round(tookMs),
      sendCount: this.sendCount,
      firstPieceMs: Math.round(this.latencyMs ?? -1),
      longestPauseMs: Math.round(this.longestPauseMs),
      model: call.model ?? '',
    });
  }

  private remainingMs(): number {
    return this.limits.deadlineAtMs - this.deps.clock.nowMs();
  }
}
