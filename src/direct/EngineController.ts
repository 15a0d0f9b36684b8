import { delay, keepRunning, type Clock, type Service, setNewest } from '../kernel/index.js';
import type { ServerId } from '../domain/index.js';
import { ModelPaceAverages } from '../pace/decisions/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { PeerConnection, PeerMethods } from '../transport/index.js';
import {
  describeRateLimit,
  EngineCrashRecorder,
  isHistoryList,
  isPartList,
  ResidencyPlanner,
  type AgentReport,
  type EngineCrash,
  type EngineReport,
} from './decisions/index.js';
import { EngineOrders } from './EngineOrders.js';
import type { EnginePort } from './EnginePort.js';
import { ReportPublisher } from './ReportPublisher.js';
import { RequestCrashRecorder } from './RequestCrashRecorder.js';
import {
  RESIDENCY_METHODS,
  ROUTING_METHODS,
  type BrokenOffParams,
  type EnsureAdapterParams,
  type EnsureAdapterReply,
  type FollowEngineParams,
  type LeavingParams,
  type ModelUseParams,
  type PartsAnsweredParams,
  type SubscribeEngineParams,
  type SubscribeEngineReply,
  type WantModelParams,
} from './messages.js';

/** Interval at which the engine's state is read, in milliseconds; the request does not leave the machine. */
const POLL_INTERVAL_MS = 100;
/** Interval at which the engine's state is read while it carries out an order or models are queued, in milliseconds. */
const BUSY_POLL_INTERVAL_MS = 40;
/** Time for which an agent waits for the engine profile from one router before it asks another, in milliseconds. */
const PROFILE_TIMEOUT_MS = 1_000;
/** Maximum number of stored leaving servers. */
const MAX_LEAVING_SERVERS = 200;
/** Maximum number of prompt parts in a log line. */
const MAX_LOGGED_PARTS = 8;

/** Dependencies of {@link EngineController}. */
export interface EngineControllerDependencies {
  readonly clock: Clock;
  readonly engine: EnginePort;
  /** Host and port of the engine. */
  readonly engineAddress: string;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * The only sender of orders to one engine: carries out the load requests of routers and reports the engine's state to
 * them.
 */
export class EngineController implements Service {
  private readonly planner = new ResidencyPlanner();
  private readonly orders: EngineOrders;
  private readonly publisher: ReportPublisher;
  /** Numbers of running requests of each connected router, by model. */
  private readonly runningCounts = new Map<PeerConnection, Map<string, number>>();
  private readonly paceAverages = new ModelPaceAverages();
  private readonly requestCrashes: RequestCrashRecorder;
  private readonly crashRecorder = new EngineCrashRecorder();
  /** Start times of servers that routers have found to be leaving. */
  private readonly leavingServers = new Map<ServerId, number>();
  private isEngineUp = true;
  /** Time until which a router that was asked for the engine profile may send it. */
  private profileAwaitedUntilMs = -Infinity;
  private endDelay: () => void = () => undefined;
  private stopped = false;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: EngineControllerDependencies) {
    const { clock, engine, log, metrics } = deps;
    const { planner } = this;
    const onReading = (report: EngineReport | undefined) => this.onReading(report);
    this.orders = new EngineOrders({ clock, engine, planner, log, metrics, onReading });
    this.publisher = new ReportPublisher(clock);
    this.requestCrashes = new RequestCrashRecorder({
      clock,
      log,
      onChange: () => this.publishReport(true),
      notifyRouters: (method, params) => this.publisher.notify(method, params),
    });
  }

  /** Number of routers that are connected to this agent. */
  get routerCount(): number {
    return this.publisher.followerCount;
  }

  /** Returns the methods that routers call. */
  getMethods(): PeerMethods {
    return {
      ...this.requestCrashes.getMethods(),
      [RESIDENCY_METHODS.subscribe]: (params: SubscribeEngineParams, from: PeerConnection) =>
        this.onSubscribe(params, from),
      [RESIDENCY_METHODS.follow]: (params: FollowEngineParams, from: PeerConnection) =>
        this.onFollow(params, from),
      [RESIDENCY_METHODS.want]: (params: WantModelParams, from: PeerConnection) =>
        this.onLoadRequest(params, from),
      [RESIDENCY_METHODS.started]: (params: ModelUseParams, from: PeerConnection) =>
        this.onRequestStarted(params, from),
      [RESIDENCY_METHODS.ended]: (params: ModelUseParams, from: PeerConnection) =>
        this.onRequestEnded(params, from),
      [RESIDENCY_METHODS.ensureAdapter]: (params: EnsureAdapterParams) => this.ensureAdapter(params),
      [RESIDENCY_METHODS.leaving]: (params: LeavingParams) => this.onLeaving(params),
      [RESIDENCY_METHODS.brokenOff]: (params: BrokenOffParams) => this.onBrokenOff(params),
      [RESIDENCY_METHODS.partsAnswered]: (params: PartsAnsweredParams) => this.onPartsAnswered(params),
    } as PeerMethods;
  }

