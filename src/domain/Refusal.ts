import type { Verdict } from './Verdict.js';

/** Reason why a request got no complete response. */
export type RefusalReason =
  | 'malformedRequest'
  | 'bodyTooLarge'
  | 'unauthenticated'
  | 'unknownModel'
  | 'unknownService'
  | 'forbidden'
  | 'deadlinePassed'
  | 'cannotMeetDeadline'
  | 'overloaded'
  | 'noServer'
  | 'serverLeaving'
  | 'notLoaded'
  | 'notGranted'
  | 'noMemory'
  | 'loadFailed'
  | 'platformUnavailable'
  | 'alreadyClaimed'
  | 'claimInProgress'
  | 'keyReused'
  | 'quarantined'
  | 'budgetExhausted'
  | 'routerStopping'
  | 'connectionLost'
  | 'serverFailed'
  | 'truncated'
  | 'cancelled';

/** Final response to a request that could not be completed. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Explanation for the caller: the error and the allowed values. */
  readonly detail: string;
  readonly verdict: Verdict;
  /** Retry delay in milliseconds; absent when a retry is pointless. */
  readonly retryAfterMs?: number;
}

/** HTTP status of each reason. */
const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  malformedRequest: 400,
  bodyTooLarge: 413,
  unauthenticated: 401,
  unknownModel: 404,
  unknownService: 404,
  forbidden: 403,
  deadlinePassed: 504,
  cannotMeetDeadline: 503,
  overloaded: 503,
  noServer: 503,
  serverLeaving: 503,
  notLoaded: 503,
  notGranted: 503,
  noMemory: 503,
  loadFailed: 503,
  platformUnavailable: 503,
  alreadyClaimed: 409,
  claimInProgress: 409,
  keyReused: 422,
  quarantined: 422,
  budgetExhausted: 429,
  routerStopping: 503,
  connectionLost: 502,
  serverFailed: 502,
  truncated: 502,
  cancelled: 499,
};

/** @param reason - Reason of a refusal. */
export function getHttpStatus(reason: RefusalReason): number {
  return STATUS_BY_REASON[reason];
}

/** Error that carries a refusal. */
export class RefusedError extends Error {
  /** @param refusal - Refusal to send to the caller. */
  constructor(readonly refusal: Refusal) {
    super(`${refusal.reason}: ${refusal.detail}`);
  }
}
