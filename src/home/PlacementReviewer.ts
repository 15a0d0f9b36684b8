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

/** Servers that are asked for an offer; the same ones for a model each time, so that they keep its checkpoint. */
const SAMPLE_SIZE = 8;
/** Time given to an offer, in milliseconds. */
const OFFER_TIMEOUT_MS = 1_000;

/** What a reviewer is made of. */
export interface PlacementReviewerDependencies {
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly state: StateStore;
  readonly catalogue: Catalogue;
  readonly membership: Membership;
  readonly dialer: PeerDialer;
  readonly audit: AuditTrail;
}

/** Brings a model's placement into line with its configuration and the servers there are. */
export class PlacementReviewer {
  /** @param deps - What the reviewer is made of. */
  constructor(private readonly deps: PlacementReviewerDependencies) {}

  /**
   * Takes one step for a model; false when there may be more to do.
   * @param model - The model.
   * @param home - Its home.
   */
  async review(model: CatalogueModel, home: ModelScheduler): Promise<boolean> {
    let step = this.decide(model, home, undefined);
    if (step.kind === 'askOffers') {
      step = this.decide(model, home, await this.askOffers(model));
    }
    if (step.kind === 'write') {
      await this.write(model, step.value, step.ifVersion);
    }
    return step.kind === 'keep';
  }

  /** @param model - Model whose pool is wanted. */
  getPool(model: CatalogueModel): PoolServer[] {
    const { catalogue, membership } = this.deps;
    return membership.getPool(model.service.pool).map((instance) => ({
      serverId: toServerId(instance.id),
      dataCentre: instance.dataCentre,
      leaving: instance.state === 'leaving' || catalogue.isDrained(instance.id),
    }));
  }

  private decide(
    model: CatalogueModel,
    home: ModelScheduler,
    offers: PlacementOffer[] | undefined,
  ): PlacementStep {
    const placement = this.deps.catalogue.getPlacement(model.modelId);
    const acknowledged = new Set<string>();
    for (const grant of placement?.value.grants ?? []) {
      if (placement && home.getReplica(grant.serverId)?.isAbsentAsOf(placement.version)) {
        acknowledged.add(grant.serverId);
      }
    }
    return decidePlacement({
      modelId: model.modelId,
      placement,
      decidedReplicas: model.service.maxReplicas,
      sizeBytes: model.sizeBytes,
      pool: this.getPool(model),
      acknowledged,
      offers,
    });
  }

  private async askOffers(model: CatalogueModel): Promise<PlacementOffer[]> {
    const candidates = this.getPool(model).filter((server) => !server.leaving);
    const ranked = rankByHash(
      model.modelId,
      candidates.map((server) => server.serverId),
    );
    const offers = await Promise.all(
      ranked.slice(0, SAMPLE_SIZE).map((id) => this.askOffer(id, model.modelId)),
    );
    return offers.filter((offer) => offer !== undefined);
  }

  private async askOffer(serverId: string, modelId: string): Promise<PlacementOffer | undefined> {
    const address = this.deps.membership.get(serverId)?.peerAddress;
    if (address === undefined) {
      return undefined;
    }
    const late = delay(this.deps.clock, OFFER_TIMEOUT_MS).then(() => undefined);
    const asked = this.deps.dialer
      .connect(address)
      .then((connection) => connection.call<PlacementOffer>(AGENT_METHODS.offer, { modelId }))
      .catch(() => undefined);
    return Promise.race([asked, late]);
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
