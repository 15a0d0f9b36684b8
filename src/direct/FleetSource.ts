import type { ServerId } from '../domain/index.js';
import type { ServerEntry } from './decisions/ServerEntry.js';
import type { ServingConfiguration } from './decisions/ServingConfiguration.js';

/** Reason for which a call returned no result. */
export type SourceFailure =
  /** The changes since the given revision are no longer known; the subject must be listed again. */
  { readonly kind: 'historyGone' } | { readonly kind: 'unavailable'; readonly detail: string };

/**
 * Era and revision of the platform's store that a result reflects. The era rises each time the store is restored from a
 * copy; revisions are then given out again, so those of different eras can't be compared.
 */
export interface StorePosition {
  readonly era: number;
  readonly revision: number;
}

/** All servers as of a position. */
export interface ServerListing extends StorePosition {
  readonly kind: 'listed';
  readonly entries: readonly ServerEntry[];
  /** IDs of entries that could not be read; these servers are not used. */
  readonly unreadableIds: readonly ServerId[];
}

/** A change of one server. */
export type ServerChange =
  | { readonly kind: 'present'; readonly entry: ServerEntry }
  | { readonly kind: 'unreadable'; readonly serverId: ServerId }
  | { readonly kind: 'gone'; readonly serverId: ServerId };

/** Changes of servers up to a position. */
export interface ServerChanges extends StorePosition {
  readonly kind: 'changed';
  readonly changes: readonly ServerChange[];
}

/** The latest configuration as of a position. */
export interface ConfigurationRead extends StorePosition {
  readonly kind: 'read';
  /** Undefined if there is none, if a watch found no newer one, or if it could not be read. */
  readonly configuration: ServingConfiguration | undefined;
  /** Why the configuration could not be read; absent if it could, or if there is none. */
  readonly problem?: string;
}

/** Source of the configuration and the list of backend servers. */
export abstract class FleetSource {
  /** Reads all servers. */
  abstract listServers(): Promise<ServerListing | SourceFailure>;

  /**
   * Waits for changes of servers.
   * @param revision - Revision up to which changes are known.
   * @param waitMs - Maximum wait in milliseconds.
   */
  abstract watchServers(revision: number, waitMs: number): Promise<ServerChanges | SourceFailure>;

  /** Reads the latest configuration. */
  abstract readConfiguration(): Promise<ConfigurationRead | SourceFailure>;

  /**
   * Waits for a newer configuration; the result has none if nothing changed in time.
   * @param revision - Revision up to which changes are known.
   * @param waitMs - Maximum wait in milliseconds.
   */
  abstract watchConfiguration(revision: number, waitMs: number): Promise<ConfigurationRead | SourceFailure>;

  /** Closes the source and ends its pending calls. */
  abstract close(): void;
}
