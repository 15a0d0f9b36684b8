import { delay, type Clock, type Service } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { PeerConnection, PeerMethods } from '../transport/index.js';
import {
  findReportChanges,
  ResidencyPlanner,
  type AgentReport,
  type PlannedOrder,
  type EngineReport,
} from './decisions/index.js';
import type { EnginePort, OrderResult } from './EnginePort.js';
import {
  RESIDENCY_METHODS,
  ROUTING_METHODS,
  type CrashedParams,
  type EnsureAdapterParams,
  type EngineReportParams,
  type EnsureAdapterReply,
  type FollowEngineParams,
  type ModelUseParams,
  type WantModelParams,
} from './messages.js';

/** Interval at which the engine's state is read, in milliseconds; the call stays on the machine. */
const POLL_INTERVAL_MS = 100;
/** The same while an order is being carried out. */
const BUSY_POLL_INTERVAL_MS = 40;
/** Interval at which routers get a report though nothing important changed, in milliseconds. */
const REPORT_INTERVAL_MS = 500;
/** Time that a request for an adapter may take, in milliseconds: loads take some ten. */
const ADAPTER_TIMEOUT_MS = 400;
/** Pause between two looks at an adapter on its way, in milliseconds. */
const ADAPTER_POLL_MS = 4;
/** Change of the engine's load that routers hear of at once, as requests. */
const LOAD_STEP = 4;
/** Most fingerprints of crashing requests that are kept. */
const MAX_CRASH_COUNTS = 200;

/** What the keeper is made of. */
export interface EngineControllerDependencies {
  readonly clock: Clock;
  readonly engine: EnginePort;
  /** Host and port of the engine. */
  readonly engineAddress: string;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A router that follows the engine. */
interface Follower {
  /** Requests of this router that run, by model. */
  readonly runningCounts: Map<string, number>;
}

/** The only sender of orders to one engine: carries out what routers want and reports what the engine holds. */
export class EngineController implements Service {
  private readonly planner = new ResidencyPlanner();
  private readonly followers = new Map<PeerConnection, Follower>();
  private readonly crashCounts = new Map<string, number>();
  private ordering: Promise<unknown> = Promise.resolve();
  private loadingModel: string | undefined;
  private loadingSinceMs = 0;
  private reportedAtMs = -Infinity;
  private reported: EngineReport | undefined;
  /** Report that all followers have; undefined when the next one must be whole. */
  private sent: AgentReport | undefined;
  private reportedPlan = '';
  private isEngineUp = true;
  private wake: () => void = () => undefined;
  private stopped = false;

  /** @param deps - What the keeper is made of. */
  constructor(private readonly deps: EngineControllerDependencies) {}

  /** Methods that routers call. */
  getMethods(): PeerMethods {
    return {
      [RESIDENCY_METHODS.follow]: (params: FollowEngineParams, from: PeerConnection) =>
        this.follow(params, from),
      [RESIDENCY_METHODS.want]: (params: WantModelParams) => this.want(params),
      [RESIDENCY_METHODS.started]: (params: ModelUseParams, from: PeerConnection) =>
        this.requestStarted(params, from),
      [RESIDENCY_METHODS.ended]: (params: ModelUseParams, from: PeerConnection) =>
        this.requestEnded(params, from),
      [RESIDENCY_METHODS.ensureAdapter]: (params: EnsureAdapterParams) => this.ensureAdapter(params),
      [RESIDENCY_METHODS.crashed]: (params: CrashedParams) => this.noteCrash(params),
    } as PeerMethods;
  }

  start(): Promise<void> {
    void this.work();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.stopped = true;
    return Promise.resolve();
  }

  private async work(): Promise<void> {
    while (!this.stopped) {
      await this.readEngine();
      const nowMs = this.deps.clock.nowMs();
      const order = this.planner.getNextOrder(nowMs);
      if (order) {
        await this.exclusively(() => this.carryOut(order));
      }
      this.reportIfDue();
      const wantedCount = this.planner.queuedModels.length;
      const isActive = wantedCount > 0 || this.planner.engineReport?.isBusy === true;
      const intervalMs = isActive ? BUSY_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
      await Promise.race([
        delay(this.deps.clock, intervalMs),
        new Promise<void>((resolve) => {
          this.wake = resolve;
        }),
      ]);
    }
  }

