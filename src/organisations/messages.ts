import type { OrganisationId } from '../domain/index.js';
import type { IssuerStamp } from './decisions/index.js';

/** Methods that agents offer to routers for the quotas of organisations. */
export const QUOTA_METHODS = {
  renew: 'quotas.renew',
  release: 'quotas.release',
  take: 'quotas.take',
  giveBack: 'quotas.giveBack',
} as const;

/** Lends a router's share of the quotas of a group to an agent, or extends the loan. */
export interface RenewShareParams {
  readonly group: number;
  readonly routerId: string;
  /** Latest stamp of the agent; absent in the first call, which lends nothing yet. */
  readonly echo?: IssuerStamp;
  /** Largest number of routers that this one has known of lately. */
  readonly routerCount: number;
  /** Whether it has known of routers for long enough that the number can be relied on. */
  readonly isCountReliable: boolean;
  /** Credit of requests that were not sent yet, for each organisation that has some. */
  readonly unsent: readonly (readonly [OrganisationId, number])[];
  /** Quotas of the group, if the agent knows only an older version. */
  readonly quotas?: GroupQuotas;
}

/** Quotas of a group of organisations as of one version of the configuration. */
export interface GroupQuotas {
  readonly version: number;
  /** Organisation, rate per second and burst. */
  readonly limits: readonly (readonly [OrganisationId, number, number])[];
}

/** An agent's reply to {@link RenewShareParams}. */
export interface RenewShareReply extends IssuerStamp {
  /** Newest version of the configuration whose quotas the agent knows; -1 if it knows none. */
  readonly version: number;
}

/** Withdraws a router's share from an agent. */
export interface ReleaseShareParams {
  readonly group: number;
  readonly routerId: string;
}

/** An agent's reply: whether it no longer counts the router. */
export interface ReleaseShareReply {
  readonly isReleased: boolean;
}

/** Asks for the credit of requests of one organisation. */
export interface TakeCreditParams {
  readonly group: number;
  readonly routerId: string;
  readonly organisationId: OrganisationId;
  /** Version of the configuration that contains the limit. */
  readonly version: number;
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Cost of each request. */
  readonly costs: readonly number[];
  /** Credit of the router's requests that were not sent yet, without these. */
  readonly unsent: number;
}

/** An agent's reply to {@link TakeCreditParams}. */
export interface TakeCreditReply {
  /** For each request, 0 if it is granted, else the time after which its caller may return, in milliseconds; absent if the agent does not have the router's share. */
  readonly retriesInMs?: readonly number[];
  /** Credit granted in the last window. */
  readonly spent?: number;
}

/** Returns the credit of a request that did not run. */
export interface GiveBackParams {
  readonly group: number;
  readonly routerId: string;
  readonly organisationId: OrganisationId;
  readonly cost: number;
}
