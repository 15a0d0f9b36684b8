/**
 * Part of the update limit that one watch leaves for the timeout of a call whose connection has become unresponsive, and
 * for the call after it, in milliseconds.
 */
const RESPONSE_RESERVE_MS = 1_000;
/** Share of the update limit for which changes of servers are collected, so that one call returns many of them. */
const CHANGES_DELAY_SHARE = 0.3;
/** Part of the update limit that the watch after that delay leaves, in milliseconds. */
const DELAYED_RESERVE_MS = 900;
/** Shortest update limit that is assumed, in milliseconds. */
const MIN_UPDATE_LIMIT_MS = 2_000;
/** Durations of the watches, from the time in which a change must take effect. */
export interface WatchTimes {
  /** Maximum wait of one watch, in milliseconds. */
  readonly waitMs: number;
  /** Delay after changes of servers, in milliseconds. */
  readonly changesDelayMs: number;
  /** Maximum wait of the watch after that delay, in milliseconds. */
  readonly delayedWaitMs: number;
}

/**
 * Returns the durations of the watches.
 * @param updateLimitMs - Time in which a change must take effect, in milliseconds.
 */
export function getWatchTimes(updateLimitMs: number): WatchTimes {
  const limitMs = Math.max(MIN_UPDATE_LIMIT_MS, updateLimitMs);
  const changesDelayMs = CHANGES_DELAY_SHARE * limitMs;
  return {
    waitMs: Math.round(limitMs - RESPONSE_RESERVE_MS),
    changesDelayMs,
    delayedWaitMs: Math.round(limitMs - DELAYED_RESERVE_MS - changesDelayMs),
  };
}
