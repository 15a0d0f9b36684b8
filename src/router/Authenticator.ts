import { createHash, timingSafeEqual } from 'node:crypto';
import type { OrganisationConfiguration } from '../domain/index.js';
import type { Catalogue } from '../state/index.js';

/** Authenticates callers by bearer token. */
export class Authenticator {
  /** @param catalogue - Catalogue of the organisations. */
  constructor(private readonly catalogue: Catalogue) {}

  /**
   * Returns the organisation that the token belongs to, comparing hashes in constant time.
   * @param authorization - Value of the `Authorization` header.
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
        const expected = Buffer.from(tokenSha256, 'hex');
        if (expected.length === presented.length && timingSafeEqual(expected, presented)) {
          found = organisation;
        }
      }
    }
    return found;
  }
}
