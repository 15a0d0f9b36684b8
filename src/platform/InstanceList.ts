import type { InstanceEntry } from '../domain/index.js';

/** Instances as of one revision of the platform. */
export interface InstanceListing {
  readonly instances: readonly InstanceEntry[];
  readonly revision: number;
}

/** The platform's list of live and leaving instances; it lags. */
export abstract class InstanceList {
  /**
   * Waits for a change and reads the list; undefined when the platform is unavailable.
   * @param sinceRevision - Revision of the last listing; 0 answers at once.
   * @param timeoutMs - Longest wait in milliseconds.
   */
  abstract watch(sinceRevision: number, timeoutMs: number): Promise<InstanceListing | undefined>;
}
