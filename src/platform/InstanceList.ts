import type { InstanceEntry } from '../domain/index.js';

/** Instances as of one revision of the platform. */
export interface InstanceListing {
  readonly instances: readonly InstanceEntry[];
  readonly revision: number;
}

/** The platform's list of live and leaving instances, which may be out of date. */
export abstract class InstanceList {
  /**
   * Waits for a change and returns the list; undefined when the platform is unavailable.
   * @param sinceRevision - Revision of the last listing; 0 returns the list at once.
   * @param timeoutMs - Maximum wait in milliseconds.
   */
  abstract watch(sinceRevision: number, timeoutMs: number): Promise<InstanceListing | undefined>;
}
