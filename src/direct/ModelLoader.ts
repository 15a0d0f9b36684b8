import type { Clock, Service, Timer } from '../kernel/index.js';
import { PeriodicTask } from '../kernel/index.js';
import type { ServiceId } from '../domain/index.js';
import type { Log } from '../telemetry/index.js';
import type { AgentConnections } from './AgentConnections.js';
import { replicatedModels, toNeed, type ModelWait, type WaitedModel, type WaitResult } from './modelWaits.js';
import {
  choosePlacement,
  findPendingLoad,
  findScarceModels,
  getHeldModel,
  type EngineProfile,
  type FleetView,
  type KnownServer,
  type PlacementChoice,
  type ServerChooser,
} from './decisions/index.js';

/** Interval at which models that requests wait for are looked at, in milliseconds. */
const TICK_MS = 100;
/** Time for which news of servers are gathered before waits are looked at, in milliseconds: agents report by the dozen. */
const GATHER_MS = 15;
/** Interval at which a wish is repeated, in milliseconds; agents forget it after three. */
const REPEAT_MS = 500;
/** Time after which an agent's report shows a wish that it took, in milliseconds: one of its looks and the way. */
const REPORT_MS = 150;
/** Time by which a second load must be ready before one on its way to be worth a place, in milliseconds. */
const MUCH_SOONER_MS = 1_000;
/** Interval at which the replicas of live models are looked at, in milliseconds. */
const REPLICA_INTERVAL_MS = 250;
/** Time after its last live request for which a model keeps its replicas, in milliseconds. */
const LIVE_USE_MS = 2_000;
/** Fewest replicas of a model in live use, so that the loss of one server leaves the others. */
const MIN_LIVE_REPLICAS = 2;
/** Mean load of a model's servers, as a share of their slots, above which another replica is loaded. */
const REPLICA_LOAD = 0.45;
/** Pause between two new replicas of one model, in milliseconds: a load from disk shows in the load by then. */
const REPLICA_PAUSE_MS = 1_500;

/** Pause after models were fetched ahead, in milliseconds: reports show by then which agent loads what. */
const FETCH_PAUSE_MS = 600;
/** Servers that should have each model on their disk, brought about as long as no requests come. */
const IDLE_COPIES = 2;

/** Dependencies of the model loader. */
export interface ModelLoaderDependencies {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly chooser: ServerChooser;
  readonly agentConnections: AgentConnections;
  readonly log: Log;
}

/** Live use of a model at this router. */
interface LiveUse {
  readonly serviceId: ServiceId;
  usedAtMs: number;
  replicaWantedAtMs: number;
}

/** Gets models loaded that requests wait for, and keeps enough replicas of those in live use. */
export class ModelLoader implements Service {
  private readonly waited = new Map<string, WaitedModel>();
  private readonly liveUses = new Map<string, LiveUse>();
  private fetchedAtMs = -Infinity;
  /** When the first request came; undefined before. */
  private trafficSinceMs: number | undefined;
  private newsTimer: Timer | undefined;
  private readonly ticker: PeriodicTask;
  private readonly replicaTicker: PeriodicTask;

  /** @param deps - Dependencies of the model loader. */
  constructor(private readonly deps: ModelLoaderDependencies) {
    this.ticker = new PeriodicTask(deps.clock, TICK_MS, () => this.reviewWaits());
    this.replicaTicker = new PeriodicTask(deps.clock, REPLICA_INTERVAL_MS, () => this.reviewReplicas());
  }

  start(): Promise<void> {
    this.ticker.start();
    this.replicaTicker.start();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.newsTimer?.cancel();
    this.ticker.stop();
    this.replicaTicker.stop();
    return Promise.resolve();
  }

  /** Notes that requests come. */
  recordTraffic(): void {
    this.trafficSinceMs ??= this.deps.clock.nowMs();
  }

  /**
   * Notes a live request for a model.
   * @param serviceId - Service of the model.
   * @param model - The model.
   */
  recordInteractiveUse(serviceId: ServiceId, model: string): void {
    const nowMs = this.deps.clock.nowMs();
    const use = this.liveUses.get(model);
    if (use) {
      use.usedAtMs = nowMs;
    } else {
      this.liveUses.set(model, { serviceId, usedAtMs: nowMs, replicaWantedAtMs: -Infinity });
    }
  }

