import type { OrganisationId } from '../domain/index.js';
import type { Metrics } from '../telemetry/index.js';

/** Maximum number of organisations with counters of their own; the others share one. */
const MAX_ORGANISATIONS = 64;
/** Counter of the organisations without their own; no name of an organisation can be equal to it. */
const OTHERS = '_others';
/** Maximum number of characters of an organisation's name in the name of a counter. */
const MAX_NAME_LENGTH = 40;

/** Counters by organisation, bounded in number. */
export class OrganisationCounters {
  private readonly names = new Map<OrganisationId, string>();

  /** @param metrics - Receives the counters. */
  constructor(private readonly metrics: Metrics) {}

  /**
   * Adds 1 to a counter of an organisation.
   * @param counter - Name of the counter.
   * @param organisationId - The organisation.
   */
  count(counter: string, organisationId: OrganisationId): void {
    let name = this.names.get(organisationId);
    if (name === undefined) {
      if (this.names.size >= MAX_ORGANISATIONS) {
        name = OTHERS;
      } else {
        name = organisationId.slice(0, MAX_NAME_LENGTH).replaceAll(/[^a-zA-Z0-9]/g, '_');
        this.names.set(organisationId, name);
      }
    }
    this.metrics.count(`${counter}_${name}`);
  }
}
