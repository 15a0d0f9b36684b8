import type {
  AssignParams,
  RefusalReason,
  ReleaseParams,
  ReplicaReport,
  RequestId,
  ServerId,
} from '../../domain/index.js';
import { AdmissionEstimate } from './AdmissionEstimate.js';
import { CrashLedger } from './CrashLedger.js';
import type { KeepAlivePolicy } from './KeepAlivePolicy.js';
import { ReplicaView } from './ReplicaView.js';
import { WaitingLine, type WaitingRequest } from './WaitingLine.js';

/** Time after its deadline at which a running request no longer occupies its slot, in milliseconds. */
const SLOT_GRACE_MS = 1_000;
/** Time for which a server that refused a request is not tried again for it, in milliseconds. */
const EXCLUSION_MS = 500;
/** Time without any server that could take work after which waiting requests are refused, in milliseconds. */
const NO_SERVER_PATIENCE_MS = 3_000;
/** Shortest time that a refused caller is told to wait, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;
/** Batch requests that wake a model even if all of them could wait longer. */
const BATCH_WAKE_COUNT = 8;
/** Loads that a batch request leaves time for when it waits for a warm replica. */
const BATCH_LOAD_MARGIN = 3;
/** How far the keep-alive of a loaded replica may differ from the plan before it is told, as a ratio. */
const KEEP_ALIVE_TOLERANCE = 0.25;

/** What a home wants done. */
export type HomeCommand =
  | {
      readonly kind: 'assign';
      readonly requestId: RequestId;
      readonly serverId: ServerId;
      readonly incarnation: string;
      readonly queuedMs: number;
      readonly loadMs: number;
      readonly alone: boolean;
    }
  | {
      readonly kind: 'refuse';
      readonly requestId: RequestId;
      readonly reason: RefusalReason;
      readonly detail: string;
      readonly retryAfterMs?: number;
    }
  | { readonly kind: 'wake'; readonly serverId: ServerId; readonly keepAliveMs: number }
  | { readonly kind: 'quarantine'; readonly fingerprint: string };

/** What a home is set up with. */
export interface ModelHomeOptions {
  /** Whether the servers hold the model at all times, as those of a plain service do. */
  readonly alwaysLoaded: boolean;
  readonly keepAlive: KeepAlivePolicy;
  readonly crashes: CrashLedger;
}

/** Where all demand for one model meets: it queues requests, assigns them to replicas and wakes replicas. */
export class ModelHome {
  readonly line = new WaitingLine();
  readonly estimate = new AdmissionEstimate();
  private readonly replicas = new Map<string, ReplicaView>();
  private readonly commands: HomeCommand[] = [];
  private readonly runningOn = new Map<string, ReplicaView>();
  private readonly runningByOrganisation = new Map<string, number>();
  private keepAliveTold = 0;
  private lastBusyAtMs: number | undefined;
  private preWarmedSinceMs: number | undefined;
  private noServerSinceMs: number | undefined;

  /** @param options - Set-up. */
  constructor(private readonly options: ModelHomeOptions) {}

  /** Takes the commands that are to be carried out. */
  takeCommands(): HomeCommand[] {
    return this.commands.splice(0);
  }

  /** The granted servers, preferred ones first. */
  get views(): Iterable<ReplicaView> {
    return this.replicas.values();
  }

  /** Requests that are assigned now. */
  get runningCount(): number {
    return this.runningOn.size;
  }

  /** @param serverId - Server to look at. */
  getReplica(serverId: string): ReplicaView | undefined {
    return this.replicas.get(serverId);
  }

  /**
   * Sets the servers that may hold the model.
   * @param serverIds - The servers, preferred ones first.
   */
  setServers(serverIds: readonly ServerId[]): void {
    const previous = new Map(this.replicas);
    this.replicas.clear();
    for (const serverId of serverIds) {
      this.replicas.set(serverId, previous.get(serverId) ?? new ReplicaView(serverId));
    }
  }

