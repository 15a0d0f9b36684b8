import type { OrganisationDirectory } from './OrganisationDirectory.js';

/** What a router knows of the fleet as far as it concerns quotas. */
export interface QuotaFleet {
  /** Number that changes with the listed engines. */
  readonly changeCount: number;
  /** Version of the configuration; undefined before the first one. */
  readonly version: number | undefined;
  readonly organisations: OrganisationDirectory | undefined;
  /** Whether the configuration has engines, each with an agent. */
  readonly hasAgents: boolean;
  /** Addresses of the listed engines. */
  getIssuers(): Iterable<string>;
  /** Returns the largest number of routers known since a time, in milliseconds; undefined if none is known. */
  getRouterCount(sinceMs: number): number | undefined;
}
