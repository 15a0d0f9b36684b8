import type { ServiceId } from '../domain/index.js';
import type { AgentConnections } from '../direct/AgentConnections.js';
import {
  choosePlacement,
  findPendingLoad,
  findUnderReplicatedModels,
  getHeldModel,
  MAX_REPLICA_LOAD,
  MIN_INTERACTIVE_REPLICAS,
  planEviction,
  type EngineProfile,
  type FleetView,
  type KnownServer,
  type PlacementChoice,
  type PlacementRequirements,
  type ServerChooser,
} from '../direct/decisions/index.js';
import { PeriodicTask, type Clock, type Service } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import { CopyValues, ServerPace, TurnTaking } from './decisions/index.js';
import type { PaceSource } from './PaceSource.js';

/** Interval at which the replicas of models in interactive use are reviewed, in milliseconds. */
const REPLICA_INTERVAL_MS = 250;
/** Time after its last interactive request for which a model counts as in interactive use, in milliseconds. */
const INTERACTIVE_USE_MS = 2_000;
/**
 * Delay between two new replicas of one model, in milliseconds: a replica loaded from disk affects the load by then.
 */
const REPLICA_DELAY_MS = 1_500;
/** Time for which the values of copies are reused, in milliseconds: many waits are reviewed after each other. */
const VALUES_LIFETIME_MS = 50;
/** The same per server, in milliseconds, so that the values of 4,300 servers are found once a second. */
const VALUES_LIFETIME_PER_SERVER_MS = 0.25;
/** Delay after models were requested ahead of use, in milliseconds: reports show by then which agent loads what. */
const FETCH_DELAY_MS = 600;
/** Number of servers that should have each model on disk, used until the first request arrives. */
const IDLE_DISK_COPIES = 2;
/**
 * Demand up to which a model gives up its slot for a further replica of another one, in requests per second: a model with
 * 0.9 requests per second is without one for eight seconds less than once in a thousand times.
 */
const NO_DEMAND_PER_SECOND = 0.125;
/**
 * What each request of a live model gains from a server that is fast enough, in milliseconds of waiting: half the limit of
 * the gaps, some times in a stream.
 */
const FAST_SERVER_GAIN_MS = 300;

/**
 * Mean load of a live model's servers, as a share of their slots, from which a further replica may displace a batch model: its
 * requests wait for slots then. At half of it, replicas displaced batch models whose requests were refused.
 */
const FULL_SERVER_LOAD = 0.9;
/** What each request of such a model gains from a further server, in milliseconds of waiting. */
const FURTHER_SERVER_GAIN_MS = 100;
/**
 * Interval at which the request for a queued replica is renewed, in milliseconds: agents discard it after three intervals, and
 * the drain of the model that it replaces takes longer.
 */
const RENEWAL_INTERVAL_MS = 500;

/** Dependencies of {@link ModelPlacer}. */
export interface ModelPlacerDependencies {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly chooser: ServerChooser;
  readonly agentConnections: AgentConnections;
  readonly log: Log;
  readonly metrics?: Metrics;
  /** What is known of the speed of the servers; absent if nothing is. */
  readonly pace?: PaceSource;
}

/** Interactive use of a model at this router. */
interface InteractiveUse {
  readonly serviceId: ServiceId;
  readonly model: string;
  usedAtMs: number;
  replicaRequestedAtMs: number;
  /** Engine that was last asked for a replica; undefined before the first one. */
  replicaAddress: string | undefined;
  replicaRenewedAtMs: number;
}

/** Values of the copies of a service's models, and the policy for evictions that follows from them. */
interface Evaluation {
  /** Time until which it is reused, in milliseconds. */
  readonly untilMs: number;
  readonly values: CopyValues;
  readonly policy: CopyValues | TurnTaking;
}

