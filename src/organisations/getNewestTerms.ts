import type { OrganisationId } from '../domain/index.js';
import type { QuotaTerms } from './decisions/index.js';
import type { Quota } from './Organisation.js';
import type { QuotaFleet } from './QuotaFleet.js';

/**
 * Returns the newest quota of an organisation; that of a request may be from an earlier version of the configuration.
 * @param fleet - Has the newest configuration.
 * @param organisationId - The organisation.
 * @param quota - Quota of the request, used if the newest configuration has none.
 */
export function getNewestTerms(
  fleet: QuotaFleet,
  organisationId: OrganisationId,
  { ratePerSecond, burst }: Quota,
): QuotaTerms {
  const { version = -1, organisations } = fleet;
  const newest = organisations?.find(organisationId)?.quota;
  return newest
    ? { version, ratePerSecond: newest.ratePerSecond, burst: newest.burst }
    : { version: -1, ratePerSecond, burst };
}
