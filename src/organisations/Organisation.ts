import type { OrganisationId } from '../domain/index.js';

/** Limit on the requests of an organisation, over all routers together. */
export interface Quota {
  /** What the limit counts; tokens are those of the prompt and the maximum output. */
  readonly unit: 'requests' | 'tokens';
  /** Number of units per second; positive. */
  readonly ratePerSecond: number;
  /** Number of units that may be used at once beyond the rate. */
  readonly burst: number;
  /** Cost of a request that does not state its tokens, in tokens. */
  readonly plainTokens: number;
}

/** How far the requests of an organisation may exceed its quota. */
export interface QuotaTolerance {
  /** Length of the windows in which they are counted, in milliseconds. */
  readonly windowMs: number;
  /** Excess allowed in each window, as a share of the quota for it. */
  readonly ratio: number;
  /** Excess allowed in each window besides, in the quota's unit. */
  readonly slack: number;
}

/** Organisation whose callers present one of its keys. */
export interface Organisation {
  readonly organisationId: OrganisationId;
  /** SHA-256 of each of its keys, in hexadecimal. */
  readonly keyDigests: readonly string[];
  /** Priority of its requests, which takes precedence over that of their routes; 0 is the highest. */
  readonly priority?: number;
  /** Absent without a limit. */
  readonly quota?: Quota;
}

/**
 * Returns what a request costs of a quota, in its unit.
 * @param quota - Quota of the request's organisation.
 * @param tokenCount - Number of tokens of the prompt and the maximum output; 0 if the request does not state it.
 */
export function getRequestCost(quota: Quota, tokenCount: number): number {
  switch (quota.unit) {
    case 'requests':
      return 1;
    case 'tokens':
      return tokenCount > 0 ? tokenCount : quota.plainTokens;
  }
}
