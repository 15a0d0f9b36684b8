import { runInBackground, type Clock, type Service } from '../kernel/index.js';
import { delay, PeriodicTask } from '../kernel/index.js';
import {
  AGENT_METHODS,
  PLACEMENT_PREFIX,
  QUARANTINE_PREFIX,
  toServerId,
  type AssignParams,
  type AssignReply,
  type OtherServerParams,
  type ReleaseParams,
  type ReplicaReport,
  type WakeParams,
  type WakeReply,
} from '../domain/index.js';
import type { ObjectStore } from '../platform/index.js';
import type { Catalogue, CatalogueModel, Membership, StateStore } from '../state/index.js';
import type { AuditTrail, Log, Metrics } from '../telemetry/index.js';
import type { PeerDialer } from '../transport/index.js';
import { AgentConnections } from './AgentConnections.js';
import { explainModel, type ModelExplanation } from './explainModel.js';
import type { PlacementReviewer } from './PlacementReviewer.js';
import { QuarantineStore } from './QuarantineStore.js';
import {
  CrashLedger,
  HistogramKeepAlivePolicy,
  ModelScheduler,
  ReviewQueue,
  type SchedulerCommand,
} from './decisions/index.js';

/** Time between two ticks of the schedulers with waiting or running requests, in milliseconds. */
const TICK_MS = 50;
/** Number of ticks after which the idle schedulers are ticked as well. */
const IDLE_TICK_INTERVAL = 20;
/** Time between two reviews of the placements affected by changes, in milliseconds. */
const REVIEW_INTERVAL_MS = 500;
/** `retryAfterMs` of a refusal because the router is stopping, or because the model or server is unknown. */
const UNAVAILABLE_RETRY_AFTER_MS = 1_000;

/** Dependencies of the scheduler service. */
export interface SchedulerServiceDependencies {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly state: StateStore;
  readonly catalogue: Catalogue;
  readonly membership: Membership;
  readonly dialer: PeerDialer;
  readonly reviewer: PlacementReviewer;
  readonly audit: AuditTrail;
  readonly metrics: Metrics;
  readonly log: Log;
}

interface OwnedModel {
  readonly scheduler: ModelScheduler;
  followedServers: Set<string>;
  isUnderReview: boolean;
}

/** Schedules the models that this router owns, and those that other routers consider it the owner of. */
export class SchedulerService implements Service {
  private readonly ownedModels = new Map<string, OwnedModel>();
  private readonly waitingReplies = new Map<string, (reply: AssignReply) => void>();
  private readonly crashes = new CrashLedger();
  private readonly quarantines: QuarantineStore;
  private readonly agentConnections: AgentConnections;
  private readonly tickTask: PeriodicTask;
  private readonly reviewTask: PeriodicTask;
  private readonly activeModelIds = new Set<string>();
  private readonly reviewQueue = new ReviewQueue();
  private tickCount = 0;
  private isStopping = false;

  /** @param deps - Dependencies of the service. */
  constructor(private readonly deps: SchedulerServiceDependencies) {
    this.quarantines = new QuarantineStore(deps, this.crashes);
    this.agentConnections = new AgentConnections(deps.clock, deps.dialer, {
      onReport: (report) => this.onReport(report),
      onServerLost: (serverId) => this.onServerLost(serverId),
    });
    this.tickTask = new PeriodicTask(deps.clock, TICK_MS, () => this.tick());
    this.reviewTask = new PeriodicTask(deps.clock, REVIEW_INTERVAL_MS, () => this.reviewNext());
    deps.state.onChange((path) => this.onStateChange(path));
    deps.membership.onChange(() => this.reviewQueue.addAll(this.getAllModelIds()));
    deps.metrics.gauge('home_models', () => this.ownedModels.size);
    deps.metrics.gauge('home_waiting', () => this.waitingReplies.size);
  }

  start(): Promise<void> {
    this.tickTask.start();
    this.reviewTask.start();
    this.reviewQueue.addAll(this.getAllModelIds());
    this.reviewNext();
    return Promise.resolve();
  }

