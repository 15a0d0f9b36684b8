import { pause, type Clock, type Timer } from '../kernel/index.js';
import { VerdictTracker, type ServerId, type ServiceId } from '../domain/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { AgentLinks } from './AgentLinks.js';
import { describeEnd, isServerFault } from './attemptEnds.js';
import { BackendAttempt, type AttemptEnd, type AttemptHead } from './BackendAttempt.js';
import {
  isRepeatable,
  RequestLimits,
  type CrashSuspects,
  type CutEvents,
  type FleetView,
  type KnownServer,
  type RepeatAllowance,
  type Route,
  type ServerChooser,
} from './decisions/index.js';
import { getHeldModel } from './decisions/index.js';
import type { CallHeaders, HeaderCodec } from './HeaderCodec.js';
import type { ModelDesk } from './ModelDesk.js';

/** Most sends of one request, refused ones included; a bound on a request that every server refuses. */
const MAX_SENDS = 6;
/** Time after which servers that did not take a request are asked again, in milliseconds. */
const SERVER_PAUSE_MS = 120;
/** Time after which a caller should return when nothing better is known, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Time that an attempt needs at least to be worth sending, in milliseconds. */
const MIN_ATTEMPT_MS = 20;
/** Least urgent rank that engines know. */
const MAX_URGENCY = 9;

/** What flows are made of. */
export interface DirectFlowParts {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly chooser: ServerChooser;
  readonly desk: ModelDesk;
  readonly links: AgentLinks;
  readonly codec: HeaderCodec;
  readonly suspects: CrashSuspects;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Gives the allowance for repeated sends to a service. */
  readonly allowanceOf: (serviceId: ServiceId) => RepeatAllowance;
}

/** A caller's request as it came. */
export interface DirectRequest {
  readonly call: CallHeaders;
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
export interface DirectSink {
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
export class DirectFlow {
  private readonly tracker = new VerdictTracker();
  private readonly excluded = new Set<ServerId>();
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
   * @param parts - What flows are made of.
   * @param request - The request.
   * @param sink - Where the answer goes.
   */
  constructor(
    private readonly parts: DirectFlowParts,
    private readonly request: DirectRequest,
    private readonly sink: DirectSink,
  ) {
    const { route, call, receivedAtMs } = request;
    this.limits = new RequestLimits(route, call.deadlineMs, receivedAtMs);
    this.lastEventId = call.lastEventId;
    this.watchdog = parts.clock.schedule(this.remainingMs(), () => this.timeOut());
  }

