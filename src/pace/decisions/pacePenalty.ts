import { getBatchFactor } from './ModelPace.js';

/**
 * Expected longest pause of a stream as a multiple of its expected gap: servers have periods of about 0.6 s in which they
 * are 2.5 times slower.
 */
const LONGEST_PAUSE_FACTOR = 2.5;
/** Share of a limit up to which an interactive request is expected to stay within it. */
const SAFE_SHARE = 0.7;
/** The same for other requests, which leave the fast servers to interactive ones. */
const BATCH_SAFE_SHARE = 0.85;
/** Penalty of an expected pause at the safe share of the longest allowed one, for interactive requests. */
const PAUSE_PENALTY = 0.3;
/** Penalty of a server without pauses, for requests that leave the fast servers to interactive ones. */
const FAST_SERVER_PENALTY = 0.6;
/** Penalty of a time as long as its limit beyond the safe share. */
const LATE_PENALTY = 2;
/** Largest penalty for the pauses or the first event: a slow server is better than one that sheds or fails. */
const MAX_LATE_PENALTY = 3;
/** Tokens of a prompt that a server of usual pace reads in a millisecond. */
const PROMPT_TOKENS_PER_MS = 38;
/** Time from a request to its first event without the prompt, in milliseconds. */
const FIRST_STEP_MS = 20;
/** Time for which each waiting request delays the first event on a server of usual pace, in milliseconds. */
const WAITING_REQUEST_MS = 20;

/** What is expected of a server and what the route allows. */
export interface PaceExpectation {
  /** Expected time between two events in a usual batch, in milliseconds. */
  readonly gapMs: number;
  /** Time that the server needs as a multiple of the usual time. */
  readonly paceFactor: number;
  /** Number of requests in the server's batch with this one. */
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly promptTokens: number;
  readonly isInteractive: boolean;
  /** Longest time between two events that the route allows, in milliseconds. */
  readonly maxGapMs: number;
  /** Longest time to the first event that the route allows, in milliseconds; absent if it is not limited. */
  readonly latencyTargetMs?: number;
}

/** Penalty of a server, and by how much each further request raises it. */
export interface PacePenalty {
  readonly penalty: number;
  readonly risePerRequest: number;
}

/**
 * Returns the penalty of a server for the expected longest pause and the expected time to the first event, as a share of
 * its slots. Interactive requests prefer fast servers; others prefer those that are just fast enough.
 * @param expectation - What is expected of the server and what the route allows.
 */
export function getPacePenalty(expectation: PaceExpectation): PacePenalty {
  const { gapMs, runningCount, isInteractive, maxGapMs, latencyTargetMs } = expectation;
  const usualShare = (LONGEST_PAUSE_FACTOR * gapMs) / maxGapMs;
  const pauseShare = usualShare * getBatchFactor(runningCount);
  const safeShare = isInteractive ? SAFE_SHARE : BATCH_SAFE_SHARE;
  const usedShare = Math.min(1, pauseShare / safeShare);
  const preference = isInteractive ? PAUSE_PENALTY * usedShare : FAST_SERVER_PENALTY * (1 - usedShare);
  const firstEventShare =
    latencyTargetMs === undefined ? 0 : getFirstEventMs(expectation) / Math.max(1, latencyTargetMs);
  const shareRise = usualShare * (getBatchFactor(1) - getBatchFactor(0));
  return {
    penalty: preference + getLatePenalty(pauseShare, safeShare) + getLatePenalty(firstEventShare, safeShare),
    risePerRequest: shareRise * getSlope(pauseShare, safeShare, isInteractive),
  };
}

function getLatePenalty(share: number, safeShare: number): number {
  return Math.min(MAX_LATE_PENALTY, LATE_PENALTY * Math.max(0, share - safeShare));
}

/** Returns by how much the penalty for pauses rises with their share of the longest allowed pause. */
function getSlope(pauseShare: number, safeShare: number, isInteractive: boolean): number {
  if (pauseShare < safeShare) {
    return isInteractive ? PAUSE_PENALTY / safeShare : 0;
  }
  return pauseShare < safeShare + MAX_LATE_PENALTY / LATE_PENALTY ? LATE_PENALTY : 0;
}

function getFirstEventMs({ paceFactor, waitingCount, promptTokens }: PaceExpectation): number {
  const usualMs = FIRST_STEP_MS + promptTokens / PROMPT_TOKENS_PER_MS + WAITING_REQUEST_MS * waitingCount;
  return paceFactor * usualMs;
}