  /**
   * Takes a request, which is assigned, queued or refused.
   * @param params - The request.
   * @param nowMs - Time now.
   */
  requestArrived(params: AssignParams, nowMs: number): void {
    this.noteGap(nowMs);
    const suspicion = this.options.crashes.suspicionOf(params.fingerprint, nowMs);
    if (suspicion === 'quarantined' || (suspicion === 'suspect' && !params.idempotent)) {
      this.refuse(
        params.requestId,
        'quarantined',
        'This request was running each time a backend server crashed.',
      );
      return;
    }
    const request: WaitingRequest = {
      ...params,
      deadlineAtMs: nowMs + params.remainingMs,
      arrivedAtMs: nowMs,
      arrivedCold: !this.hasReady(),
    };
    const forecast = this.estimate.forecast(this.line.countAhead(request), this.replicas.values(), nowMs);
    if (forecast.finishInMs > params.remainingMs) {
      const lateMs = forecast.finishInMs - params.remainingMs;
      const reason = forecast.startInMs > 0 ? 'overloaded' : 'cannotMeetDeadline';
      this.refuse(params.requestId, reason, 'The answer would come after the deadline.', lateMs);
      return;
    }
    this.line.add(request);
    this.advance(nowMs);
  }

  /**
   * Drops a request that its router gave up.
   * @param requestId - The request.
   * @param nowMs - Time now.
   */
  requestAbandoned(requestId: string, nowMs: number): void {
    this.line.remove(requestId);
    this.freeSlot(requestId, nowMs);
    this.advance(nowMs);
  }

  /**
   * Takes the end of an assigned request.
   * @param params - How it ended.
   * @param nowMs - Time now.
   */
  released(params: ReleaseParams, nowMs: number): void {
    if (params.outcome === 'crashed') {
      this.noteServerCrash(params.requestId, nowMs);
    }
    const request = this.freeSlot(params.requestId, nowMs);
    if (request && params.outcome === 'completed') {
      this.estimate.serviceTime.add(params.serviceMs);
      this.options.crashes.completed(request.fingerprint);
    }
    this.advance(nowMs);
  }

  /** Suspects everything that ran on a crashed server, once, and sends it nothing until it reports again. */
  private noteServerCrash(requestId: string, nowMs: number): void {
    const replica = this.runningOn.get(requestId);
    if (!replica || replica.running.get(requestId)?.crashNoted) {
      return;
    }
    const fingerprints = new Set<string>();
    for (const [runningId, running] of replica.running) {
      fingerprints.add(running.fingerprint);
      replica.running.set(runningId, { ...running, crashNoted: true });
    }
    for (const fingerprint of fingerprints) {
      this.noteCrash(fingerprint, nowMs);
    }
    if (!this.options.alwaysLoaded) {
      replica.crashed();
    }
  }

  /** Holds a crash against a request, and against equal ones that wait. */
  private noteCrash(fingerprint: string, nowMs: number): void {
    const suspicion = this.options.crashes.crashed(fingerprint, nowMs);
    if (suspicion === 'quarantined') {
      this.commands.push({ kind: 'quarantine', fingerprint });
    }
    for (const waiting of [...this.line.all()]) {
      const isStopped = suspicion === 'quarantined' || !waiting.idempotent;
      if (waiting.fingerprint === fingerprint && isStopped) {
        this.line.remove(waiting.requestId);
        this.refuseSuspect(waiting.requestId);
      }
    }
  }

  private refuseSuspect(requestId: RequestId): void {
    this.refuse(requestId, 'quarantined', 'This request was running each time a backend server crashed.');
  }

  /**
   * Takes a report of an agent.
   * @param report - The report.
   * @param nowMs - Time now.
   */
  reported(report: ReplicaReport, nowMs: number): void {
    const replica = this.replicas.get(report.serverId);
    if (!replica) {
      return;
    }
    const loadedInMs = replica.reported(report, nowMs);
    if (loadedInMs !== undefined) {
      this.estimate.loadTime.add(loadedInMs);
    }
    this.advance(nowMs);
  }

  /**
   * Notes that the connection to an agent is gone.
   * @param serverId - The server.
   * @param nowMs - Time now.
   */
  serverLost(serverId: string, nowMs: number): void {
    this.replicas.get(serverId)?.lost();
    this.advance(nowMs);
  }

  /**
   * Notes that an agent refused to wake the model.
   * @param serverId - The server.
   * @param nowMs - Time now.
   */
  wakeRefused(serverId: string, nowMs: number): void {
    this.replicas.get(serverId)?.wakeRefused(nowMs);
    this.advance(nowMs);
  }

  /**
   * Refuses what can no longer be served in time, frees lost slots, wakes ahead of demand.
   * @param nowMs - Time now.
   */
  tick(nowMs: number): void {
    for (const replica of this.replicas.values()) {
      for (const request of replica.running.values()) {
        if (nowMs > request.deadlineAtMs + SLOT_GRACE_MS) {
          this.freeSlot(request.requestId, nowMs);
        }
      }
    }
    this.refuseHopeless(nowMs);
    this.preWarm(nowMs);
    this.advance(nowMs);
  }