  start(): Promise<void> {
    keepRunning('control of the engine', this.deps.clock, () => this.runLoop());
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.stopped = true;
    return Promise.resolve();
  }

  private async runLoop(): Promise<void> {
    while (!this.stopped) {
      await this.orders.read();
      await this.orders.orderModel();
      this.publishReport(this.planner.takeNewDrain());
      this.publishCrashes();
      const queuedCount = this.planner.queuedModels.length;
      const isActive = queuedCount > 0 || this.planner.engineReport?.isBusy === true;
      const intervalMs = isActive ? BUSY_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
      await Promise.race([
        delay(this.deps.clock, intervalMs),
        new Promise<void>((resolve) => {
          this.endDelay = resolve;
        }),
      ]);
    }
  }

  private onReading(report: EngineReport | undefined): void {
    const { clock, log, metrics } = this.deps;
    if (this.crashRecorder.recordReading(report?.bornAtMs, clock.nowMs())) {
      metrics.count('engine_crashes');
    }
    if ((report !== undefined) !== this.isEngineUp) {
      this.isEngineUp = report !== undefined;
      if (report) {
        log.info('engine is reachable again', { bornAtMs: report.bornAtMs });
      } else {
        this.publisher.reset();
        log.warn('engine is unreachable', { bornAtMs: this.planner.engineReport?.bornAtMs ?? 0 });
      }
    }
    if (!report) {
      return;
    }
    if (this.planner.engineReport?.bornAtMs !== report.bornAtMs) {
      log.info('engine found', {
        bornAtMs: report.bornAtMs,
        held: report.heldModels.map(({ name }) => name).join(' '),
        inMemory: report.modelsInMemory.join(' '),
        onDisk: report.modelsOnDisk.join(' '),
      });
    }
    const maxRequestsPerSecond = report.maxRequestsPerSecond ?? null;
    if ((this.planner.engineReport?.maxRequestsPerSecond ?? null) !== maxRequestsPerSecond) {
      log.decision('engine limits its requests', describeRateLimit(maxRequestsPerSecond));
    }
    this.planner.applyReport(report, clock.nowMs());
    if (!report.isBusy) {
      this.orders.onIdle();
    }
  }

  private onSubscribe(params: SubscribeEngineParams, from: PeerConnection): SubscribeEngineReply {
    const nowMs = this.deps.clock.nowMs();
    const isKnown = this.planner.confirmCapacity(params.configurationVersion, params.profileDigest);
    this.addFollower(from);
    if (isKnown) {
      return { profileState: 'known' };
    }
    if (nowMs < this.profileAwaitedUntilMs) {
      return { profileState: 'pending' };
    }
    this.profileAwaitedUntilMs = nowMs + PROFILE_TIMEOUT_MS;
    return { profileState: 'wanted' };
  }

  private onFollow(params: FollowEngineParams, from: PeerConnection): void {
    this.planner.setCapacity({ ...params, models: new Map(params.models) });
    this.profileAwaitedUntilMs = -Infinity;
    if (typeof params.healthPath === 'string') {
      this.orders.setHealthPath(params.healthPath);
    }
    this.addFollower(from);
  }

  /** Sends a router that is new the current state; the others receive what has changed with their next report. */
  private addFollower(from: PeerConnection): void {
    if (!this.publisher.add(from)) {
      return;
    }
    this.runningCounts.set(from, new Map());
    from.onClose(() => this.onDisconnect(from));
    this.deps.log.info('router connected', { router: from.peerName });
    this.sendCrashes(this.crashRecorder.getCrashes(this.deps.clock.nowMs()), from);
    this.publishReport();
  }

  private onDisconnect(from: PeerConnection): void {
    const nowMs = this.deps.clock.nowMs();
    for (const [model, count] of this.runningCounts.get(from) ?? []) {
      for (let ended = 0; ended < count; ended++) {
        this.planner.onRequestEnded(model, false, nowMs);
      }
    }
    this.runningCounts.delete(from);
    this.publisher.remove(from);
    this.deps.log.info('router disconnected', { router: from.peerName });
  }