  private async readEngine(): Promise<void> {
    const { clock, engine, log } = this.deps;
    const report = await engine.readReport();
    if ((report !== undefined) !== this.isEngineUp) {
      this.isEngineUp = report !== undefined;
      if (report) {
        log.info('engine answers again', { bornAtMs: report.bornAtMs });
      } else {
        this.sent = undefined;
        log.warn('engine does not answer');
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
    this.planner.applyReport(report, clock.nowMs());
    if (!report.isBusy) {
      this.loadingModel = undefined;
    }
  }

  /** Sends one order, bound to the state that it was decided on. */
  private async carryOut(order: PlannedOrder): Promise<OrderResult> {
    const { engine, log, metrics } = this.deps;
    const state = this.planner.engineReport;
    if (!state) {
      return 'unknown';
    }
    const answer = await engine.sendOrder({ ...order, expectedOrderCount: state.orderCount });
    metrics.count(`orders_${order.kind}_${answer}`);
    log.decision('order', {
      kind: order.kind,
      model: order.model,
      adapter: order.adapter ?? '',
      expectedOrderCount: state.orderCount,
      answer,
    });
    if (answer === 'accepted' && order.kind === 'load' && order.adapter === undefined) {
      this.loadingModel = order.model;
      this.loadingSinceMs = this.deps.clock.nowMs();
    }
    if (answer === 'accepted' && order.kind === 'unload' && order.adapter === undefined) {
      this.planner.markUnloading(order.model);
    }
    await this.readEngine();
    return answer;
  }

  /** Runs one order after the other, since each is bound to the state that the one before left. */
  private exclusively<T>(run: () => Promise<T>): Promise<T> {
    const result = this.ordering.then(run);
    this.ordering = result.catch(() => undefined);
    return result;
  }

  private follow(params: FollowEngineParams, from: PeerConnection): void {
    this.planner.setCapacity({ ...params, models: new Map(params.models) });
    if (!this.followers.has(from)) {
      this.followers.set(from, { runningCounts: new Map() });
      if (this.sent) {
        from.notify(ROUTING_METHODS.report, this.sent);
      }
      from.onClose(() => this.unfollow(from));
      this.deps.log.info('router connected', { router: from.peerName });
    }
    this.report();
  }

  private unfollow(from: PeerConnection): void {
    const nowMs = this.deps.clock.nowMs();
    for (const [model, count] of this.followers.get(from)?.runningCounts ?? []) {
      for (let ended = 0; ended < count; ended++) {
        this.planner.onRequestEnded(model, false, nowMs);
      }
    }
    this.followers.delete(from);
    this.deps.log.info('router disconnected', { router: from.peerName });
  }

  private want({ model, isInteractive, keptModels }: WantModelParams): void {
    this.planner.requestModel(model, isInteractive, this.deps.clock.nowMs(), keptModels);
    this.wake();
  }

  private requestStarted({ model, isInteractive }: ModelUseParams, from: PeerConnection): void {
    const counts = this.followers.get(from)?.runningCounts;
    if (counts) {
      counts.set(model, (counts.get(model) ?? 0) + 1);
      this.planner.onRequestStarted(model, isInteractive, this.deps.clock.nowMs());
    }
  }

  private requestEnded({ model, isInteractive }: ModelUseParams, from: PeerConnection): void {
    const counts = this.followers.get(from)?.runningCounts;
    const count = counts?.get(model) ?? 0;
    if (counts && count > 0) {
      counts.set(model, count - 1);
      this.planner.onRequestEnded(model, isInteractive, this.deps.clock.nowMs());
    }
  }

  private async ensureAdapter({ model, adapter }: EnsureAdapterParams): Promise<EnsureAdapterReply> {
    const { clock } = this.deps;
    const untilMs = clock.nowMs() + ADAPTER_TIMEOUT_MS;
    this.planner.recordAdapterUse(model, adapter, clock.nowMs());
    while (clock.nowMs() < untilMs) {
      const state = this.adapterState(model, adapter);
      if (state === 'ready' || state === 'modelGone') {
        return { isReady: state === 'ready' };
      }
      if (state === 'absent' && this.planner.engineReport?.isBusy !== true) {
        await this.exclusively(() => this.orderAdapter(model, adapter));
      } else {
        await delay(clock, ADAPTER_POLL_MS);
        await this.readEngine();
      }
    }
    return { isReady: false };
  }

  private async orderAdapter(model: string, adapter: string): Promise<void> {
    const order =
      this.adapterState(model, adapter) === 'absent'
        ? this.planner.getAdapterOrder(model, adapter, this.deps.clock.nowMs())
        : undefined;
    const answer = order && (await this.carryOut(order));
    if (answer !== 'accepted' && answer !== 'alreadyDone') {
      await delay(this.deps.clock, ADAPTER_POLL_MS);
      await this.readEngine();
    }
  }

  private adapterState(model: string, adapter: string): 'ready' | 'coming' | 'absent' | 'modelGone' {
    const engine = this.planner.engineReport;
    const held = engine?.heldModels.find(({ name }) => name === model);
    if (!engine || !held) {
      return 'modelGone';
    }
    if (held.adapters.includes(adapter)) {
      return 'ready';
    }
    return engine.comingAdapters.includes(`${model}/${adapter}`) ? 'coming' : 'absent';
  }

  private noteCrash({ fingerprint, crashCount }: CrashedParams): void {
    const count = Math.max(crashCount, this.crashCounts.get(fingerprint) ?? 0);
    this.crashCounts.delete(fingerprint);
    this.crashCounts.set(fingerprint, count);
    const oldest = this.crashCounts.keys().next();
    if (this.crashCounts.size > MAX_CRASH_COUNTS && oldest.done !== true) {
      this.crashCounts.delete(oldest.value);
    }
    this.deps.log.decision('crash noted', { fingerprint, crashCount: count });
    this.report();
  }

  private reportIfDue(): void {
    const engine = this.planner.engineReport;
    const isOld = this.deps.clock.nowMs() - this.reportedAtMs >= REPORT_INTERVAL_MS;
    const plan = this.describePlan();
    if (
      engine &&
      (isOld || plan !== this.reportedPlan || !this.reported || hasChanged(this.reported, engine))
    ) {
      this.reportedPlan = plan;
      this.report();
    }
  }

  /** What routers must know at once: which models take requests and which are on their way. */
  private describePlan(): string {
    const held = this.planner.engineReport?.heldModels ?? [];
    const taking = held.filter(({ name }) => this.planner.acceptsRequests(name)).map(({ name }) => name);
    return [...taking, '|', ...this.planner.queuedModels].join(' ');
  }

  private report(): void {
    const engine = this.planner.engineReport;
    if (!engine || !this.isEngineUp) {
      return;
    }
    this.reported = engine;
    this.reportedAtMs = this.deps.clock.nowMs();
    const report: AgentReport = {
      ...engine,
      address: this.deps.engineAddress,
      loadingModel: this.loadingModel,
      loadingForMs: this.reportedAtMs - this.loadingSinceMs,
      queuedModels: this.planner.queuedModels,
      heldModels: engine.heldModels.filter(({ name }) => this.planner.acceptsRequests(name)),
      uses: this.planner.getModelUses(this.reportedAtMs),
      routerCount: this.followers.size,
      crashCounts: Object.fromEntries(this.crashCounts),
    };
    const changes: EngineReportParams = findReportChanges(this.sent, report);
    this.sent = report;
    for (const connection of this.followers.keys()) {
      connection.notify(ROUTING_METHODS.report, changes);
    }
  }
}

/** Whether routers should hear of a state before the next report is due. */
function hasChanged(before: EngineReport, now: EngineReport): boolean {
  const loadChange = Math.abs(
    now.runningCount + now.waitingCount - before.runningCount - before.waitingCount,
  );
  return (
    loadChange >= LOAD_STEP ||
    now.isBusy !== before.isBusy ||
    now.orderCount !== before.orderCount ||
    now.heldModels.length !== before.heldModels.length ||
    now.comingAdapters.length !== before.comingAdapters.length
  );
}
