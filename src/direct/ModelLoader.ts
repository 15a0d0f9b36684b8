import type { Service, Timer } from '../kernel/index.js';
import { PeriodicTask } from '../kernel/index.js';
import type { ServiceId } from '../domain/index.js';
import { ModelPlacer, type ModelPlacerDependencies } from '../placement/index.js';
import {
  getWaitKey,
  isWithoutPlace,
  toPlacementRequirements,
  type ModelWait,
  type WaitedModel,
  type WaitResult,
} from './modelWaits.js';
import {
  choosePlacement,
  countPlaces,
  findPendingLoad,
  getHeldModel,
  isRequiredVersion,
  type EngineProfile,
  type KnownServer,
  type PendingLoad,
  type PlacementChoice,
  type PlacementRequirements,
} from './decisions/index.js';

/** Interval at which all waits are reviewed, in milliseconds. */
const REVIEW_INTERVAL_MS = 100;
/**
 * Time for which server updates are collected before waits are reviewed, in milliseconds: dozens of agents report at
 * once.
 */
const REVIEW_DELAY_MS = 15;
/** Interval at which a load request is renewed, in milliseconds; agents discard it after three intervals. */
const RENEWAL_INTERVAL_MS = 500;
/**
 * Time after which an agent's report shows an accepted load request, in milliseconds: one poll of the engine plus
 * network time.
 */
const REPORT_DELAY_MS = 150;
/** Time by which a second load must finish before a pending one to justify using another server, in milliseconds. */
const MIN_TIME_SAVED_MS = 1_000;
/** Dependencies of {@link ModelLoader}. */
export type ModelLoaderDependencies = ModelPlacerDependencies;

