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
import { KeyDirectory } from '../organisations/index.js';
import type { StateStore } from './decisions/index.js';

/** Configuration of a model, or of the single target of a plain service. */
export interface CatalogueModel {
  readonly modelId: ModelId;
  readonly service: ServiceConfiguration;
  /** Absent for a plain service. */
  readonly model?: ModelConfiguration;
  /** Memory required by a replica, in bytes. */
  readonly sizeBytes: number;
}

/** Organisation with the digests of its keys. */
interface KeyedOrganisation {
  readonly keyDigests: readonly string[];
  readonly configuration: OrganisationConfiguration;
}

/** Typed view of the services, organisations, placements and drains in the state. */
export class Catalogue {
  private readonly models = new Map<string, CatalogueModel>();
  private organisationKeys = new KeyDirectory<KeyedOrganisation>([]);
  private isStale = true;

  /** @param state - State to read from. */
  constructor(private readonly state: StateStore) {
    state.onChange((path) => {
      this.isStale ||= path.startsWith(SERVICE_PREFIX) || path.startsWith(ORGANISATION_PREFIX);
    });
  }

  /** Returns all models and plain services. */
  getModels(): Iterable<CatalogueModel> {
    this.refresh();
    return this.models.values();
  }

  /** @param modelId - Id of the model. */
  getModel(modelId: string): CatalogueModel | undefined {
    this.refresh();
    return this.models.get(modelId);
  }

  /** @param service - Name of a service. */
  getService(service: string): ServiceConfiguration | undefined {
    return this.state.get<ServiceConfiguration>(SERVICE_PREFIX + service)?.value;
  }

  /**
   * Returns the organisation that a key belongs to; undefined if there is none.
   * @param digest - SHA-256 of the key, in hexadecimal.
   */
  getOrganisationByKey(digest: string): OrganisationConfiguration | undefined {
    this.refresh();
    return this.organisationKeys.getOwner(digest)?.configuration;
  }

  /** @param modelId - Id of the model. */
  getPlacement(modelId: string): Versioned<Placement> | undefined {
    return this.state.get<Placement>(PLACEMENT_PREFIX + modelId);
  }

  /** @param serverId - Id of the backend server. */
  isDrained(serverId: string): boolean {
    return this.state.get(DRAIN_PREFIX + serverId) !== undefined;
  }

  private refresh(): void {
    if (!this.isStale) {
      return;
    }
    this.isStale = false;
    this.models.clear();
    for (const { value } of this.state.list<ServiceConfiguration>(SERVICE_PREFIX)) {
      this.addService(value);
    }
    const organisations: KeyedOrganisation[] = [];
    for (const { value } of this.state.list<OrganisationConfiguration>(ORGANISATION_PREFIX)) {
      organisations.push({ keyDigests: value.tokenSha256s, configuration: value });
    }
    this.organisationKeys = new KeyDirectory(organisations);
  }

  private addService(service: ServiceConfiguration): void {
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
 * Returns the model id of the single target of a plain service, which its owner router treats as a model that is always
 * loaded.
 * @param service - Name of the service.
 */
export function plainModelId(service: string): ModelId {
  return toModelId(`${service}/-`);
}