  private advance(nowMs: number): void {
    this.dispatch(nowMs);
    this.considerWaking(nowMs);
    this.watchForNoServer(nowMs);
  }

  private noteGap(nowMs: number): void {
    const isIdle = this.runningOn.size === 0 && this.line.length === 0;
    if (isIdle && this.lastBusyAtMs !== undefined) {
      this.options.keepAlive.gapSeen(nowMs - this.lastBusyAtMs);
    }
    this.lastBusyAtMs = nowMs;
    this.preWarmedSinceMs = undefined;
  }

  private hasReady(): boolean {
    for (const replica of this.replicas.values()) {
      if (replica.isUsable && replica.isReady) {
        return true;
      }
    }
    return false;
  }

  private dispatch(nowMs: number): void {
    const runningCountOf = (organisationId: string) => this.runningByOrganisation.get(organisationId) ?? 0;
    const isEligible = (request: WaitingRequest) => this.chooseReplica(request, nowMs) !== undefined;
    while (this.line.length > 0 && this.hasFreeSlot()) {
      const request = this.line.next(runningCountOf, isEligible);
      const replica = request && this.chooseReplica(request, nowMs);
      if (!replica) {
        return;
      }
      this.assign(request, replica, nowMs);
    }
  }

  private hasFreeSlot(): boolean {
    for (const replica of this.replicas.values()) {
      if (replica.freeSlotCount > 0) {
        return true;
      }
    }
    return false;
  }

  private chooseReplica(request: WaitingRequest, nowMs: number): ReplicaView | undefined {
    let best: ReplicaView | undefined;
    const minding = nowMs - request.arrivedAtMs < EXCLUSION_MS;
    const alone = this.mustBeAlone(request, nowMs);
    if (alone && this.isRunningSomewhere(request.fingerprint)) {
      return undefined;
    }
    for (const replica of this.replicas.values()) {
      const isExcluded = minding && request.excludedServerIds.includes(replica.serverId);
      const isTaken = replica.isExclusive || (alone && replica.running.size > 0);
      if (isExcluded || isTaken) {
        continue;
      }
      if (replica.freeSlotCount > (best?.freeSlotCount ?? 0)) {
        best = replica;
      }
    }
    return best;
  }

  private mustBeAlone(request: WaitingRequest, nowMs: number): boolean {
    return this.options.crashes.suspicionOf(request.fingerprint, nowMs) !== 'none';
  }

  private isRunningSomewhere(fingerprint: string): boolean {
    for (const replica of this.replicas.values()) {
      for (const running of replica.running.values()) {
        if (running.fingerprint === fingerprint) {
          return true;
        }
      }
    }
    return false;
  }

  private assign(request: WaitingRequest, replica: ReplicaView, nowMs: number): void {
    const alone = this.mustBeAlone(request, nowMs);
    this.line.remove(request.requestId);
    replica.running.set(request.requestId, { ...request, alone, crashNoted: false });
    this.runningOn.set(request.requestId, replica);
    const running = this.runningByOrganisation.get(request.organisationId) ?? 0;
    this.runningByOrganisation.set(request.organisationId, running + 1);
    const queuedMs = nowMs - request.arrivedAtMs;
    this.commands.push({
      kind: 'assign',
      requestId: request.requestId,
      serverId: replica.serverId,
      incarnation: replica.incarnation,
      queuedMs,
      loadMs: request.arrivedCold ? queuedMs : 0,
      alone,
    });
  }

  private freeSlot(requestId: string, nowMs: number) {
    const replica = this.runningOn.get(requestId);
    const request = replica?.running.get(requestId);
    if (!replica || !request) {
      return undefined;
    }
    replica.running.delete(requestId);
    this.runningOn.delete(requestId);
    const left = (this.runningByOrganisation.get(request.organisationId) ?? 1) - 1;
    if (left > 0) {
      this.runningByOrganisation.set(request.organisationId, left);
    } else {
      this.runningByOrganisation.delete(request.organisationId);
    }
    this.lastBusyAtMs = nowMs;
    return request;
  }