  /**
   * Waits until a server holds a model; refuses at once when that can't be in time.
   * @param wait - What is waited for.
   */
  waitFor(wait: ModelWait): Promise<WaitResult> {
    const footprint = this.profileOf(wait.serviceId)?.models.get(wait.model);
    if (!footprint) {
      return Promise.resolve({ kind: 'noPlace' });
    }
    return new Promise((resolve) => {
      let waited = this.waited.get(wait.model);
      if (!waited) {
        const { model, serviceId, isInteractive } = wait;
        waited = {
          model,
          footprint,
          isInteractive,
          serviceId,
          sinceMs: this.deps.clock.nowMs(),
          waiters: new Map(),
          wantedAtMs: -Infinity,
          wantedAddress: undefined,
        };
        this.waited.set(model, waited);
      }
      waited.waiters.set(wait.requestId, { wait, resolve });
      const nowMs = this.deps.clock.nowMs();
      this.review(waited, this.serversOf(wait.serviceId, nowMs), nowMs);
    });
  }

  /**
   * Ends a wait, since its request ended otherwise.
   * @param model - The model.
   * @param requestId - The request.
   */
  stopWaiting(model: string, requestId: string): void {
    const waited = this.waited.get(model);
    waited?.waiters.delete(requestId);
    if (waited?.waiters.size === 0) {
      this.waited.delete(model);
    }
  }

  /** Has all waits looked at again, since the view changed; once for all news of a moment. */
  scheduleReview(): void {
    if (this.waited.size > 0) {
      this.newsTimer ??= this.deps.clock.schedule(GATHER_MS, () => this.reviewWaits());
    }
  }

  /** Looks at all waits again. */
  reviewWaits(): void {
    this.newsTimer?.cancel();
    this.newsTimer = undefined;
    const nowMs = this.deps.clock.nowMs();
    const serversByService = new Map<ServiceId, KnownServer[]>();
    for (const waited of [...this.waited.values()]) {
      const servers = serversByService.get(waited.serviceId) ?? this.serversOf(waited.serviceId, nowMs);
      serversByService.set(waited.serviceId, servers);
      this.review(waited, servers, nowMs);
    }
  }

  private review(waited: WaitedModel, servers: readonly KnownServer[], nowMs: number): void {
    if (servers.some((server) => getHeldModel(server, waited.model))) {
      this.endAll(waited, { kind: 'ready' });
      return;
    }
    const readyInMs = this.arrange(waited, servers, nowMs);
    for (const [requestId, { wait, resolve }] of [...waited.waiters]) {
      if (nowMs + (readyInMs ?? 0) >= wait.untilMs) {
        waited.waiters.delete(requestId);
        resolve(readyInMs === undefined ? { kind: 'noPlace' } : { kind: 'tooLate', readyInMs });
      }
    }
    if (waited.waiters.size === 0) {
      this.waited.delete(waited.model);
    }
  }

  /** Sees to it that some agent loads the model; gives the time until it is ready where that is known. */
  private arrange(waited: WaitedModel, servers: readonly KnownServer[], nowMs: number): number | undefined {
    const need = toNeed(waited, nowMs);
    const profile = this.profileOf(waited.serviceId);
    if (!profile) {
      return undefined;
    }
    const onTheWay = findPendingLoad(need, servers, profile);
    if (onTheWay) {
      return this.keepOrHasten(waited, servers, profile, nowMs, onTheWay);
    }
    const sinceWantMs = nowMs - waited.wantedAtMs;
    if (waited.wantedAddress !== undefined && sinceWantMs < REPORT_MS) {
      return undefined;
    }
    // An agent that does not list the model by now has no room for it, so an idle place elsewhere is better at once.
    const isIdleOnly = waited.wantedAddress !== undefined && sinceWantMs < REPEAT_MS;
    const choice = choosePlacement(isIdleOnly ? { ...need, maxStartMs: 0 } : need, servers, profile);
    if (!choice && isIdleOnly) {
      return undefined;
    }
    waited.wantedAtMs = nowMs;
    waited.wantedAddress = choice?.server.entry.address;
    return choice && this.want(waited, choice);
  }

  /** Keeps a wish alive, and goes elsewhere too where a model that callers wait for live is ready much sooner. */
  private keepOrHasten(
    waited: WaitedModel,
    servers: readonly KnownServer[],
    profile: EngineProfile,
    nowMs: number,
    onTheWay: PlacementChoice,
  ): number {
    const onTheWayMs = onTheWay.readyInMs;
    if (nowMs - waited.wantedAtMs < REPEAT_MS) {
      return onTheWayMs;
    }
    const need = toNeed(waited, nowMs);
    const choice =
      waited.isInteractive && onTheWayMs > MUCH_SOONER_MS
        ? choosePlacement(need, servers, profile)
        : undefined;
    if (choice && choice.readyInMs + MUCH_SOONER_MS < onTheWayMs) {
      waited.wantedAtMs = nowMs;
      waited.wantedAddress = choice.server.entry.address;
      return this.want(waited, choice);
    }
    // Also a wish that another router began is kept alive, since its own callers may be gone by now.
    waited.wantedAddress ??= onTheWay.server.entry.address;
    waited.wantedAtMs = nowMs;
    this.deps.agentConnections.requestModel(waited.wantedAddress, waited.model, waited.isInteractive);
    return onTheWayMs;
  }

