import type {
  AssignParams,
  OrganisationId,
  RefusalReason,
  ReleaseParams,
  ReplicaReport,
  RequestId,
  ServerId,
} from '../../domain/index.js';
import { AdmissionEstimate } from './AdmissionEstimate.js';
import { CrashLedger } from './CrashLedger.js';
import type { KeepAlivePolicy } from './KeepAlivePolicy.js';
import { ReplicaView, type RunningRequest } from './ReplicaView.js';
import { SlotTable } from './SlotTable.js';
import { isAnyReady, WakePlanner, type WakeCommand } from './WakePlanner.js';
import { RequestQueue, type WaitingRequest } from './RequestQueue.js';

/** Time after its deadline at which the slot of a running request is freed, in milliseconds. */
const SLOT_GRACE_MS = 1_000;
/** Time after its arrival for which a request is not assigned to a server that refused it, in milliseconds. */
const EXCLUSION_MS = 500;
/** Time without any usable server after which waiting requests are refused, in milliseconds. */
const NO_SERVER_TIMEOUT_MS = 3_000;
/** Shortest `retryAfterMs` of a refusal. */
const MIN_RETRY_AFTER_MS = 1_000;
/** Command of a model scheduler to its caller. */
export type SchedulerCommand =
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
  | WakeCommand
  | { readonly kind: 'quarantine'; readonly fingerprint: string };

export interface ModelSchedulerOptions {
  /** Whether the model is always loaded on the servers, as in a plain service. */
  readonly alwaysLoaded: boolean;
  readonly keepAlive: KeepAlivePolicy;
  readonly crashes: CrashLedger;
}

/** Queues all requests for one model, assigns them to replicas and requests loads of further replicas. */
export class ModelScheduler {
  readonly queue = new RequestQueue();
  readonly estimate = new AdmissionEstimate();
  private readonly replicas = new Map<string, ReplicaView>();
  private readonly commands: SchedulerCommand[] = [];
  private readonly slots = new SlotTable();
  private readonly planner: WakePlanner;
  private noServerSinceMs: number | undefined;

  /** @param options - Options of the scheduler. */
  constructor(private readonly options: ModelSchedulerOptions) {
    this.planner = new WakePlanner(options.keepAlive, this.estimate, this.queue);
  }

  /** Removes and returns the commands to execute. */
  takeCommands(): SchedulerCommand[] {
    return this.commands.splice(0);
  }

  /** Replicas on the granted servers, preferred ones first. */
  get views(): readonly ReplicaView[] {
    return [...this.replicas.values()];
  }

  /** Number of requests that are assigned to a replica. */
  get runningCount(): number {
    return this.slots.size;
  }

  /** @param serverId - Server of the replica. */
  getReplica(serverId: string): ReplicaView | undefined {
    return this.replicas.get(serverId);
  }

  /**
   * Whether a server other than the given one accepts requests; it may have to load the model first.
   * @param serverId - Server to leave out.
   */
  hasOtherServer(serverId: ServerId): boolean {
    for (const replica of this.replicas.values()) {
      if (replica.isUsable && replica.serverId !== serverId) {
        return true;
      }
    }
    return false;
  }

  /**
   * Sets the servers that may load the model.
   * @param serverIds - The servers, preferred ones first.
   */
  setServers(serverIds: readonly ServerId[]): void {
    const previousReplicas = new Map(this.replicas);
    this.replicas.clear();
    for (const serverId of serverIds) {
      this.replicas.set(serverId, previousReplicas.get(serverId) ?? new ReplicaView(serverId));
    }
  }

  /**
   * Assigns, queues or refuses a new request.
   * @param params - The request.
   * @param nowMs - Time now.
   */
  onRequestArrived(params: AssignParams, nowMs: number): void {
    this.planner.onRequestArrived(nowMs, this.isIdle());
    const crashStatus = this.options.crashes.getCrashStatus(params.fingerprint, nowMs);
    if (crashStatus === 'quarantined' || (crashStatus === 'suspect' && !params.idempotent)) {
      this.refuseQuarantined(params.requestId);
      return;
    }
    const request: WaitingRequest = {
      ...params,
      deadlineAtMs: nowMs + params.remainingMs,
      arrivedAtMs: nowMs,
      arrivedCold: !isAnyReady(this.views),
    };
    const forecast = this.estimate.forecast(this.queue.countAhead(request), this.views, nowMs);
    if (forecast.finishInMs > params.remainingMs) {
      const overrunMs = forecast.finishInMs - params.remainingMs;
      const reason = forecast.startInMs > 0 ? 'overloaded' : 'cannotMeetDeadline';
      this.refuse(params.requestId, reason, 'The answer would come after the deadline.', overrunMs);
      return;
    }
    this.queue.add(request);
    this.advance(nowMs);
  }

