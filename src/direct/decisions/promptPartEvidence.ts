/** Share of the requests at a crash whose answers had not begun. */
const WAITING_SHARE = 0.5;

/**
 * Returns the evidence against a part from the number of its requests that broke off in a crash, given that there was one. One
 * request with a guilty part crashes the engine, so that the others had not begun yet.
 * @param count - Number of requests with the part, 1 or more.
 * @param brokenCount - Number of all requests that broke off.
 * @param share - Share of the part in all requests.
 */
export function getCountEvidence(count: number, brokenCount: number, share: number): number {
  const others = brokenCount - 1;
  if (share >= 1 || others === 0) {
    return 0;
  }
  const waiting = share * WAITING_SHARE;
  const guilty = (count - 1) * Math.log(waiting) + (others - count + 1) * Math.log(1 - waiting);
  const sound = count * Math.log(share) + (brokenCount - count) * Math.log(1 - share);
  // The binomial coefficients of both differ by this factor.
  const coefficients = Math.log(count / brokenCount);
  return guilty - sound + coefficients + Math.log(1 - (1 - share) ** brokenCount);
}

/**
 * Returns the logarithm of Chernoff's bound on the probability of at least so many successes.
 * @param successCount - Number of successes, 1 or more.
 * @param trialCount - Number of trials.
 * @param chance - Probability of a success in one trial, above 0.
 */
export function getLogTail(successCount: number, trialCount: number, chance: number): number {
  const share = successCount / trialCount;
  if (share <= chance) {
    return 0;
  }
  const failures = share === 1 ? 0 : (1 - share) * Math.log((1 - share) / (1 - chance));
  return -trialCount * (share * Math.log(share / chance) + failures);
}
