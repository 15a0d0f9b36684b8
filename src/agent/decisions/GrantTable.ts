import type { Placement, ServerId, Versioned } from '../../domain/index.js';

/** Newest known placement of a model, reduced to this server's grant. */
interface GrantState {
  readonly version: number;
  readonly state: 'active' | 'revoking' | 'none';
}

/**
 * Holds the grants of one server; the newest version of a placement wins, in whatever order the versions arrive.
 *
 * After a start nothing may be loaded until the grants were read from the platform: the process no longer knows which
 * revocations it acknowledged before, and a router may push a placement that is older than those.
 */
export class GrantTable {
  private readonly grantStates = new Map<string, GrantState>();
  private confirmed = false;

  /** @param serverId - The server that holds the grants. */
  constructor(private readonly serverId: ServerId) {}

  /** Whether the grants were read from the platform since the start. */
  get isConfirmed(): boolean {
    return this.confirmed;
  }

  /**
   * Applies a placement from any source and returns whether its version is newer than the known one.
   * @param placement - The placement with its version in the platform.
   */
  accept(placement: Versioned<Placement>): boolean {
    const modelId = placement.value.modelId;
    const currentVersion = this.grantStates.get(modelId)?.version ?? 0;
    if (placement.version <= currentVersion) {
      return false;
    }
    const grant = placement.value.grants.find((candidate) => candidate.serverId === this.serverId);
    this.grantStates.set(modelId, { version: placement.version, state: grant?.state ?? 'none' });
    return true;
  }

  /**
   * Applies the placements and marks the grants as confirmed.
   * @param placements - All placements, listed by the platform after this process started.
   */
  confirm(placements: readonly Versioned<Placement>[]): void {
    for (const placement of placements) {
      this.accept(placement);
    }
    this.confirmed = true;
  }

  /**
   * Returns whether the server may load a model.
   * @param modelId - The model.
   */
  mayLoad(modelId: string): boolean {
    return this.confirmed && this.grantStates.get(modelId)?.state === 'active';
  }

  /**
   * Returns whether the newest known placement no longer grants a model to the server.
   * @param modelId - The model.
   */
  isRevoked(modelId: string): boolean {
    const grantState = this.grantStates.get(modelId);
    return grantState !== undefined && grantState.state !== 'active';
  }

  /**
   * Returns the version of the newest known placement of a model, or 0 if none is known.
   * @param modelId - The model.
   */
  getVersion(modelId: string): number {
    return this.grantStates.get(modelId)?.version ?? 0;
  }
}