  /** Refuses new requests and stops after the waiting ones have been assigned or refused. */
  async stop(): Promise<void> {
    this.isStopping = true;
    while (this.waitingReplies.size > 0) {
      await delay(this.deps.clock, TICK_MS);
    }
    this.tickTask.stop();
    this.reviewTask.stop();
  }

  /**
   * Assigns a request to a server; replies when a slot is free, or with a refusal.
   * @param params - The request.
   */
  assign(params: AssignParams): Promise<AssignReply> {
    const model = this.deps.catalogue.getModel(params.modelId);
    if (this.isStopping || !model) {
      const reason = this.isStopping ? 'routerStopping' : 'unknownModel';
      const detail = this.isStopping
        ? 'The router is stopping.'
        : `No service has the model ${params.modelId}.`;
      return Promise.resolve({ kind: 'refused', reason, detail, retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS });
    }
    const { scheduler } = this.getOrAddModel(model);
    this.activeModelIds.add(model.modelId);
    return new Promise((resolve) => {
      this.waitingReplies.set(params.requestId, resolve);
      scheduler.onRequestArrived(params, this.deps.clock.nowMs());
      this.executeCommands(model, scheduler);
    });
  }

  /** @param params - Request that its router abandoned while it was waiting or running. */
  abandon(params: { readonly requestId: string; readonly modelId: string }): void {
    const resolve = this.waitingReplies.get(params.requestId);
    this.waitingReplies.delete(params.requestId);
    resolve?.({ kind: 'refused', reason: 'cancelled', detail: 'The request was given up.' });
    this.updateScheduler(params.modelId, (scheduler, nowMs) =>
      scheduler.onRequestAbandoned(params.requestId, nowMs),
    );
  }

  /** @param params - End of an assigned request. */
  release(params: ReleaseParams): void {
    this.updateScheduler(params.modelId, (scheduler, nowMs) => scheduler.onReleased(params, nowMs));
  }

  /**
   * Whether a server other than the given one can take a request for a model.
   * @param params - The model and the server.
   */
  hasOtherServer({ modelId, serverId }: OtherServerParams): boolean {
    return this.ownedModels.get(modelId)?.scheduler.hasOtherServer(serverId) ?? false;
  }

  /** @param report - Report that an agent sent. */
  onReport(report: ReplicaReport): void {
    this.reviewQueue.add(report.modelId);
    this.updateScheduler(report.modelId, (scheduler, nowMs) => scheduler.onReport(report, nowMs));
  }

  /** @param modelId - Model to explain; the result is undefined when this router does not own it. */
  explain(modelId: string): ModelExplanation | undefined {
    const scheduler = this.ownedModels.get(modelId)?.scheduler;
    const placement = this.deps.catalogue.getPlacement(modelId);
    return scheduler && explainModel(modelId, scheduler, placement, this.deps.clock.nowMs());
  }

  /**
   * Time until the earliest deadline of the requests that wait for a model, in milliseconds.
   * @param modelId - The model.
   */
  getMinRemainingMs(modelId: string): number {
    let deadlineAtMs = Infinity;
    for (const request of this.ownedModels.get(modelId)?.scheduler.queue.all() ?? []) {
      deadlineAtMs = Math.min(deadlineAtMs, request.deadlineAtMs);
    }
    return deadlineAtMs - this.deps.clock.nowMs();
  }

  /** Returns the models that this router owns. */
  getOwnedModelIds(): string[] {
    return [...this.ownedModels.keys()];
  }

  private updateScheduler(modelId: string, update: (scheduler: ModelScheduler, nowMs: number) => void): void {
    const ownedModel = this.ownedModels.get(modelId);
    const model = this.deps.catalogue.getModel(modelId);
    if (ownedModel && model) {
      this.activeModelIds.add(modelId);
      update(ownedModel.scheduler, this.deps.clock.nowMs());
      this.executeCommands(model, ownedModel.scheduler);
    }
  }

  private onServerLost(serverId: string): void {
    for (const [modelId, ownedModel] of this.ownedModels) {
      if (ownedModel.followedServers.has(serverId)) {
        this.updateScheduler(modelId, (scheduler, nowMs) => scheduler.onServerLost(serverId, nowMs));
      }
    }
  }

