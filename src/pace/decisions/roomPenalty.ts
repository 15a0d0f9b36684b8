/** Share of an engine's memory for requests up to which it counts as having room: reports lag. */
const SAFE_SHARE = 0.9;
/** Penalty of an engine whose memory is used up: it preempts requests, and crashes if it holds too many. */
const FULL_PENALTY = 4;

/**
 * Returns the penalty of an engine that has little or no room for a request, as a share of its slots.
 * @param usedTokens - Expected number of tokens that the engine holds with the request.
 * @param cacheTokens - Number of tokens for which it has memory.
 */
export function getRoomPenalty(usedTokens: number, cacheTokens: number): number {
  const share = usedTokens / Math.max(1, cacheTokens);
  return FULL_PENALTY * Math.min(1, Math.max(0, (share - SAFE_SHARE) / (1 - SAFE_SHARE)));
}