  /**
   * Removes a request that its router abandoned.
   * @param requestId - The request.
   * @param nowMs - Time now.
   */
  onRequestAbandoned(requestId: string, nowMs: number): void {
    this.queue.remove(requestId);
    this.freeSlot(requestId, nowMs);
    this.advance(nowMs);
  }

  /**
   * Handles the end of an assigned request.
   * @param params - How it ended.
   * @param nowMs - Time now.
   */
  onReleased(params: ReleaseParams, nowMs: number): void {
    if (params.outcome === 'crashed') {
      this.recordServerCrash(params.requestId, nowMs);
    }
    const request = this.freeSlot(params.requestId, nowMs);
    if (request && params.outcome === 'completed') {
      this.estimate.serviceTime.add(params.serviceMs);
      this.options.crashes.recordSuccess(request.fingerprint);
    }
    this.advance(nowMs);
  }

  /** Records a server crash once for every request on it; the replica counts as absent until the next report. */
  private recordServerCrash(requestId: string, nowMs: number): void {
    const replica = this.slots.getReplica(requestId);
    if (!replica || replica.running.get(requestId)?.crashRecorded) {
      return;
    }
    const fingerprints = new Set<string>();
    for (const [runningId, running] of replica.running) {
      fingerprints.add(running.fingerprint);
      replica.running.set(runningId, { ...running, crashRecorded: true });
    }
    for (const fingerprint of fingerprints) {
      this.recordRequestCrash(fingerprint, nowMs);
    }
    if (!this.options.alwaysLoaded) {
      replica.onCrash();
    }
  }

  /** Records a crash for a fingerprint, and refuses waiting requests with the same fingerprint that it blocks. */
  private recordRequestCrash(fingerprint: string, nowMs: number): void {
    const crashStatus = this.options.crashes.recordCrash(fingerprint, nowMs);
    if (crashStatus === 'quarantined') {
      this.commands.push({ kind: 'quarantine', fingerprint });
    }
    for (const waiting of [...this.queue.all()]) {
      const isBlocked = crashStatus === 'quarantined' || !waiting.idempotent;
      if (waiting.fingerprint === fingerprint && isBlocked) {
        this.queue.remove(waiting.requestId);
        this.refuseQuarantined(waiting.requestId);
      }
    }
  }

  private refuseQuarantined(requestId: RequestId): void {
    this.refuse(requestId, 'quarantined', 'This request was running each time a backend server crashed.');
  }

  /**
   * Applies a report of an agent.
   * @param report - The report.
   * @param nowMs - Time now.
   */
  onReport(report: ReplicaReport, nowMs: number): void {
    const replica = this.replicas.get(report.serverId);
    if (!replica) {
      return;
    }
    const measuredLoadMs = replica.onReport(report, nowMs);
    if (measuredLoadMs !== undefined) {
      this.estimate.loadTime.add(measuredLoadMs);
    }
    this.advance(nowMs);
  }

  /**
   * Handles the loss of the connection to an agent.
   * @param serverId - The server.
   * @param nowMs - Time now.
   */
  onServerLost(serverId: string, nowMs: number): void {
    this.replicas.get(serverId)?.onConnectionLost();
    this.advance(nowMs);
  }

  /**
   * Handles an agent's refusal to load the model.
   * @param serverId - The server.
   * @param nowMs - Time now.
   */
  onLoadRefused(serverId: string, nowMs: number): void {
    this.replicas.get(serverId)?.onLoadRefused(nowMs);
    this.advance(nowMs);
  }