  private getOrAddModel(model: CatalogueModel): OwnedModel {
    const existing = this.ownedModels.get(model.modelId);
    if (existing) {
      return existing;
    }
    const scheduler = new ModelScheduler({
      alwaysLoaded: model.model === undefined,
      keepAlive: new HistogramKeepAlivePolicy(model.service.weighing),
      crashes: this.crashes,
    });
    const ownedModel: OwnedModel = { scheduler, followedServers: new Set(), isUnderReview: false };
    this.ownedModels.set(model.modelId, ownedModel);
    this.followServers(model, ownedModel);
    runInBackground('review of a placement', () => this.review(model, ownedModel));
    return ownedModel;
  }

  private tick(): void {
    this.tickCount++;
    const includesIdle = this.tickCount % IDLE_TICK_INTERVAL === 0;
    for (const modelId of includesIdle ? this.ownedModels.keys() : [...this.activeModelIds]) {
      this.updateScheduler(modelId, (scheduler, nowMs) => scheduler.tick(nowMs));
      const scheduler = this.ownedModels.get(modelId)?.scheduler;
      if (!scheduler || (scheduler.queue.length === 0 && scheduler.runningCount === 0)) {
        this.activeModelIds.delete(modelId);
      }
    }
  }

  /** Every configured model, and the owned models that are no longer configured. */
  private *getAllModelIds(): IterableIterator<string> {
    for (const model of this.deps.catalogue.getModels()) {
      yield model.modelId;
    }
    yield* this.ownedModels.keys();
  }

  private reviewNext(): void {
    for (const modelId of this.reviewQueue.takeNext(() => this.getAllModelIds())) {
      this.reviewModel(modelId);
    }
  }

  private reviewModel(modelId: string): void {
    const ownedModel = this.ownedModels.get(modelId);
    const model = this.deps.catalogue.getModel(modelId);
    if (model && this.deps.membership.isOwnerOf(modelId, this.deps.clock.nowMs())) {
      const owned = ownedModel ?? this.getOrAddModel(model);
      this.followServers(model, owned);
      runInBackground('review of a placement', () => this.review(model, owned));
    } else if (ownedModel) {
      this.removeModel(modelId, ownedModel);
    }
  }

  /** Removes a model that another router owns now, once no request is waiting or running here. */
  private removeModel(modelId: string, ownedModel: OwnedModel): void {
    if (ownedModel.scheduler.queue.length > 0 || ownedModel.scheduler.runningCount > 0) {
      return;
    }
    for (const serverId of ownedModel.followedServers) {
      this.agentConnections.unfollow(serverId, modelId);
    }
    this.ownedModels.delete(modelId);
  }

  private async review(model: CatalogueModel, ownedModel: OwnedModel): Promise<void> {
    if (ownedModel.isUnderReview || model.model === undefined || this.isStopping) {
      return;
    }
    ownedModel.isUnderReview = true;
    try {
      const isUnchanged = await this.deps.reviewer.review(model, ownedModel.scheduler);
      if (!isUnchanged) {
        this.reviewQueue.add(model.modelId);
      }
    } finally {
      ownedModel.isUnderReview = false;
    }
  }

  private onStateChange(path: string): void {
    if (path.startsWith(QUARANTINE_PREFIX)) {
      this.quarantines.onObjectChange(path);
      return;
    }
    if (!path.startsWith(PLACEMENT_PREFIX)) {
      this.reviewQueue.addAll(this.getAllModelIds());
      return;
    }
    const modelId = path.slice(PLACEMENT_PREFIX.length);
    const ownedModel = this.ownedModels.get(modelId);
    const model = this.deps.catalogue.getModel(modelId);
    if (ownedModel && model) {
      this.followServers(model, ownedModel);
      this.reviewQueue.add(modelId);
    }
  }

