import type { OrganisationId } from '../domain/index.js';
import { digestKey, KeyDirectory } from './KeyDirectory.js';
import type { Organisation } from './Organisation.js';

/** What the key of a request gives access to. */
export type CallerAccess =
  /** The configuration has no organisations, so that callers need no key. */
  | { readonly kind: 'unmanaged' }
  /** The request has no valid key, and its route needs none. */
  | { readonly kind: 'public' }
  | { readonly kind: 'organisation'; readonly organisation: Organisation; readonly keyDigest: string }
  | { readonly kind: 'denied'; readonly detail: string }
  /** Whether the key is valid is not known at the moment. */
  | { readonly kind: 'uncertain'; readonly detail: string };

/** Organisations of one version of the configuration, by their keys. */
export class OrganisationDirectory {
  private readonly keys: KeyDirectory<Organisation>;
  private readonly byId: ReadonlyMap<OrganisationId, Organisation>;

  /**
   * @param organisations - The organisations.
   * @param problems - What could not be read of them, for the log; contains no keys.
   */
  constructor(
    readonly organisations: readonly Organisation[],
    readonly problems: readonly string[] = [],
  ) {
    this.keys = new KeyDirectory(organisations);
    this.byId = new Map(organisations.map((organisation) => [organisation.organisationId, organisation]));
    if (this.keys.sharedKeyCount > 0) {
      const detail = `${this.keys.sharedKeyCount} keys of several organisations are valid for none of them`;
      this.problems = [...problems, detail];
    }
  }

  /**
   * Returns an organisation; undefined if there is none of this ID.
   * @param organisationId - The ID.
   */
  find(organisationId: OrganisationId): Organisation | undefined {
    return this.byId.get(organisationId);
  }

  /**
   * Returns what a request may access.
   * @param isPublicRoute - Whether the request's route needs no key.
   * @param key - Key of the request; undefined if it has none.
   */
  authorize(isPublicRoute: boolean, key: string | undefined): CallerAccess {
    const keyDigest = key === undefined ? undefined : digestKey(key);
    const organisation = keyDigest === undefined ? undefined : this.keys.getOwner(keyDigest);
    if (keyDigest !== undefined && organisation) {
      return { kind: 'organisation', organisation, keyDigest };
    }
    if (isPublicRoute) {
      return { kind: 'public' };
    }
    return { kind: 'denied', detail: key === undefined ? 'the key is missing' : 'the key is not valid' };
  }

  /**
   * Whether a key is still valid for an organisation.
   * @param keyDigest - Digest of the key.
   * @param organisation - Organisation that it was valid for, possibly as of an earlier version.
   */
  isValid(keyDigest: string, organisation: Organisation): boolean {
    return this.keys.getOwner(keyDigest)?.organisationId === organisation.organisationId;
  }
}