/** Requests loads of models that requests are waiting for. */
export class ModelLoader implements Service {
  private readonly waitedModels = new Map<string, WaitedModel>();
  /** Since when no server has room for a model whose requests were refused for that, by the key of their waits. */
  private readonly withoutPlaceSinceMs = new Map<string, number>();
  private readonly placer: ModelPlacer;
  private reviewTimer: Timer | undefined;
  private readonly reviewTask: PeriodicTask;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: ModelLoaderDependencies) {
    this.reviewTask = new PeriodicTask(deps.clock, REVIEW_INTERVAL_MS, () => this.reviewWaits());
    this.placer = new ModelPlacer(deps);
  }

  start(): Promise<void> {
    this.reviewTask.start();
    return this.placer.start();
  }

  stop(): Promise<void> {
    this.reviewTimer?.cancel();
    this.reviewTask.stop();
    return this.placer.stop();
  }

  /** Records that requests arrive. */
  recordTraffic(): void {
    this.placer.recordTraffic();
  }

  /**
   * Records an interactive request for a model.
   * @param serviceId - Service of the model.
   * @param model - Name of the model.
   */
  recordInteractiveUse(serviceId: ServiceId, model: string): void {
    this.placer.recordInteractiveUse(serviceId, model);
  }

  /**
   * Returns the time until a load of a model that is in progress or queued ends, in milliseconds; undefined if there is
   * none.
   * @param serviceId - Service of the model.
   * @param model - Name of the model.
   * @param softwareVersion - Version that the server must have, if any.
   */
  getPendingLoadMs(serviceId: ServiceId, model: string, softwareVersion?: string): number | undefined {
    const profile = this.getProfile(serviceId);
    const footprint = profile?.models.get(model);
    if (!profile || !footprint) {
      return undefined;
    }
    const requirements = { model, footprint, isInteractive: true, maxStartMs: Infinity, mayFetchCopy: true };
    const servers = this.getServers(serviceId, this.deps.clock.nowMs()).filter((server) =>
      isRequiredVersion(server.softwareVersion, softwareVersion),
    );
    return findPendingLoad(requirements, servers, profile)?.readyInMs;
  }

  /**
   * Waits until a server holds a model; resolves at once with a refusal if that is not possible in time.
   * @param wait - The request's wait.
   */
  waitFor(wait: ModelWait): Promise<WaitResult> {
    const footprint = this.getProfile(wait.serviceId)?.models.get(wait.model);
    if (!footprint) {
      return Promise.resolve({ kind: 'noPlace' });
    }
    return new Promise((resolve) => {
      const key = getWaitKey(wait);
      let waited = this.waitedModels.get(key);
      if (!waited) {
        const { model, serviceId, isInteractive, softwareVersion } = wait;
        const sinceMs = this.withoutPlaceSinceMs.get(key) ?? this.deps.clock.nowMs();
        waited = {
          model,
          footprint,
          isInteractive,
          serviceId,
          softwareVersion,
          sinceMs,
          placedAtMs: sinceMs,
          waiters: new Map(),
          requestedAtMs: -Infinity,
          requestedAddress: undefined,
        };
        this.waitedModels.set(key, waited);
      }
      waited.waiters.set(wait.requestId, { wait, resolve });
      const nowMs = this.deps.clock.nowMs();
      this.review(waited, this.getServers(wait.serviceId, nowMs), nowMs);
    });
  }

  /**
   * Removes a wait because its request has ended.
   * @param wait - The request's wait.
   */
  stopWaiting(wait: Pick<ModelWait, 'serviceId' | 'model' | 'softwareVersion' | 'requestId'>): void {
    const key = getWaitKey(wait);
    const waited = this.waitedModels.get(key);
    waited?.waiters.delete(wait.requestId);
    if (waited?.waiters.size === 0) {
      this.waitedModels.delete(key);
    }
  }

  /** Schedules a review of all waits after a change of the view; changes shortly after each other cause one review. */
  scheduleReview(): void {
    if (this.waitedModels.size > 0) {
      this.reviewTimer ??= this.deps.clock.schedule(REVIEW_DELAY_MS, () => this.reviewWaits());
    }
  }

  /** Reviews all waits. */
  reviewWaits(): void {
    this.reviewTimer?.cancel();
    this.reviewTimer = undefined;
    const nowMs = this.deps.clock.nowMs();
    const serversByService = new Map<ServiceId, KnownServer[]>();
    for (const waited of [...this.waitedModels.values()]) {
      const servers = serversByService.get(waited.serviceId) ?? this.getServers(waited.serviceId, nowMs);
      serversByService.set(waited.serviceId, servers);
      this.review(waited, servers, nowMs);
    }
  }

  private review(waited: WaitedModel, allServers: readonly KnownServer[], nowMs: number): void {
    const servers = allServers.filter(({ softwareVersion }) =>
      isRequiredVersion(softwareVersion, waited.softwareVersion),
    );
    if (servers.some((server) => getHeldModel(server, waited.model))) {
      this.resolveAll(waited, { kind: 'ready' });
      return;
    }
    const readyInMs = this.ensureLoading(waited, servers, nowMs);
    const isInVain = this.updatePlace(waited, servers, readyInMs !== undefined, nowMs);
    for (const [requestId, { wait, resolve }] of [...waited.waiters]) {
      if (isInVain || nowMs + (readyInMs ?? 0) >= wait.untilMs) {
        waited.waiters.delete(requestId);
        resolve(readyInMs === undefined ? { kind: 'noPlace' } : { kind: 'tooLate', readyInMs });
      }
    }
    if (waited.waiters.size === 0) {
      this.waitedModels.delete(getWaitKey(waited));
    }
  }

  /**
   * Records whether a server loads a model or could do so; returns whether its requests wait in vain. Later requests for
   * the model are then refused at once as long as that does not change.
   */
  private updatePlace(
    waited: WaitedModel,
    servers: readonly KnownServer[],
    hasPlace: boolean,
    nowMs: number,
  ): boolean {
    const key = getWaitKey(waited);
    if (hasPlace) {
      waited.placedAtMs = nowMs;
      this.withoutPlaceSinceMs.delete(key);
      return false;
    }
    const isInVain = isWithoutPlace(waited, nowMs);
    if (isInVain) {
      this.withoutPlaceSinceMs.set(key, waited.placedAtMs);
      this.deps.log.decision('no place for model', {
        model: waited.model,
        isInteractive: waited.isInteractive,
        waitingCount: waited.waiters.size,
        withoutPlaceForMs: Math.round(nowMs - waited.placedAtMs),
        serverCount: servers.length,
        ...countPlaces(servers),
      });
    }
    return isInVain;
  }

  /** Ensures that an agent loads the model; returns the time until it is ready, if known. */
  private ensureLoading(
    waited: WaitedModel,
    servers: readonly KnownServer[],
    nowMs: number,
  ): number | undefined {
    const policy = this.placer.getPolicy(waited.serviceId, nowMs);
    const requirements = toPlacementRequirements(waited, policy, nowMs);
    const profile = this.getProfile(waited.serviceId);
    if (!profile) {
      return undefined;
    }
    const pending = findPendingLoad(requirements, servers, profile);
    if (pending?.isBlocked === false) {
      return this.renewLoadRequest(waited, requirements, servers, profile, pending, nowMs);
    }
    const sinceRequestMs = nowMs - waited.requestedAtMs;
    if (waited.requestedAddress !== undefined && sinceRequestMs < REPORT_DELAY_MS) {
      return undefined;
    }
    // An agent that does not list the model by now has no free memory for it, so an idle server is used at once.
    const isIdleOnly = waited.requestedAddress !== undefined && sinceRequestMs < RENEWAL_INTERVAL_MS;
    const choice = choosePlacement(
      isIdleOnly ? { ...requirements, maxStartMs: 0 } : requirements,
      servers,
      profile,
    );
    if (!choice && isIdleOnly) {
      return undefined;
    }
    waited.requestedAtMs = nowMs;
    waited.requestedAddress = choice?.server.entry.address;
    return choice && this.requestLoad(waited, choice, requirements);
  }

  /**
   * Renews a load request; also requests the model from another agent if it is for interactive use and ready much
   * sooner there.
   */
  private renewLoadRequest(
    waited: WaitedModel,
    requirements: PlacementRequirements,
    servers: readonly KnownServer[],
    profile: EngineProfile,
    pending: PendingLoad,
    nowMs: number,
  ): number {
    const pendingMs = pending.readyInMs;
    if (nowMs - waited.requestedAtMs < RENEWAL_INTERVAL_MS) {
      return pendingMs;
    }
    const choice =
      waited.isInteractive && pendingMs > MIN_TIME_SAVED_MS
        ? choosePlacement(requirements, servers, profile)
        : undefined;
    if (choice && choice.readyInMs + MIN_TIME_SAVED_MS < pendingMs) {
      waited.requestedAtMs = nowMs;
      waited.requestedAddress = choice.server.entry.address;
      return this.requestLoad(waited, choice, requirements);
    }
    // A load request of another router is renewed too, since that router's callers may have left by now.
    waited.requestedAddress ??= pending.server.entry.address;
    waited.requestedAtMs = nowMs;
    this.placer.renewLoad(waited.requestedAddress, requirements, servers, profile);
    return pendingMs;
  }

  /** Requests the model from the chosen agent; returns the time until it is ready. */
  private requestLoad(
    waited: WaitedModel,
    choice: PlacementChoice,
    requirements: PlacementRequirements,
  ): number {
    const inputs = { waitingCount: waited.waiters.size };
    this.placer.requestLoad('model load requested', choice, requirements, inputs);
    return choice.readyInMs;
  }

  private resolveAll(waited: WaitedModel, result: WaitResult): void {
    this.waitedModels.delete(getWaitKey(waited));
    for (const { resolve } of waited.waiters.values()) {
      resolve(result);
    }
  }

  private getProfile(serviceId: ServiceId): EngineProfile | undefined {
    return this.deps.view.configuration?.services.get(serviceId)?.engine;
  }

  private getServers(serviceId: ServiceId, nowMs: number): KnownServer[] {
    return [...this.deps.view.getReadyServers(serviceId, nowMs)];
  }
}
