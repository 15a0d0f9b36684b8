import type { Verdict } from './Verdict.js';

/** Why a request was not answered in full. */
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

/** Final answer to a request that is given up on. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Sentence for the caller: what was found and what is allowed. */
  readonly detail: string;
  readonly verdict: Verdict;
  /** Time after which asking again makes sense, in milliseconds; absent where it never does. */
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
export function getStatusOf(reason: RefusalReason): number {
  return STATUS_BY_REASON[reason];
}

/** Error that carries a refusal through promises. */
export class RefusedError extends Error {
  /** @param refusal - The refusal. */
  constructor(readonly refusal: Refusal) {
    super(`${refusal.reason}: ${refusal.detail}`);
  }
}