/** Sends load requests with the evictions that cost the fleet least, and requests replicas and models ahead of use. */
export class ModelPlacer implements Service {
  private readonly evaluations = new Map<ServiceId, Evaluation>();
  private readonly interactiveUses = new Map<string, InteractiveUse>();
  private lastFetchAtMs = -Infinity;
  /** Time of the first request; undefined before it. */
  private firstRequestAtMs: number | undefined;
  private readonly replicaTask: PeriodicTask;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: ModelPlacerDependencies) {
    this.replicaTask = new PeriodicTask(deps.clock, REPLICA_INTERVAL_MS, () => this.review());
  }

  start(): Promise<void> {
    this.replicaTask.start();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.replicaTask.stop();
    return Promise.resolve();
  }

  /** Records that requests arrive. */
  recordTraffic(): void {
    this.firstRequestAtMs ??= this.deps.clock.nowMs();
  }

  /**
   * Records an interactive request for a model.
   * @param serviceId - Service of the model.
   * @param model - Name of the model.
   */
  recordInteractiveUse(serviceId: ServiceId, model: string): void {
    const nowMs = this.deps.clock.nowMs();
    const key = JSON.stringify([serviceId, model]);
    const use = this.interactiveUses.get(key);
    if (use) {
      use.usedAtMs = nowMs;
    } else {
      this.interactiveUses.set(key, {
        serviceId,
        model,
        usedAtMs: nowMs,
        replicaRequestedAtMs: -Infinity,
        replicaAddress: undefined,
        replicaRenewedAtMs: -Infinity,
      });
    }
  }

  /**
   * Returns the policy for evictions at a service's engines; undefined for a service without engines.
   * @param serviceId - The service.
   * @param nowMs - Current time.
   */
  getPolicy(serviceId: ServiceId, nowMs: number): CopyValues | TurnTaking | undefined {
    return this.evaluate(serviceId, nowMs)?.policy;
  }

  /**
   * Requests a model from the chosen agent, and writes the decision to the log.
   * @param event - Name of the decision.
   * @param choice - Chosen server and evictions.
   * @param requirements - Model to load.
   * @param inputs - Further inputs of the decision.
   */
  requestLoad(
    event: string,
    choice: PlacementChoice,
    requirements: PlacementRequirements,
    inputs: Readonly<Record<string, number>>,
  ): void {
    const { clock, log, metrics } = this.deps;
    const { server, readyInMs, evictedModels, evictionCostMs } = choice;
    const { address } = server.entry;
    const { model, isInteractive, evictionPolicy } = requirements;
    const values = evictionPolicy instanceof CopyValues ? evictionPolicy : undefined;
    const copies = values?.getCopies(model);
    this.sendRequest(server, requirements, evictedModels);
    metrics?.count('placement_loads');
    metrics?.count('placement_evictions', evictedModels.length);
    const neededCount = evictedModels.filter((name) => values?.getKind(server, name) === 'needed').length;
    metrics?.count('placement_evictions_needed', neededCount);
    log.decision(event, {
      model,
      isInteractive,
      address,
      evictedModels: evictedModels.join(' '),
      neededEvictionCount: neededCount,
      evictionCostMs: Math.round(evictionCostMs),
      demandPerSecond: Number((values?.getDemandPerSecond(model) ?? 0).toFixed(2)),
      holderCount: copies?.holders.length ?? 0,
      pendingCount: copies?.pendingCount ?? 0,
      reportAgeMs: Math.round(clock.nowMs() - server.reportedAtMs),
      readyInMs: Math.round(readyInMs),
      ...inputs,
    });
  }

  /**
   * Renews a load request with the evictions that cost least now.
   * @param address - Host and port of the engine.
   * @param requirements - Model to load.
   * @param servers - Servers of the service that accept new requests.
   * @param profile - Engine profile of the service.
   */
  renewLoad(
    address: string,
    requirements: PlacementRequirements,
    servers: readonly KnownServer[],
    profile: EngineProfile,
  ): void {
    const server = servers.find(({ entry }) => entry.address === address);
    const plan = server && planEviction(requirements, server, profile);
    if (plan) {
      this.sendRequest(server, requirements, plan.evictedModels);
    } else {
      const { model, isInteractive } = requirements;
      this.deps.agentConnections.requestModel(address, { model, isInteractive, keptModels: [] });
    }
  }

  /** Requests a model from an agent, which evicts the given models for it and keeps the others. */
  private sendRequest(
    server: KnownServer,
    { model, isInteractive, evictionPolicy, isReplica }: PlacementRequirements,
    evictedModels: readonly string[],
  ): void {
    if (evictionPolicy instanceof TurnTaking) {
      const evictableModels = isReplica === undefined ? evictionPolicy.getSurplusModels(server) : [];
      const params = { model, isInteractive, keptModels: [], evictableModels };
      this.deps.agentConnections.requestModel(server.entry.address, params);
      return;
    }
    const { entry, report } = server;
    const names = new Set(report?.heldModels.map(({ name }) => name));
    for (const name of [report?.loadingModel, ...(report?.queuedModels ?? [])]) {
      if (name !== undefined) {
        names.add(name);
      }
    }
    const keptModels = [...names].filter((name) => !evictedModels.includes(name) && name !== model);
    this.deps.agentConnections.requestModel(entry.address, {
      model,
      isInteractive,
      keptModels,
      evictableModels: evictedModels,
    });
  }

  private review(): void {
    const nowMs = this.deps.clock.nowMs();
    if (nowMs - this.lastFetchAtMs >= FETCH_DELAY_MS) {
      this.fetchUnderReplicated(nowMs);
    }
    for (const [key, use] of this.interactiveUses) {
      if (nowMs - use.usedAtMs > INTERACTIVE_USE_MS) {
        this.interactiveUses.delete(key);
      } else {
        this.reviewReplicas(use, nowMs);
      }
    }
  }

  /**
   * Requests loads of under-replicated models, such as those only in the weight store, so that the first request
   * finds them on a disk.
   */
  private fetchUnderReplicated(nowMs: number): void {
    const { view } = this.deps;
    const copyCount = this.firstRequestAtMs === undefined ? IDLE_DISK_COPIES : 1;
    for (const { serviceId, engine } of view.configuration?.services.values() ?? []) {
      const servers = engine ? [...view.getReadyServers(serviceId, nowMs)] : [];
      const evaluation = this.evaluate(serviceId, nowMs);
      if (!engine || !evaluation || servers.length === 0) {
        continue;
      }
      const { values, policy } = evaluation;
      const requestedAddresses = new Set<string>();
      const getDemand = (model: string) => values.getDemandPerSecond(model);
      for (const model of findUnderReplicatedModels(servers, engine, copyCount, getDemand)) {
        const footprint = engine.models.get(model);
        const others = servers.filter((server) => !requestedAddresses.has(server.entry.address));
        const requirements = footprint && {
          model,
          footprint,
          isInteractive: false,
          maxStartMs: 0,
          mayFetchCopy: true,
          evictionPolicy: policy,
          maxEvictionCostMs:
            getDemand(model) > 0 || !values.hasRoom ? undefined : NO_DEMAND_PER_SECOND * footprint.diskLoadMs,
        };
        const choice = requirements && choosePlacement(requirements, others, engine);
        if (choice) {
          requestedAddresses.add(choice.server.entry.address);
          this.lastFetchAtMs = nowMs;
          this.requestLoad('model load requested ahead of use', choice, requirements, { copyCount });
        }
      }
    }
  }

  private reviewReplicas(use: InteractiveUse, nowMs: number): void {
    const { view, chooser } = this.deps;
    const { serviceId, model } = use;
    const profile = view.configuration?.services.get(serviceId)?.engine;
    const footprint = profile?.models.get(model);
    const evaluation = this.evaluate(serviceId, nowMs);
    if (!profile || !footprint || !evaluation) {
      return;
    }
    const { values, policy } = evaluation;
    const servers = [...view.getReadyServers(serviceId, nowMs)];
    const holders = servers.filter((server) => getHeldModel(server, model));
    const isTooSlow =
      values.hasRoom && holders.length > 0 && holders.every((server) => values.pace.isTooSlow(server, model));
    let load = 0;
    for (const holder of holders) {
      load += chooser.getLoad(holder) / holders.length;
    }
    const demandPerSecond = values.getDemandPerSecond(model);
    const fastGainMs = isTooSlow ? FAST_SERVER_GAIN_MS * demandPerSecond : 0;
    const loadGainMs = load >= FULL_SERVER_LOAD ? FURTHER_SERVER_GAIN_MS * demandPerSecond : 0;
    // A live model whose weights only one server has may displace a batch model, which loads again from a disk.
    const spareGainMs = values.survivesLoss(model, 1) ? 0 : values.getSpareValueMs(model);
    const idleCostMs = NO_DEMAND_PER_SECOND * footprint.diskLoadMs;
    const requirements = {
      model,
      footprint,
      isInteractive: true,
      maxStartMs: Infinity,
      mayFetchCopy: true,
      isReplica: holders.length > 0,
      evictionPolicy: policy,
      maxEvictionCostMs:
        holders.length > 0 && values.hasRoom
          ? Math.max(idleCostMs, fastGainMs, loadGainMs, spareGainMs)
          : undefined,
    };
    const pending = findPendingLoad(requirements, servers, profile);
    if (pending) {
      if (values.hasRoom) {
        this.renewReplica(use, pending.server, requirements, profile, nowMs);
      }
      return;
    }
    if (nowMs - use.replicaRequestedAtMs < REPLICA_DELAY_MS) {
      return;
    }
    if (!isTooSlow && holders.length >= MIN_INTERACTIVE_REPLICAS && load < MAX_REPLICA_LOAD) {
      return;
    }
    const candidates = isTooSlow
      ? servers.filter((server) => !values.pace.isTooSlow(server, model))
      : servers;
    const choice = choosePlacement(requirements, candidates, profile);
    if (choice) {
      use.replicaRequestedAtMs = nowMs;
      use.replicaAddress = choice.server.entry.address;
      use.replicaRenewedAtMs = nowMs;
      this.requestLoad('replica load requested', choice, requirements, {
        replicaCount: holders.length,
        load: Number(load.toFixed(3)),
      });
    }
  }

  /** Renews this router's request for a replica that is in its engine's queue. */
  private renewReplica(
    use: InteractiveUse,
    server: KnownServer,
    requirements: PlacementRequirements,
    profile: EngineProfile,
    nowMs: number,
  ): void {
    const isOwn = server.entry.address === use.replicaAddress;
    const isDue = nowMs - use.replicaRenewedAtMs >= RENEWAL_INTERVAL_MS;
    if (!isOwn || !isDue || server.report?.queuedModels.includes(use.model) !== true) {
      return;
    }
    use.replicaRenewedAtMs = nowMs;
    const plan = planEviction(requirements, server, profile);
    if (plan) {
      this.sendRequest(server, requirements, plan.evictedModels);
    }
  }

  /** Returns the evaluation of a service's copies; undefined for a service without engines. */
  private evaluate(serviceId: ServiceId, nowMs: number): Evaluation | undefined {
    const known = this.evaluations.get(serviceId);
    if (known && nowMs < known.untilMs) {
      return known;
    }
    const { view, chooser, pace } = this.deps;
    const profile = view.configuration?.services.get(serviceId)?.engine;
    if (!profile) {
      return undefined;
    }
    const servers = [...view.getReadyServers(serviceId, nowMs)];
    const values = new CopyValues(
      servers,
      profile,
      (model) => chooser.getArrivalsPerSecond(serviceId, model, nowMs),
      new ServerPace(pace, this.getMaxGapMs(serviceId)),
    );
    const lifetimeMs = Math.max(VALUES_LIFETIME_MS, VALUES_LIFETIME_PER_SERVER_MS * servers.length);
    const policy = values.hasRoom ? values : new TurnTaking(values);
    const evaluation = { untilMs: nowMs + lifetimeMs, values, policy };
    this.evaluations.set(serviceId, evaluation);
    return evaluation;
  }

  /** Returns the shortest limit of the gaps between events among the routes to a service; undefined without one. */
  private getMaxGapMs(serviceId: ServiceId): number | undefined {
    let shortestMs: number | undefined;
    for (const { maxGapMs, targets } of this.deps.view.configuration?.routes ?? []) {
      if (maxGapMs !== undefined && targets.some((target) => target.serviceId === serviceId)) {
        shortestMs = Math.min(shortestMs ?? Infinity, maxGapMs);
      }
    }
    return shortestMs;
  }
}
