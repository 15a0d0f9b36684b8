import type { Versioned } from '../domain/index.js';

/** Result of a conditional update. */
export type UpdateResult =
  | { readonly kind: 'written'; readonly version: number }
  /** Another writer has changed the object. */
  | { readonly kind: 'conflict' }
  /** The platform did not respond; the update may have taken effect. */
  | { readonly kind: 'unknown' }
  /** The platform refused the update without applying it. */
  | { readonly kind: 'unavailable' };

/** Result of a read. */
export type ReadResult<T> =
  | { readonly kind: 'found'; readonly object: Versioned<T> }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable' };

/** An object found under a prefix. */
export interface ListedObject<T> extends Versioned<T> {
  readonly path: string;
  readonly deleted: boolean;
  /** Revision of the platform at which the object last changed. */
  readonly revision: number;
}

/** Objects under a prefix as of one revision of the platform. */
export interface Listing<T> {
  readonly objects: readonly ListedObject<T>[];
  /** Revision from which the next watch continues. */
  readonly revision: number;
}

/** The platform's object API. */
export abstract class ObjectStore {
  /**
   * Reads an object.
   * @param path - Path of the object.
   */
  abstract read<T>(path: string): Promise<ReadResult<T>>;

  /**
   * Writes a value if the object still has the given version.
   * @param path - Path of the object.
   * @param value - New value.
   * @param ifVersion - Version the object must have; 0 for one that must not exist.
   */
  abstract update(path: string, value: unknown, ifVersion: number): Promise<UpdateResult>;

  /**
   * Deletes an object if it still has the given version.
   * @param path - Path of the object.
   * @param ifVersion - Version the object must have.
   */
  abstract remove(path: string, ifVersion: number): Promise<UpdateResult>;

  /**
   * Reads all objects under a prefix; undefined when the platform is unavailable.
   * @param prefix - Start of the paths.
   */
  abstract list<T>(prefix: string): Promise<Listing<T> | undefined>;

  /**
   * Waits for changes under a prefix; undefined when the platform is unavailable.
   * @param prefix - Start of the paths.
   * @param sinceRevision - Revision of the last listing or watch.
   * @param timeoutMs - Maximum wait in milliseconds, after which the listing is empty.
   */
  abstract watch<T>(
    prefix: string,
    sinceRevision: number,
    timeoutMs: number,
  ): Promise<Listing<T> | undefined>;
}
