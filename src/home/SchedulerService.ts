import type { Clock, Service } from '../kernel/index.js';
import { delay, PeriodicTask } from '../kernel/index.js';
import {
  AGENT_METHODS,
  PLACEMENT_PREFIX,
  QUARANTINE_PREFIX,
  toServerId,
  type AssignParams,
  type AssignReply,
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

/** Time between two ticks of the homes that have work, in milliseconds. */
const TICK_MS = 50;
/** Ticks between two of the homes that have none. */
const IDLE_TICKS = 20;
/** Time between two reviews of the placements that something changed for, in milliseconds. */
const REVIEW_INTERVAL_MS = 500;
/** Time after which a caller of a stopping or unknown home should come back, in milliseconds. */
const COME_BACK_MS = 1_000;

/** What the service is made of. */
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

interface HostedModel {
  readonly home: ModelScheduler;
  followedServers: Set<string>;
  reviewing: boolean;
}

/** Is the home of the models that hash to this router, and of any model that another router takes it for. */
export class SchedulerService implements Service {
  private readonly hosted = new Map<string, HostedModel>();
  private readonly waitingReplies = new Map<string, (reply: AssignReply) => void>();
  private readonly crashes = new CrashLedger();
  private readonly quarantines: QuarantineStore;
  private readonly links: AgentConnections;
  private readonly ticker: PeriodicTask;
  private readonly reviews: PeriodicTask;
  private readonly active = new Set<string>();
  private readonly toReview = new ReviewQueue();
  private tickCount = 0;
  private stopping = false;

  /** @param deps - What the service is made of. */
  constructor(private readonly deps: SchedulerServiceDependencies) {
    this.quarantines = new QuarantineStore(deps, this.crashes);
    this.links = new AgentConnections(deps.clock, deps.dialer, {
      onReport: (report) => this.reported(report),
      lost: (serverId) => this.lost(serverId),
    });
    this.ticker = new PeriodicTask(deps.clock, TICK_MS, () => this.tick());
    this.reviews = new PeriodicTask(deps.clock, REVIEW_INTERVAL_MS, () => this.reviewNext());
    deps.state.onChange((path) => this.stateChanged(path));
    deps.membership.onChange(() => this.toReview.addAll(this.allModelIds()));
    deps.metrics.gauge('home_models', () => this.hosted.size);
    deps.metrics.gauge('home_waiting', () => this.waitingReplies.size);
  }

  start(): Promise<void> {
    this.ticker.start();
    this.reviews.start();
    this.toReview.addAll(this.allModelIds());
    this.reviewNext();
    return Promise.resolve();
  }

  /** Takes no new requests and ends when the waiting ones have been assigned or refused. */
  async stop(): Promise<void> {
    this.stopping = true;
    while (this.waitingReplies.size > 0) {
      await delay(this.deps.clock, TICK_MS);
    }
    this.ticker.stop();
    this.reviews.stop();
  }

  /**
   * Finds a server for a request; the answer comes when one is free, or with a refusal.
   * @param params - The request.
   */
  assign(params: AssignParams): Promise<AssignReply> {
    const model = this.deps.catalogue.getModel(params.modelId);
    if (this.stopping || !model) {
      const reason = this.stopping ? 'routerStopping' : 'unknownModel';
      const detail = this.stopping
        ? 'The router is stopping.'
        : `No service has the model ${params.modelId}.`;
      return Promise.resolve({ kind: 'refused', reason, detail, retryAfterMs: COME_BACK_MS });
    }
    const { home } = this.host(model);
    this.active.add(model.modelId);
    return new Promise((resolve) => {
      this.waitingReplies.set(params.requestId, resolve);
      home.onRequestArrived(params, this.deps.clock.nowMs());
      this.carryOut(model, home);
    });
  }

  /** @param params - Request that its router gave up while it waited or ran. */
  abandon(params: { readonly requestId: string; readonly modelId: string }): void {
    const resolve = this.waitingReplies.get(params.requestId);
    this.waitingReplies.delete(params.requestId);
    resolve?.({ kind: 'refused', reason: 'cancelled', detail: 'The request was given up.' });
    this.withHome(params.modelId, (home, nowMs) => home.onRequestAbandoned(params.requestId, nowMs));
  }

  /** @param params - End of an assigned request. */
  release(params: ReleaseParams): void {
    this.withHome(params.modelId, (home, nowMs) => home.onReleased(params, nowMs));
  }

  /** @param report - Report that an agent sent. */
  reported(report: ReplicaReport): void {
    this.toReview.add(report.modelId);
    this.withHome(report.modelId, (home, nowMs) => home.onReport(report, nowMs));
  }

  /** @param modelId - Model whose state is wanted; undefined when this router is not its home. */
  explain(modelId: string): ModelExplanation | undefined {
    const home = this.hosted.get(modelId)?.home;
    const placement = this.deps.catalogue.getPlacement(modelId);
    return home && explainModel(modelId, home, placement, this.deps.clock.nowMs());
  }

  /**
   * Time left of the most urgent request that waits for a model, in milliseconds.
   * @param modelId - The model.
   */
  mostUrgentRemainingMs(modelId: string): number {
    let deadlineAtMs = Infinity;
    for (const request of this.hosted.get(modelId)?.home.line.all() ?? []) {
      deadlineAtMs = Math.min(deadlineAtMs, request.deadlineAtMs);
    }
    return deadlineAtMs - this.deps.clock.nowMs();
  }

  /** Models that this router is a home of. */
  getHostedModelIds(): string[] {
    return [...this.hosted.keys()];
  }

  private withHome(modelId: string, change: (home: ModelScheduler, nowMs: number) => void): void {
    const hosted = this.hosted.get(modelId);
    const model = this.deps.catalogue.getModel(modelId);
    if (hosted && model) {
      this.active.add(modelId);
      change(hosted.home, this.deps.clock.nowMs());
      this.carryOut(model, hosted.home);
    }
  }

  private lost(serverId: string): void {
    for (const [modelId, hosted] of this.hosted) {
      if (hosted.followedServers.has(serverId)) {
        this.withHome(modelId, (home, nowMs) => home.onServerLost(serverId, nowMs));
      }
    }
  }

  private host(model: CatalogueModel): HostedModel {
    const existing = this.hosted.get(model.modelId);
    if (existing) {
      return existing;
    }
    const home = new ModelScheduler({
      alwaysLoaded: model.model === undefined,
      keepAlive: new HistogramKeepAlivePolicy(model.service.weighing),
      crashes: this.crashes,
    });
    const hosted: HostedModel = { home, followedServers: new Set(), reviewing: false };
    this.hosted.set(model.modelId, hosted);
    this.followServers(model, hosted);
    void this.review(model, hosted);
    return hosted;
  }

  private tick(): void {
    this.tickCount++;
    const isForAll = this.tickCount % IDLE_TICKS === 0;
    for (const modelId of isForAll ? this.hosted.keys() : [...this.active]) {
      this.withHome(modelId, (home, nowMs) => home.tick(nowMs));
      const home = this.hosted.get(modelId)?.home;
      if (!home || (home.line.length === 0 && home.runningCount === 0)) {
        this.active.delete(modelId);
      }
    }
  }

  /** Every configured model, and those hosted here that no longer are. */
  private *allModelIds(): IterableIterator<string> {
    for (const model of this.deps.catalogue.getModels()) {
      yield model.modelId;
    }
    yield* this.hosted.keys();
  }

  private reviewNext(): void {
    for (const modelId of this.toReview.takeNext(() => this.allModelIds())) {
      this.reviewModel(modelId);
    }
  }

  private reviewModel(modelId: string): void {
    const hosted = this.hosted.get(modelId);
    const model = this.deps.catalogue.getModel(modelId);
    if (model && this.deps.membership.isOwnerOf(modelId, this.deps.clock.nowMs())) {
      const own = hosted ?? this.host(model);
      this.followServers(model, own);
      void this.review(model, own);
    } else if (hosted) {
      this.retire(modelId, hosted);
    }
  }

  /** Gives up a model that another router is the home of now, once nothing waits or runs here. */
  private retire(modelId: string, hosted: HostedModel): void {
    if (hosted.home.line.length > 0 || hosted.home.runningCount > 0) {
      return;
    }
    for (const serverId of hosted.followedServers) {
      this.links.unfollow(serverId, modelId);
    }
    this.hosted.delete(modelId);
  }

  private async review(model: CatalogueModel, hosted: HostedModel): Promise<void> {
    if (hosted.reviewing || model.model === undefined || this.stopping) {
      return;
    }
    hosted.reviewing = true;
    const isSettled = await this.deps.reviewer.review(model, hosted.home);
    hosted.reviewing = false;
    if (!isSettled) {
      this.toReview.add(model.modelId);
    }
  }

  private stateChanged(path: string): void {
    if (path.startsWith(QUARANTINE_PREFIX)) {
      this.quarantines.changed(path);
      return;
    }
    if (!path.startsWith(PLACEMENT_PREFIX)) {
      this.toReview.addAll(this.allModelIds());
      return;
    }
    const modelId = path.slice(PLACEMENT_PREFIX.length);
    const hosted = this.hosted.get(modelId);
    const model = this.deps.catalogue.getModel(modelId);
    if (hosted && model) {
      this.followServers(model, hosted);
      this.toReview.add(modelId);
    }
  }

  /** Follows the model on the servers that may hold it, and tells the home who they are. */
  private followServers(model: CatalogueModel, hosted: HostedModel): void {
    const placement = this.deps.catalogue.getPlacement(model.modelId);
    const pool = this.deps.reviewer.getPool(model);
    const serverIds =
      model.model === undefined
        ? pool.map((server) => server.serverId)
        : (placement?.value.grants ?? []).map((grant) => toServerId(grant.serverId));
    hosted.home.setServers(serverIds);
    for (const serverId of hosted.followedServers) {
      if (!serverIds.some((candidate) => candidate === serverId)) {
        this.links.unfollow(serverId, model.modelId);
      }
    }
    hosted.followedServers = new Set(serverIds);
    for (const serverId of serverIds) {
      const grant = placement?.value.grants.find((candidate) => candidate.serverId === serverId);
      const server = pool.find((candidate) => candidate.serverId === serverId);
      hosted.home.getReplica(serverId)?.setLeaving(grant?.state === 'revoking' || server?.leaving !== false);
      const address = this.deps.membership.get(serverId)?.peerAddress;
      if (address !== undefined) {
        this.links.follow(serverId, address, { modelId: model.modelId, placement });
      }
    }
  }

  private carryOut(model: CatalogueModel, home: ModelScheduler): void {
    for (const command of home.takeCommands()) {
      switch (command.kind) {
        case 'assign':
          this.replyAssigned(model, home, command);
          break;
        case 'refuse':
          this.replyRefused(command);
          break;
        case 'wake':
          void this.wake(model, command.serverId, command.keepAliveMs);
          break;
        case 'quarantine':
          void this.quarantines.add(command.fingerprint, model.modelId);
          break;
      }
    }
  }

  private replyAssigned(
    model: CatalogueModel,
    home: ModelScheduler,
    command: SchedulerCommand & { kind: 'assign' },
  ): void {
    const resolve = this.waitingReplies.get(command.requestId);
    this.waitingReplies.delete(command.requestId);
    const peerAddress = this.deps.membership.get(command.serverId)?.peerAddress;
    if (!resolve || peerAddress === undefined) {
      home.onRequestAbandoned(command.requestId, this.deps.clock.nowMs());
      resolve?.({
        kind: 'refused',
        reason: 'noServer',
        detail: 'The server is gone.',
        retryAfterMs: COME_BACK_MS,
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

  private async wake(model: CatalogueModel, serverId: string, keepAliveMs: number): Promise<void> {
    const address = this.deps.membership.get(serverId)?.peerAddress;
    const placement = this.deps.catalogue.getPlacement(model.modelId);
    if (address === undefined) {
      return;
    }
    const params: WakeParams = { modelId: model.modelId, placement, sizeBytes: model.sizeBytes, keepAliveMs };
    this.deps.metrics.count('home_wakes');
    try {
      const connection = await this.links.connection(address);
      const reply = await connection.call<WakeReply>(AGENT_METHODS.wake, params);
      this.reported(reply.report);
      if (reply.refusedBecause) {
        this.deps.metrics.count(`home_wakes_refused_${reply.refusedBecause}`);
        this.withHome(model.modelId, (home, nowMs) => home.onWakeRefused(serverId, nowMs));
      }
    } catch {
      this.withHome(model.modelId, (home, nowMs) => home.onWakeRefused(serverId, nowMs));
    }
  }
}
