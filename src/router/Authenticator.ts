import { createHash, timingSafeEqual } from 'node:crypto';
import type { OrganisationConfiguration } from '../domain/index.js';
import type { Catalogue } from '../state/index.js';

/** Finds the organisation that a bearer token belongs to. */
export class Authenticator {
  /** @param catalogue - Organisations there are. */
  constructor(private readonly catalogue: Catalogue) {}

  /**
   * Finds the organisation, in a time that does not depend on where the token differs.
   * @param authorization - The request's `Authorization` header.
   */
  getOrganisation(authorization: string | undefined): OrganisationConfiguration | undefined {
    const token = /^Bearer (.+)$/.exec(authorization ?? '')?.[1];
    if (token === undefined) {
      return undefined;
    }
    const presented = createHash('sha256').update(token).digest();
    let found: OrganisationConfiguration | undefined;
    for (const organisation of this.catalogue.getOrganisations()) {
      for (const tokenSha256 of organisation.tokenSha256s) {
        const known = Buffer.from(tokenSha256, 'hex');
        if (known.length === presented.length && timingSafeEqual(known, presented)) {
          found = organisation;
        }
      }
    }
    return found;
  }
}
