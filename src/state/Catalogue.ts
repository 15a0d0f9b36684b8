import {
  DRAIN_PREFIX,
  ORGANISATION_PREFIX,
  PLACEMENT_PREFIX,
  SERVICE_PREFIX,
  toModelId,
  type ModelConfiguration,
  type ModelId,
  type OrganisationConfiguration,
  type Placement,
  type ServiceConfiguration,
  type Versioned,
} from '../domain/index.js';
import type { StateStore } from './decisions/index.js';

/** One model, or the single target of a plain service, as configured. */
export interface CatalogueModel {
  readonly modelId: ModelId;
  readonly service: ServiceConfiguration;
  /** Absent for a plain service. */
  readonly model?: ModelConfiguration;
  /** Memory that a replica needs, in bytes. */
  readonly sizeBytes: number;
}

/** Reads services, organisations and placements off the state. */
export class Catalogue {
  private readonly models = new Map<string, CatalogueModel>();
  private readonly organisations = new Map<string, OrganisationConfiguration>();
  private isStale = true;

  /** @param state - State that the catalogue follows. */
  constructor(private readonly state: StateStore) {
    state.onChange((path) => {
      this.isStale ||= path.startsWith(SERVICE_PREFIX) || path.startsWith(ORGANISATION_PREFIX);
    });
  }

  /** All models and plain services. */
  getModels(): Iterable<CatalogueModel> {
    this.refresh();
    return this.models.values();
  }

  /** @param modelId - Model to look for. */
  getModel(modelId: string): CatalogueModel | undefined {
    this.refresh();
    return this.models.get(modelId);
  }

  /** @param service - Name of a service. */
  getService(service: string): ServiceConfiguration | undefined {
    return this.state.get<ServiceConfiguration>(SERVICE_PREFIX + service)?.value;
  }

  /** All organisations. */
  getOrganisations(): Iterable<OrganisationConfiguration> {
    this.refresh();
    return this.organisations.values();
  }

  /** @param modelId - Model whose placement is wanted. */
  getPlacement(modelId: string): Versioned<Placement> | undefined {
    return this.state.get<Placement>(PLACEMENT_PREFIX + modelId);
  }

  /** @param serverId - Server to look for. */
  isDrained(serverId: string): boolean {
    return this.state.get(DRAIN_PREFIX + serverId) !== undefined;
  }

  private refresh(): void {
    if (!this.isStale) {
      return;
    }
    this.isStale = false;
    this.models.clear();
    this.organisations.clear();
    for (const { value } of this.state.list<ServiceConfiguration>(SERVICE_PREFIX)) {
      this.enterService(value);
    }
    for (const { value } of this.state.list<OrganisationConfiguration>(ORGANISATION_PREFIX)) {
      this.organisations.set(value.organisation, value);
    }
  }

  private enterService(service: ServiceConfiguration): void {
    if (service.kind === 'plain') {
      const modelId = plainModelId(service.service);
      this.models.set(modelId, { modelId, service, sizeBytes: 0 });
      return;
    }
    for (const model of service.models) {
      const modelId = toModelId(`${service.service}/${model.name}`);
      const sizeBytes = model.weightBytes + model.kvCacheBytes;
      this.models.set(modelId, { modelId, service, model, sizeBytes });
    }
  }
}

/**
 * Names the one target of a plain service, which its home treats like a model that is always loaded.
 * @param service - Name of the service.
 */
export function plainModelId(service: string): ModelId {
  return toModelId(`${service}/-`);
}
