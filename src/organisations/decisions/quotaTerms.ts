import { hashToFraction } from '../../kernel/rendezvous.js';
import type { OrganisationId } from '../../domain/index.js';
import type { Quota, QuotaTolerance } from '../Organisation.js';

/**
 * Number of groups of organisations. A group has one issuer, so that the messages by which routers stay in touch with
 * issuers do not grow with the number of organisations.
 */
export const QUOTA_GROUP_COUNT = 4;
/** Time for which a router counts at an issuer after the issuer's stamp that the router returned, in milliseconds. */
export const QUOTA_LEASE_MS = 1_500;
/**
 * Time for which the largest number of routers is remembered, in milliseconds. A cut-off half cannot be told from a lost
 * one, so the share of routers that are gone is not used before.
 */
export const ROUTER_COUNT_MEMORY_MS = 600_000;
/**
 * Part of the tolerance for each of three uses: credit of requests that were not sent yet, requests that cost more than the
 * burst, and routers without an issuer. The fourth part covers differences in what processes know.
 */
const TOLERANCE_PART = 0.25;
/** Time whose rate may be used at once where the burst is smaller, in seconds, so that whole requests fit. */
const MIN_BURST_S = 1;
const MS_PER_SECOND = 1_000;

/** Quota as of one version of the configuration. */
export interface QuotaTerms {
  readonly version: number;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Limits of a token bucket that holds the whole of a quota, in the quota's unit. */
export interface BucketLimits {
  readonly ratePerSecond: number;
  /** Maximum credit in the bucket. */
  readonly maxCredit: number;
  /** Maximum sum of the credit in the bucket and the credit of requests that were not sent yet. */
  readonly maxUnsent: number;
  /** Amount by which one request may cost more than the maximum credit. */
  readonly maxOverdraft: number;
  /** Credit of all routers without an issuer, at once and again over each window. */
  readonly gapCredit: number;
  readonly windowMs: number;
}

/**
 * Returns the limits of a bucket for a whole quota. In a window, the bucket grants at most the rate for the window, the
 * burst and half of the tolerance.
 * @param terms - The quota.
 * @param tolerance - How far it may be exceeded.
 */
export function getBucketLimits(
  { ratePerSecond, burst }: Pick<Quota, 'ratePerSecond' | 'burst'>,
  { windowMs, ratio, slack }: QuotaTolerance,
): BucketLimits {
  const allowed = (ratePerSecond * windowMs) / MS_PER_SECOND + burst;
  const part = TOLERANCE_PART * (allowed * ratio + slack);
  return {
    ratePerSecond,
    maxCredit: Math.max(burst, Math.min(part, ratePerSecond * MIN_BURST_S)),
    maxUnsent: burst + part,
    maxOverdraft: part,
    gapCredit: part / 2,
    windowMs,
  };
}

/**
 * Returns the group of an organisation, the same in every process.
 * @param organisationId - The organisation.
 */
export function getQuotaGroup(organisationId: OrganisationId): number {
  return Math.floor(hashToFraction('quota group', organisationId) * QUOTA_GROUP_COUNT);
}