  /** Asks the chosen agent for the model; gives the time until it is ready. */
  private want(waited: WaitedModel, choice: PlacementChoice): number {
    const { model, isInteractive } = waited;
    this.deps.agentConnections.requestModel(choice.server.entry.address, model, isInteractive);
    this.deps.log.decision('model wanted', {
      model,
      address: choice.server.entry.address,
      readyInMs: choice.readyInMs,
      waitingCount: waited.waiters.size,
    });
    return choice.readyInMs;
  }

  private endAll(waited: WaitedModel, result: WaitResult): void {
    this.waited.delete(waited.model);
    for (const { resolve } of waited.waiters.values()) {
      resolve(result);
    }
  }

  private reviewReplicas(): void {
    const nowMs = this.deps.clock.nowMs();
    if (nowMs - this.fetchedAtMs >= FETCH_PAUSE_MS) {
      this.fetchMissing(nowMs);
    }
    for (const [model, use] of this.liveUses) {
      if (nowMs - use.usedAtMs > LIVE_USE_MS) {
        this.liveUses.delete(model);
      } else if (nowMs - use.replicaWantedAtMs >= REPLICA_PAUSE_MS) {
        this.reviewReplicasOf(model, use, nowMs);
      }
    }
  }

  /** Has models loaded that lie in the weight store alone, so that the first request for one finds it on a disk. */
  private fetchMissing(nowMs: number): void {
    const { view, agentConnections: links, log } = this.deps;
    const wantedCopies = this.trafficSinceMs === undefined ? IDLE_COPIES : 1;
    for (const { serviceId, engine } of view.configuration?.services.values() ?? []) {
      const servers = engine ? this.serversOf(serviceId, nowMs) : [];
      if (!engine || servers.length === 0) {
        continue;
      }
      const asked = new Set<string>();
      for (const model of findScarceModels(servers, engine, wantedCopies)) {
        const footprint = engine.models.get(model);
        const others = servers.filter((server) => !asked.has(server.entry.address));
        const need = footprint && {
          model,
          footprint,
          isInteractive: false,
          maxStartMs: 0,
          mayFetchCopy: true,
        };
        const choice = need && choosePlacement(need, others, engine);
        if (choice) {
          asked.add(choice.server.entry.address);
          this.fetchedAtMs = nowMs;
          links.requestModel(choice.server.entry.address, model, false, replicatedModels(servers));
          log.decision('model fetched ahead', { model, address: choice.server.entry.address });
        }
      }
    }
  }

  private reviewReplicasOf(model: string, use: LiveUse, nowMs: number): void {
    const { chooser, agentConnections: links, log } = this.deps;
    const profile = this.profileOf(use.serviceId);
    const footprint = profile?.models.get(model);
    const servers = this.serversOf(use.serviceId, nowMs);
    const need = footprint && {
      model,
      footprint,
      isInteractive: true,
      maxStartMs: Infinity,
      mayFetchCopy: true,
    };
    if (!profile || !need || findPendingLoad(need, servers, profile)) {
      return;
    }
    const holders = servers.filter((server) => getHeldModel(server, model));
    let load = 0;
    for (const holder of holders) {
      load += chooser.getLoad(holder) / holders.length;
    }
    if (holders.length >= MIN_LIVE_REPLICAS && load < REPLICA_LOAD) {
      return;
    }
    const choice = choosePlacement(need, servers, profile);
    if (choice) {
      use.replicaWantedAtMs = nowMs;
      links.requestModel(choice.server.entry.address, model, true);
      log.decision('replica wanted', {
        model,
        address: choice.server.entry.address,
        replicaCount: holders.length,
        load,
      });
    }
  }

  private profileOf(serviceId: ServiceId): EngineProfile | undefined {
    return this.deps.view.configuration?.services.get(serviceId)?.engine;
  }

  private serversOf(serviceId: ServiceId, nowMs: number): KnownServer[] {
    return [...this.deps.view.getReadyServers(serviceId, nowMs)];
  }
}
