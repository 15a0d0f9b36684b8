import type { OrganisationConfiguration } from '../domain/index.js';
import { digestKey } from '../organisations/index.js';
import type { Catalogue } from '../state/index.js';

/** Authenticates callers by bearer token. */
export class Authenticator {
  /** @param catalogue - Catalogue of the organisations. */
  constructor(private readonly catalogue: Catalogue) {}

  /**
   * Returns the organisation that the token belongs to.
   * @param authorization - Value of the `Authorization` header.
   */
  getOrganisation(authorization: string | undefined): OrganisationConfiguration | undefined {
    const token = /^Bearer (.+)$/.exec(authorization ?? '')?.[1];
    return token === undefined ? undefined : this.catalogue.getOrganisationByKey(digestKey(token));
  }
}