  /**
   * Refuses requests that can no longer complete in time, frees overdue slots and pre-warms the model.
   * @param nowMs - Time now.
   */
  tick(nowMs: number): void {
    for (const requestId of this.slots.findOverdue(nowMs - SLOT_GRACE_MS)) {
      this.freeSlot(requestId, nowMs);
    }
    this.refuseUnservable(nowMs);
    if (this.isIdle() && !this.options.alwaysLoaded) {
      this.commands.push(...this.planner.planPreWarm(this.views, nowMs));
    }
    this.advance(nowMs);
  }

  private advance(nowMs: number): void {
    this.dispatch(nowMs);
    this.planLoads(nowMs);
    this.updateNoServerSince(nowMs);
  }

  private isIdle(): boolean {
    return this.slots.size === 0 && this.queue.length === 0;
  }

  private dispatch(nowMs: number): void {
    const getRunningCount = (organisationId: OrganisationId) => this.slots.getRunningCount(organisationId);
    const isEligible = (request: WaitingRequest) => this.chooseReplica(request, nowMs) !== undefined;
    while (this.queue.length > 0 && this.hasFreeSlot()) {
      const request = this.queue.next(getRunningCount, isEligible);
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
    const appliesExclusions = nowMs - request.arrivedAtMs < EXCLUSION_MS;
    const alone = this.mustRunAlone(request, nowMs);
    if (alone && this.slots.isFingerprintRunning(request.fingerprint)) {
      return undefined;
    }
    for (const replica of this.replicas.values()) {
      const isExcluded = appliesExclusions && request.excludedServerIds.includes(replica.serverId);
      const isOccupied = replica.isExclusive || (alone && replica.running.size > 0);
      if (isExcluded || isOccupied) {
        continue;
      }
      if (replica.freeSlotCount > (best?.freeSlotCount ?? 0)) {
        best = replica;
      }
    }
    return best;
  }

  private mustRunAlone(request: WaitingRequest, nowMs: number): boolean {
    return this.options.crashes.getCrashStatus(request.fingerprint, nowMs) !== 'none';
  }

  private assign(request: WaitingRequest, replica: ReplicaView, nowMs: number): void {
    const alone = this.mustRunAlone(request, nowMs);
    this.queue.remove(request.requestId);
    this.slots.occupy({ ...request, alone, crashRecorded: false }, replica);
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

  private freeSlot(requestId: string, nowMs: number): RunningRequest | undefined {
    const request = this.slots.free(requestId);
    if (request) {
      this.planner.onRequestEnded(nowMs);
    }
    return request;
  }

  private planLoads(nowMs: number): void {
    if (this.options.alwaysLoaded) {
      return;
    }
    if (this.slots.size > 0) {
      this.commands.push(...this.planner.planKeepAliveUpdates(this.views));
    }
    this.commands.push(...this.planner.planForQueue(this.views, nowMs));
  }

  private updateNoServerSince(nowMs: number): void {
    let isAnyUsable = false;
    for (const replica of this.replicas.values()) {
      isAnyUsable ||= replica.isUsable;
    }
    if (isAnyUsable || this.queue.length === 0) {
      this.noServerSinceMs = undefined;
      return;
    }
    this.noServerSinceMs ??= nowMs;
  }

  private refuseUnservable(nowMs: number): void {
    const noServerTimedOut =
      this.noServerSinceMs !== undefined && nowMs - this.noServerSinceMs >= NO_SERVER_TIMEOUT_MS;
    for (const request of [...this.queue.all()]) {
      const remainingMs = request.deadlineAtMs - nowMs;
      if (noServerTimedOut) {
        this.queue.remove(request.requestId);
        this.refuse(
          request.requestId,
          'noServer',
          'No backend server can take work now.',
          NO_SERVER_TIMEOUT_MS,
        );
      } else if (remainingMs < this.estimate.serviceTime.meanMs) {
        this.queue.remove(request.requestId);
        const waitMs = this.estimate.forecast(this.queue.length, this.views, nowMs).startInMs;
        this.refuse(request.requestId, 'overloaded', 'The answer would come after the deadline.', waitMs);
      }
    }
  }

  private refuse(requestId: RequestId, reason: RefusalReason, detail: string, waitMs?: number): void {
    const retryAfterMs = waitMs === undefined ? undefined : Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
    this.commands.push({ kind: 'refuse', requestId, reason, detail, retryAfterMs });
  }
}
