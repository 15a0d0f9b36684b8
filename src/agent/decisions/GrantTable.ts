import type { Placement, ServerId, Versioned } from '../../domain/index.js';

/** What the agent knows of one model's placement. */
interface KnownPlacement {
  readonly version: number;
  readonly state: 'active' | 'revoking' | 'none';
}

/**
 * Holds the grants of one server, newest version first come or not.
 *
 * After a start nothing may be loaded until the platform itself confirmed the grants, since this process has forgotten
 * which revocations it acknowledged and a router may push an older placement than those.
 */
export class GrantTable {
  private readonly known = new Map<string, KnownPlacement>();
  private confirmed = false;

  /** @param serverId - The server whose grants these are. */
  constructor(private readonly serverId: ServerId) {}

  /** Whether the platform confirmed the grants since the start. */
  get isConfirmed(): boolean {
    return this.confirmed;
  }

  /**
   * Takes a placement from whichever source; a version that is not newer changes nothing.
   * @param placement - Placement with the version it has in the platform.
   */
  accept(placement: Versioned<Placement>): boolean {
    const modelId = placement.value.modelId;
    const currentVersion = this.known.get(modelId)?.version ?? 0;
    if (placement.version <= currentVersion) {
      return false;
    }
    const grant = placement.value.grants.find((candidate) => candidate.serverId === this.serverId);
    this.known.set(modelId, { version: placement.version, state: grant?.state ?? 'none' });
    return true;
  }

  /**
   * Takes all placements as the platform itself listed them after this process started.
   * @param placements - All placements.
   */
  confirm(placements: readonly Versioned<Placement>[]): void {
    for (const placement of placements) {
      this.accept(placement);
    }
    this.confirmed = true;
  }

  /** @param modelId - Model to load. */
  mayLoad(modelId: string): boolean {
    return this.confirmed && this.known.get(modelId)?.state === 'active';
  }

  /** @param modelId - Model to look at; true when a newer placement takes the model away. */
  isRevoked(modelId: string): boolean {
    const known = this.known.get(modelId);
    return known !== undefined && known.state !== 'active';
  }

  /** @param modelId - Model to look at; 0 when nothing is known of it. */
  versionOf(modelId: string): number {
    return this.known.get(modelId)?.version ?? 0;
  }
}
