import type { ClaimParams, OutcomeParams, RecordedOutcome } from '../domain/index.js';

/**
 * Checks a claim as received; one that cannot be written would stop all later claims of its shard.
 * @param params - The claim.
 * @throws TypeError when a field has another type.
 */
export function checkClaimParams(params: ClaimParams): void {
  const { claimShard, key, fingerprint, requestId, attemptId, target } = params;
  const { serverId, incarnation, peerAddress } = target;
  if (
    ![claimShard, key, fingerprint, requestId, attemptId, serverId, incarnation, peerAddress].every(isText)
  ) {
    throw new TypeError('The fields of a claim and its target must be strings.');
  }
}

/**
 * Checks an outcome as received.
 * @param params - The outcome.
 * @throws TypeError when a field has another type.
 */
export function checkOutcomeParams(params: OutcomeParams): void {
  const { claimShard, key, requestId, outcome } = params;
  if (
    ![claimShard, key, requestId].every(isText) ||
    !(outcome === 'didNotRun' || isRecordedOutcome(outcome))
  ) {
    throw new TypeError('An outcome must have a shard, a key, a request id and a result.');
  }
}

function isRecordedOutcome({ head, body }: RecordedOutcome): boolean {
  return Number.isInteger(head.status) && isText(head.contentType) && (body === undefined || isText(body));
}

function isText(value: unknown): boolean {
  return typeof value === 'string';
}
