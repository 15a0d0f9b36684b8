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

/** Time after its deadline at which a running request no longer occupies its slot, in milliseconds. */
const SLOT_GRACE_MS = 1_000;
/** Time for which a server that refused a request is not tried again for it, in milliseconds. */
const EXCLUSION_MS = 500;
/** Time without any server that could take work after which waiting requests are refused, in milliseconds. */
const NO_SERVER_PATIENCE_MS = 3_000;
/** Shortest time that a refused caller is told to wait, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;
/** What a home wants done. */
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

/** What a home is set up with. */
export interface ModelSchedulerOptions {
  /** Whether the servers hold the model at all times, as those of a plain service do. */
  readonly alwaysLoaded: boolean;
  readonly keepAlive: KeepAlivePolicy;
  readonly crashes: CrashLedger;
}

/** Where all demand for one model meets: it queues requests, assigns them to replicas and wakes replicas. */
export class ModelScheduler {
  readonly line = new RequestQueue();
  readonly estimate = new AdmissionEstimate();
  private readonly replicas = new Map<string, ReplicaView>();
  private readonly commands: SchedulerCommand[] = [];
  private readonly slots = new SlotTable();
  private readonly planner: WakePlanner;
  private noServerSinceMs: number | undefined;

  /** @param options - Set-up. */
  constructor(private readonly options: ModelSchedulerOptions) {
    this.planner = new WakePlanner(options.keepAlive, this.estimate, this.line);
  }

  /** Takes the commands that are to be carried out. */
  takeCommands(): SchedulerCommand[] {
    return this.commands.splice(0);
  }

  /** The granted servers, preferred ones first. */
  get views(): readonly ReplicaView[] {
    return [...this.replicas.values()];
  }

  /** Requests that are assigned now. */
  get runningCount(): number {
    return this.slots.size;
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
  onRequestArrived(params: AssignParams, nowMs: number): void {
    this.planner.onRequestArrived(nowMs, this.isIdle());
    const suspicion = this.options.crashes.getSuspicion(params.fingerprint, nowMs);
    if (suspicion === 'quarantined' || (suspicion === 'suspect' && !params.idempotent)) {
      this.refuseSuspect(params.requestId);
      return;
    }
    const request: WaitingRequest = {
      ...params,
      deadlineAtMs: nowMs + params.remainingMs,
      arrivedAtMs: nowMs,
      arrivedCold: !isAnyReady(this.views),
    };
    const forecast = this.estimate.forecast(this.line.countAhead(request), this.views, nowMs);
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
  onRequestAbandoned(requestId: string, nowMs: number): void {
    this.line.remove(requestId);
    this.freeSlot(requestId, nowMs);
    this.advance(nowMs);
  }

  /**
   * Takes the end of an assigned request.
   * @param params - How it ended.
   * @param nowMs - Time now.
   */
  onReleased(params: ReleaseParams, nowMs: number): void {
    if (params.outcome === 'crashed') {
      this.noteServerCrash(params.requestId, nowMs);
    }
    const request = this.freeSlot(params.requestId, nowMs);
    if (request && params.outcome === 'completed') {
      this.estimate.serviceTime.add(params.serviceMs);
      this.options.crashes.recordSuccess(request.fingerprint);
    }
    this.advance(nowMs);
  }

  /** Suspects everything that ran on a crashed server, once, and sends it nothing until it reports again. */
  private noteServerCrash(requestId: string, nowMs: number): void {
    const replica = this.slots.getReplica(requestId);
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
    const suspicion = this.options.crashes.recordCrash(fingerprint, nowMs);
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
  onReport(report: ReplicaReport, nowMs: number): void {
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
  onServerLost(serverId: string, nowMs: number): void {
    this.replicas.get(serverId)?.lost();
    this.advance(nowMs);
  }

  /**
   * Notes that an agent refused to wake the model.
   * @param serverId - The server.
   * @param nowMs - Time now.
   */
  onWakeRefused(serverId: string, nowMs: number): void {
    this.replicas.get(serverId)?.wakeRefused(nowMs);
    this.advance(nowMs);
  }

  /**
   * Refuses what can no longer be served in time, frees lost slots, wakes ahead of demand.
   * @param nowMs - Time now.
   */
  tick(nowMs: number): void {
    for (const requestId of this.slots.overdueAt(nowMs - SLOT_GRACE_MS)) {
      this.freeSlot(requestId, nowMs);
    }
    this.refuseHopeless(nowMs);
    if (this.isIdle() && !this.options.alwaysLoaded) {
      this.commands.push(...this.planner.forExpected(this.views, nowMs));
    }
    this.advance(nowMs);
  }

  private advance(nowMs: number): void {
    this.dispatch(nowMs);
    this.considerWaking(nowMs);
    this.watchForNoServer(nowMs);
  }

  private isIdle(): boolean {
    return this.slots.size === 0 && this.line.length === 0;
  }

  private dispatch(nowMs: number): void {
    const runningCountOf = (organisationId: OrganisationId) => this.slots.countOf(organisationId);
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
    if (alone && this.slots.isRunning(request.fingerprint)) {
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
    return this.options.crashes.getSuspicion(request.fingerprint, nowMs) !== 'none';
  }

  private assign(request: WaitingRequest, replica: ReplicaView, nowMs: number): void {
    const alone = this.mustBeAlone(request, nowMs);
    this.line.remove(request.requestId);
    this.slots.occupy({ ...request, alone, crashNoted: false }, replica);
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

  private considerWaking(nowMs: number): void {
    if (this.options.alwaysLoaded) {
      return;
    }
    if (this.slots.size > 0) {
      this.commands.push(...this.planner.forChangedPlan(this.views));
    }
    this.commands.push(...this.planner.forWaiting(this.views, nowMs));
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
        const waitMs = this.estimate.forecast(this.line.length, this.views, nowMs).startInMs;
        this.refuse(request.requestId, 'overloaded', 'The answer would come after the deadline.', waitMs);
      }
    }
  }

  private refuse(requestId: RequestId, reason: RefusalReason, detail: string, waitMs?: number): void {
    const retryAfterMs = waitMs === undefined ? undefined : Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
    this.commands.push({ kind: 'refuse', requestId, reason, detail, retryAfterMs });
  }
}
