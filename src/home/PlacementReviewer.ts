import {
  AGENT_METHODS,
  PLACEMENT_PREFIX,
  toServerId,
  type Placement,
  type PlacementOffer,
} from '../domain/index.js';
import { delay, type Clock } from '../kernel/index.js';
import type { ObjectStore } from '../platform/index.js';
import type { Catalogue, CatalogueModel } from '../state/index.js';
import { rankByHash, type Membership, type StateStore } from '../state/index.js';
import type { AuditTrail } from '../telemetry/AuditTrail.js';
import type { PeerDialer } from '../transport/index.js';
import {
  decidePlacement,
  type ModelScheduler,
  type PlacementStep,
  type PoolServer,
} from './decisions/index.js';

/** Number of servers asked for an offer; always the same ones per model, so that they keep its checkpoint cached. */
const OFFER_SAMPLE_SIZE = 8;
/** Timeout of an offer request, in milliseconds. */
const OFFER_TIMEOUT_MS = 1_000;

/** Dependencies of a placement reviewer. */
export interface PlacementReviewerDependencies {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly state: StateStore;
  readonly catalogue: Catalogue;
  readonly membership: Membership;
  readonly dialer: PeerDialer;
  readonly audit: AuditTrail;
}

/** Updates the placement of a model to match its configuration and the available servers. */
export class PlacementReviewer {
  /** @param deps - Dependencies of the reviewer. */
  constructor(private readonly deps: PlacementReviewerDependencies) {}

  /**
   * Performs one step for a model; false when further steps may be needed.
   * @param model - The model.
   * @param scheduler - Scheduler of the model.
   */
  async review(model: CatalogueModel, scheduler: ModelScheduler): Promise<boolean> {
    let step = this.decide(model, scheduler, undefined);
    if (step.kind === 'askOffers') {
      step = this.decide(model, scheduler, await this.requestOffers(model));
    }
    if (step.kind === 'write') {
      await this.write(model, step.value, step.ifVersion);
    }
    return step.kind === 'keep';
  }

  /** @param model - Model whose pool to return. */
  getPoolServers(model: CatalogueModel): PoolServer[] {
    const { catalogue, membership } = this.deps;
    return membership.getPoolAgents(model.service.pool).map((instance) => ({
      serverId: toServerId(instance.id),
      dataCentre: instance.dataCentre,
      leaving: instance.state === 'leaving' || catalogue.isDrained(instance.id),
    }));
  }

  private decide(
    model: CatalogueModel,
    scheduler: ModelScheduler,
    offers: PlacementOffer[] | undefined,
  ): PlacementStep {
    const placement = this.deps.catalogue.getPlacement(model.modelId);
    const acknowledged = new Set<string>();
    for (const grant of placement?.value.grants ?? []) {
      if (placement && scheduler.getReplica(grant.serverId)?.isAbsentAsOf(placement.version)) {
        acknowledged.add(grant.serverId);
      }
    }
    return decidePlacement({
      modelId: model.modelId,
      placement,
      decidedReplicas: model.service.maxReplicas,
      sizeBytes: model.sizeBytes,
      pool: this.getPoolServers(model),
      acknowledged,
      offers,
    });
  }

  private async requestOffers(model: CatalogueModel): Promise<PlacementOffer[]> {
    const candidates = this.getPoolServers(model).filter((server) => !server.leaving);
    const ranked = rankByHash(
      model.modelId,
      candidates.map((server) => server.serverId),
    );
    const offers = await Promise.all(
      ranked.slice(0, OFFER_SAMPLE_SIZE).map((id) => this.requestOffer(id, model.modelId)),
    );
    return offers.filter((offer) => offer !== undefined);
  }

  private async requestOffer(serverId: string, modelId: string): Promise<PlacementOffer | undefined> {
    const address = this.deps.membership.get(serverId)?.peerAddress;
    if (address === undefined) {
      return undefined;
    }
    const timeout = delay(this.deps.clock, OFFER_TIMEOUT_MS).then(() => undefined);
    const reply = this.deps.dialer
      .connect(address)
      .then((connection) => connection.call<PlacementOffer>(AGENT_METHODS.offer, { modelId }))
      .catch(() => undefined);
    return Promise.race([reply, timeout]);
  }

  private async write(model: CatalogueModel, value: Placement, ifVersion: number): Promise<void> {
    const path = PLACEMENT_PREFIX + model.modelId;
    const result = await this.deps.store.update(path, value, ifVersion);
    if (result.kind === 'written') {
      this.deps.state.apply({ path, value, version: result.version, deleted: false, revision: 0 });
      const servers = value.grants.map((grant) => `${grant.serverId}:${grant.state}`).join(' ');
      this.deps.audit.record('placement', model.modelId, `grants ${servers || 'none'}`, result.version);
      return;
    }
    const readBack = await this.deps.store.read<Placement>(path);
    if (readBack.kind === 'found') {
      this.deps.state.apply({ path, ...readBack.object, deleted: false, revision: 0 });
    }
  }
}