  /** Runs the request; resolves when its answer has been given. */
  async run(): Promise<void> {
    this.parts.allowanceOf(this.request.serviceId).noteRequest(this.parts.clock.nowMs());
    this.parts.desk.noteTraffic();
    if (this.limits.isLive && this.request.call.model !== undefined) {
      this.parts.desk.noteLiveUse(this.request.serviceId, this.request.call.model);
    }
    while (!this.settled) {
      const server = await this.findServer();
      if (!server || this.settled) {
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

  private async findServer(): Promise<KnownServer | undefined> {
    const { call, serviceId } = this.request;
    while (!this.settled) {
      if (this.isStoppedForCrashes()) {
        this.refuse(502, 'the request broke off on several servers');
        return undefined;
      }
      const { model, adapter } = call;
      const isLive = this.limits.isLive && model !== undefined;
      const need = { serviceId, model, adapter, isLive, excludedServerIds: this.excluded };
      const server = this.parts.chooser.getServer(need, this.parts.clock.nowMs());
      if (!server) {
        if (!(await this.waitForServer())) {
          return undefined;
        }
        continue;
      }
      if (model === undefined || adapter === undefined || (await this.hasAdapter(server, model, adapter))) {
        return server;
      }
      this.excluded.add(server.entry.serverId);
    }
    return undefined;
  }

  /** Waits for a server that holds the model; false when the request was refused. */
  private async waitForServer(): Promise<boolean> {
    const { call, serviceId } = this.request;
    const { desk } = this.parts;
    if (this.hasBegun) {
      this.giveUp('no server takes the rest of the stream');
      return false;
    }
    if (call.model === undefined) {
      return this.pauseForServers(this.limits.waitsUntilMs);
    }
    const { model, requestId } = call;
    const untilMs = this.limits.waitsUntilMs;
    if (this.excluded.size > 0) {
      return this.pauseForServers(untilMs);
    }
    const result = await desk.waitFor({
      requestId,
      serviceId,
      model,
      isInteractive: this.limits.isLive,
      untilMs,
    });
    if (this.settled) {
      return false;
    }
    switch (result.kind) {
      case 'ready':
        return true;
      case 'tooLate':
        this.refuse(503, 'the model is not ready in time', result.readyInMs);
        return false;
      case 'noPlace':
        this.refuse(503, 'no server has room for the model', DEFAULT_RETRY_AFTER_MS);
        return false;
    }
  }

  /** Gives the servers that did not take the request a moment; false when there is no time for it. */
  private async pauseForServers(untilMs: number): Promise<boolean> {
    const { clock } = this.parts;
    if (this.sendCount >= MAX_SENDS || clock.nowMs() + SERVER_PAUSE_MS >= untilMs || this.runCount > 0) {
      this.giveUp('the servers did not take the request');
      return false;
    }
    await pause(clock, SERVER_PAUSE_MS);
    this.excluded.clear();
    return !this.settled;
  }

  private async hasAdapter(server: KnownServer, model: string, adapter: string): Promise<boolean> {
    if (getHeldModel(server, model)?.adapters.includes(adapter) === true) {
      return true;
    }
    return this.parts.links.ensureAdapter(server.entry.address, model, adapter);
  }

  private async send(server: KnownServer): Promise<void> {
    const { clock, codec, chooser, log } = this.parts;
    const { call, route, method, path, body } = this.request;
    const { serverId, address } = server.entry;
    const silence = this.limits.getSilenceLimits(this.runCount, () => this.hasOtherServer(serverId));
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
    this.tracker.bytesMayLeave(attemptId);
    this.attempt = attempt;
    this.latencyMs = undefined;
    const sentAtMs = clock.nowMs();
    chooser.noteSent(serverId);
    this.noteUse(server, 'started');
    const end = await attempt.run();
    this.attempt = undefined;
    this.noteUse(server, 'ended');
    const nowMs = clock.nowMs();
    const latencyMs = end.kind === 'answered' ? nowMs - sentAtMs : this.latencyMs;
    chooser.noteEnded(serverId, isServerFault(end), nowMs, latencyMs);
    log.decided('attempt ended', {
      requestId: call.requestId,
      serverId,
      end: end.kind,
      detail: describeEnd(end),
      tookMs: Math.round(nowMs - sentAtMs),
      configurationVersion: this.parts.view.configuration?.version ?? 0,
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
        this.tracker.ranToEnd();
        this.settle('complete');
        this.sink.endStream();
        return;
      case 'answered':
        this.takeAnswer(end, serverId);
        return;
      case 'unreachable':
        this.excluded.add(serverId);
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
      this.parts.view.noteModelRefused(serverId, model, this.parts.clock.nowMs());
    } else {
      this.excluded.add(serverId);
    }
  }

  private takeAnswer(end: AttemptEnd & { kind: 'answered' }, serverId: ServerId): void {
    this.runCount++;
    if (end.head.status >= 500 && this.mayRunAgain() && this.hasOtherServer(serverId)) {
      this.fallback = end;
      this.excluded.add(serverId);
      return;
    }
    this.tracker.ranToEnd();
    this.settle(`answered ${end.head.status}`);
    this.sink.sendWhole(end.head, end.body);
  }

  private takeBreak(end: AttemptEnd & { kind: 'broken' }, serverId: ServerId): void {
    const { suspects, links, clock } = this.parts;
    this.runCount++;
    this.excluded.add(serverId);
    if (!end.isSilent) {
      const count = suspects.noteBreak(this.request.fingerprint, clock.nowMs());
      if (count > 1) {
        links.noteCrash(this.request.fingerprint, count);
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

  private deliver(events: CutEvents): void {
    if (this.settled) {
      return;
    }
    const nowMs = this.parts.clock.nowMs();
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
      isRepeatable(route) &&
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
    const { view, clock, metrics } = this.parts;
    const isTaken = this.parts.allowanceOf(this.request.serviceId).tryTake(clock.nowMs(), view.routerCount);
    metrics.count(isTaken ? 'repeats' : 'repeats_refused');
    return isTaken;
  }

  private hasOtherServer(serverId: ServerId): boolean {
    const { call, serviceId } = this.request;
    const need = {
      serviceId,
      model: call.model,
      adapter: call.adapter,
      isLive: false,
      excludedServerIds: new Set([...this.excluded, serverId]),
    };
    return this.parts.chooser.getServer(need, this.parts.clock.nowMs()) !== undefined;
  }

  private isStoppedForCrashes(): boolean {
    const { suspects, view, clock } = this.parts;
    const { fingerprint } = this.request;
    return suspects.isStopped(fingerprint, view.getCrashCount(fingerprint), clock.nowMs());
  }

  private noteUse(server: KnownServer, event: 'started' | 'ended'): void {
    const { model } = this.request.call;
    if (model !== undefined) {
      this.parts.links.noteUse(server.entry.address, event, model, this.limits.isLive);
    }
  }

  /** Ends the request with what there is. */
  private giveUp(detail: string): void {
    if (this.fallback) {
      const { head, body } = this.fallback;
      this.settle(`answered ${head.status}`);
      this.sink.sendWhole(head, body);
      return;
    }
    if (this.tracker.verdict === 'didNotRun') {
      this.refuse(503, detail, DEFAULT_RETRY_AFTER_MS);
    } else {
      this.refuse(502, detail);
    }
  }

  private timeOut(): void {
    if (!this.settled) {
      this.parts.metrics.count('timeouts');
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
    const { log, metrics, clock, desk } = this.parts;
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
    log.decided('request ended', {
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
    return this.limits.endsAtMs - this.parts.clock.nowMs();
  }
}
