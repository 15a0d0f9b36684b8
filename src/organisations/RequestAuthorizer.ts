import type { Clock } from '../kernel/index.js';
import type { CallerAccess, OrganisationDirectory } from './OrganisationDirectory.js';

/** What a router knows of the configuration that is in force. */
export interface ConfigurationKnowledge {
  /** Version of the configuration that the router has. */
  readonly version: number;
  /** Absent if callers need no key. */
  readonly organisations?: OrganisationDirectory;
  /** When the platform's store last confirmed that there is no newer version, on the clock of the router. */
  readonly confirmedAtMs: number;
  /** Newest version that agents report to be in force; -Infinity before the first report. */
  readonly reportedVersion: number;
}

/** How long a router trusts keys that it cannot confirm. */
export interface RevocationLimits {
  /** Whether keys are refused once the store has not been reached for the time in which a revocation must take effect. */
  readonly isStrict: boolean;
  /** Time in which a revocation must take effect, in milliseconds. */
  readonly revocationLimitMs: number;
}

/**
 * Decides which organisation a request belongs to.
 *
 * A process never goes back to an older configuration. One that has just started may read one, from a store that was restored
 * from a copy, so it accepts no keys until it has caught up with the version that agents report.
 */
export class RequestAuthorizer {
  private hasCaughtUp = false;

  /**
   * @param clock - Source of time.
   * @param getKnowledge - Returns what is known of the configuration; undefined before the first one.
   * @param getLimits - Returns how long keys are trusted.
   */
  constructor(
    private readonly clock: Clock,
    private readonly getKnowledge: () => ConfigurationKnowledge | undefined,
    private readonly getLimits: () => RevocationLimits,
  ) {}

  /**
   * Returns what a request may access.
   * @param isPublicRoute - Whether the request's route needs no key.
   * @param key - Key of the request; undefined if it has none.
   */
  authorize(isPublicRoute: boolean, key: string | undefined): CallerAccess {
    const knowledge = this.getKnowledge();
    if (!knowledge?.organisations) {
      return { kind: 'unmanaged' };
    }
    const access = knowledge.organisations.authorize(isPublicRoute, key);
    const doubt = access.kind === 'public' ? undefined : this.findDoubt(knowledge);
    return doubt === undefined ? access : { kind: 'uncertain', detail: doubt };
  }

  /**
   * Whether the access of an earlier request is no longer given.
   * @param access - Access of the request.
   */
  isRevoked(access: CallerAccess): boolean {
    const organisations = this.getKnowledge()?.organisations;
    return (
      access.kind === 'organisation' &&
      organisations !== undefined &&
      !organisations.isValid(access.keyDigest, access.organisation)
    );
  }

  /** Returns why the keys of the known configuration can't be relied on; undefined if they can. */
  private findDoubt({ version, confirmedAtMs, reportedVersion }: ConfigurationKnowledge): string | undefined {
    this.hasCaughtUp ||= version >= reportedVersion && reportedVersion > -Infinity;
    if (!this.hasCaughtUp && version < reportedVersion) {
      return 'the configuration is older than the one in force';
    }
    const { isStrict, revocationLimitMs } = this.getLimits();
    if (isStrict && this.clock.nowMs() - confirmedAtMs > revocationLimitMs) {
      return 'the platform store that confirms keys is not reached';
    }
    return undefined;
  }
}