  private onLoadRequest(params: WantModelParams, from: PeerConnection): void {
    this.publisher.recordUse(from);
    const { model, isInteractive, ...evictions } = params;
    this.planner.requestModel(model, isInteractive, this.deps.clock.nowMs(), evictions);
    this.endDelay();
  }

  private onRequestStarted({ model, isInteractive }: ModelUseParams, from: PeerConnection): void {
    const counts = this.runningCounts.get(from);
    if (counts) {
      this.publisher.recordUse(from);
      counts.set(model, (counts.get(model) ?? 0) + 1);
      this.planner.onRequestStarted(model, isInteractive, this.deps.clock.nowMs());
    }
  }

  private onRequestEnded({ model, isInteractive, eventGapMs }: ModelUseParams, from: PeerConnection): void {
    const counts = this.runningCounts.get(from);
    const count = counts?.get(model) ?? 0;
    if (counts && count > 0) {
      counts.set(model, count - 1);
      const nowMs = this.deps.clock.nowMs();
      this.planner.onRequestEnded(model, isInteractive, nowMs);
      this.paceAverages.record(model, eventGapMs, this.planner.engineReport?.runningCount ?? 0, nowMs);
    }
  }

  private async ensureAdapter({ model, adapter }: EnsureAdapterParams): Promise<EnsureAdapterReply> {
    return { isReady: await this.orders.ensureAdapter(model, adapter) };
  }

  private onBrokenOff({ bornAtMs, promptParts, histories = [] }: BrokenOffParams): void {
    if (Number.isFinite(bornAtMs) && isPartList(promptParts)) {
      const knownHistories = isHistoryList(histories) ? histories : [];
      this.crashRecorder.recordBreak(bornAtMs, promptParts, knownHistories, this.deps.clock.nowMs());
    }
  }

  private onPartsAnswered({ promptParts }: PartsAnsweredParams): void {
    if (isPartList(promptParts)) {
      this.crashRecorder.exonerate(promptParts);
    }
  }

  /** Sends the crashes that have changed to all routers, also while the engine is down and no report is sent. */
  private publishCrashes(): void {
    const changes = this.crashRecorder.takeChanges(this.deps.clock.nowMs());
    for (const { bornAtMs, requestCounts } of changes) {
      const promptParts = Object.keys(requestCounts);
      this.deps.log.decision('engine crash recorded', {
        bornAtMs,
        partCount: promptParts.length,
        promptParts: promptParts.slice(0, MAX_LOGGED_PARTS).join(' '),
      });
    }
    this.sendCrashes(changes, this.publisher);
  }

  private sendCrashes(crashes: readonly EngineCrash[], to: Pick<PeerConnection, 'notify'>): void {
    if (crashes.length > 0) {
      to.notify(ROUTING_METHODS.engineCrashes, { address: this.deps.engineAddress, crashes });
    }
  }

  private onLeaving({ serverId, bornAtMs }: LeavingParams): void {
    if (bornAtMs <= (this.leavingServers.get(serverId) ?? -Infinity)) {
      return;
    }
    setNewest(this.leavingServers, serverId, bornAtMs, MAX_LEAVING_SERVERS);
    this.deps.log.decision('leaving server recorded', { serverId, bornAtMs });
    this.publishReport(true);
  }

  /**
   * Sends the current state to the routers for which a report is due.
   * @param isForced - Whether to send it to all routers in any case.
   */
  private publishReport(isForced = false): void {
    const engine = this.planner.engineReport;
    if (!engine || !this.isEngineUp || this.publisher.followerCount === 0) {
      return;
    }
    const nowMs = this.deps.clock.nowMs();
    const report: AgentReport = {
      ...engine,
      address: this.deps.engineAddress,
      loadingModel: this.orders.loadingModel,
      loadingForMs: this.orders.getLoadingForMs(nowMs),
      queuedModels: this.planner.queuedModels,
      heldModels: engine.heldModels.filter(({ name }) => this.planner.acceptsRequests(name)),
      uses: this.planner.getModelUses(nowMs),
      routerCount: this.publisher.followerCount,
      configurationVersion: this.planner.configurationVersion,
      crashCounts: this.requestCrashes.blockedCounts,
      leavingServers: Object.fromEntries(this.leavingServers),
      paces: this.paceAverages.getPaces(nowMs),
    };
    this.deps.metrics.count('reports_sent', this.publisher.publish(report, isForced));
  }
}