  /** Follows the model on the servers that may load it, and sets them on its scheduler. */
  private followServers(model: CatalogueModel, ownedModel: OwnedModel): void {
    const placement = this.deps.catalogue.getPlacement(model.modelId);
    const pool = this.deps.reviewer.getPoolServers(model);
    const serverIds =
      model.model === undefined
        ? pool.map((server) => server.serverId)
        : (placement?.value.grants ?? []).map((grant) => toServerId(grant.serverId));
    ownedModel.scheduler.setServers(serverIds);
    for (const serverId of ownedModel.followedServers) {
      if (!serverIds.some((candidate) => candidate === serverId)) {
        this.agentConnections.unfollow(serverId, model.modelId);
      }
    }
    ownedModel.followedServers = new Set(serverIds);
    for (const serverId of serverIds) {
      const grant = placement?.value.grants.find((candidate) => candidate.serverId === serverId);
      const server = pool.find((candidate) => candidate.serverId === serverId);
      ownedModel.scheduler
        .getReplica(serverId)
        ?.setLeaving(grant?.state === 'revoking' || server?.leaving !== false);
      const address = this.deps.membership.get(serverId)?.peerAddress;
      if (address !== undefined) {
        this.agentConnections.follow(serverId, address, { modelId: model.modelId, placement });
      }
    }
  }

  private executeCommands(model: CatalogueModel, scheduler: ModelScheduler): void {
    for (const command of scheduler.takeCommands()) {
      switch (command.kind) {
        case 'assign':
          this.replyAssigned(model, scheduler, command);
          break;
        case 'refuse':
          this.replyRefused(command);
          break;
        case 'wake':
          runInBackground('load request', () =>
            this.requestLoad(model, command.serverId, command.keepAliveMs),
          );
          break;
        case 'quarantine':
          runInBackground('quarantine', () => this.quarantines.add(command.fingerprint, model.modelId));
          break;
      }
    }
  }

  private replyAssigned(
    model: CatalogueModel,
    scheduler: ModelScheduler,
    command: SchedulerCommand & { kind: 'assign' },
  ): void {
    const resolve = this.waitingReplies.get(command.requestId);
    this.waitingReplies.delete(command.requestId);
    const peerAddress = this.deps.membership.get(command.serverId)?.peerAddress;
    if (!resolve || peerAddress === undefined) {
      scheduler.onRequestAbandoned(command.requestId, this.deps.clock.nowMs());
      resolve?.({
        kind: 'refused',
        reason: 'noServer',
        detail: 'The server is gone.',
        retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
      });
      return;
    }
    this.deps.metrics.recordMs('queue_ms', command.queuedMs);
    this.deps.metrics.count(`home_assigned_${model.service.requestClass}`);
    const { serverId, queuedMs, loadMs, alone, incarnation } = command;
    resolve({
      kind: 'assigned',
      assignment: { serverId, queuedMs, loadMs, alone, incarnation, peerAddress },
    });
  }

  private replyRefused(command: SchedulerCommand & { kind: 'refuse' }): void {
    const resolve = this.waitingReplies.get(command.requestId);
    this.waitingReplies.delete(command.requestId);
    this.deps.metrics.count(`home_refused_${command.reason}`);
    resolve?.({ ...command, kind: 'refused' });
  }

  private async requestLoad(model: CatalogueModel, serverId: string, keepAliveMs: number): Promise<void> {
    const address = this.deps.membership.get(serverId)?.peerAddress;
    const placement = this.deps.catalogue.getPlacement(model.modelId);
    if (address === undefined) {
      return;
    }
    const params: WakeParams = { modelId: model.modelId, placement, sizeBytes: model.sizeBytes, keepAliveMs };
    this.deps.metrics.count('home_wakes');
    try {
      const connection = await this.agentConnections.getConnection(address);
      const reply = await connection.call<WakeReply>(AGENT_METHODS.wake, params);
      this.onReport(reply.report);
      if (reply.refusedBecause) {
        this.deps.metrics.count(`home_wakes_refused_${reply.refusedBecause}`);
        this.updateScheduler(model.modelId, (scheduler, nowMs) => scheduler.onLoadRefused(serverId, nowMs));
      }
    } catch {
      this.updateScheduler(model.modelId, (scheduler, nowMs) => scheduler.onLoadRefused(serverId, nowMs));
    }
  }
}