  private considerWaking(nowMs: number): void {
    if (this.options.alwaysLoaded) {
      return;
    }
    this.refreshKeepAlive(nowMs);
    if (!this.isWakeDue(nowMs) || this.isAnyBeingWoken(nowMs)) {
      return;
    }
    const isCold = !this.hasReady();
    if (isCold || this.estimate.isAnotherReplicaWorthIt(this.line.length, this.replicas.values())) {
      this.wakeNext(nowMs, this.plan().keepAliveMs);
    }
  }

  private isWakeDue(nowMs: number): boolean {
    let batchCount = 0;
    for (const request of this.line.all()) {
      if (request.requestClass === 'interactive') {
        return true;
      }
      batchCount++;
      const needsMs =
        BATCH_LOAD_MARGIN * this.estimate.loadTime.meanMs + this.estimate.serviceTime.quantileMs(0.9);
      if (request.deadlineAtMs - nowMs <= needsMs) {
        return true;
      }
    }
    return batchCount >= BATCH_WAKE_COUNT;
  }

  private isAnyBeingWoken(nowMs: number): boolean {
    for (const replica of this.replicas.values()) {
      if (!replica.isReady && replica.isBeingWoken(nowMs)) {
        return true;
      }
    }
    return false;
  }

  private wakeNext(nowMs: number, keepAliveMs: number): void {
    for (const replica of this.replicas.values()) {
      if (replica.canBeWoken(nowMs)) {
        replica.wakeAsked(nowMs);
        this.commands.push({ kind: 'wake', serverId: replica.serverId, keepAliveMs });
        return;
      }
    }
  }

  private plan() {
    return this.options.keepAlive.plan(this.estimate.loadTime.meanMs);
  }

  /** Tells loaded replicas a keep-alive that has changed. */
  private refreshKeepAlive(_nowMs: number): void {
    if (this.lastBusyAtMs === undefined || this.runningOn.size === 0) {
      return;
    }
    const keepAliveMs = this.plan().keepAliveMs;
    if (Math.abs(keepAliveMs - this.keepAliveTold) <= this.keepAliveTold * KEEP_ALIVE_TOLERANCE) {
      return;
    }
    this.keepAliveTold = keepAliveMs;
    for (const replica of this.replicas.values()) {
      if (replica.isUsable && replica.isReady) {
        this.commands.push({ kind: 'wake', serverId: replica.serverId, keepAliveMs });
      }
    }
  }

  private preWarm(nowMs: number): void {
    const { preWarm } = this.plan();
    const isIdle = this.runningOn.size === 0 && this.line.length === 0;
    if (!preWarm || this.lastBusyAtMs === undefined || !isIdle || this.options.alwaysLoaded) {
      return;
    }
    const isDue = nowMs - this.lastBusyAtMs >= preWarm.afterMs - this.estimate.loadTime.meanMs;
    if (isDue && this.preWarmedSinceMs === undefined) {
      this.preWarmedSinceMs = nowMs;
      if (!this.hasReady() && !this.isAnyBeingWoken(nowMs)) {
        this.wakeNext(nowMs, preWarm.forMs + this.estimate.loadTime.meanMs);
      }
    }
  }

  private watchForNoServer(nowMs: number): void {
    let isAnyUsable = false;
    for (const replica of this.replicas.values()) {
      isAnyUsable ||= replica.isUsable;
    }
    if (isAnyUsable || this.line.length === 0) {
      this.noServerSinceMs = undefined;
      return;
    }
    this.noServerSinceMs ??= nowMs;
  }

  private refuseHopeless(nowMs: number): void {
    const isServerless =
      this.noServerSinceMs !== undefined && nowMs - this.noServerSinceMs >= NO_SERVER_PATIENCE_MS;
    for (const request of [...this.line.all()]) {
      const remainingMs = request.deadlineAtMs - nowMs;
      if (isServerless) {
        this.line.remove(request.requestId);
        this.refuse(
          request.requestId,
          'noServer',
          'No backend server can take work now.',
          NO_SERVER_PATIENCE_MS,
        );
      } else if (remainingMs < this.estimate.serviceTime.meanMs) {
        this.line.remove(request.requestId);
        const waitMs = this.estimate.forecast(this.line.length, this.replicas.values(), nowMs).startInMs;
        this.refuse(request.requestId, 'overloaded', 'The answer would come after the deadline.', waitMs);
      }
    }
  }

  private refuse(requestId: RequestId, reason: RefusalReason, detail: string, waitMs?: number): void {
    const retryAfterMs = waitMs === undefined ? undefined : Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
    this.commands.push({ kind: 'refuse', requestId, reason, detail, retryAfterMs });
  }
}
