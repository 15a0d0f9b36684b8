import { isRetryable, MIN_INTERACTIVE_TARGET_MS, type Route } from './ServingConfiguration.js';

/**
 * Timeout of the first chunk, after which a retryable request may be moved to another server, as a multiple of its latency
 * target.
 */
const FIRST_CHUNK_TIMEOUT_FACTOR = 2.5;
/** Minimum timeout of the first chunk, in milliseconds. */
const MIN_FIRST_CHUNK_TIMEOUT_MS = 300;
/** Timeout between chunks, after which a stream is resumed on another server, as a multiple of its maximum gap. */
const GAP_TIMEOUT_FACTOR = 5;
/** Minimum time that callers wait for the next event of a stream, in milliseconds; they wait for the longest of three times. */
const MIN_EVENT_TIMEOUT_MS = 2_000;
/** Time that callers wait for the next event of a stream, as a multiple of its latency target. */
const EVENT_TIMEOUT_TARGET_FACTOR = 4;
/** Time that callers wait for the next event of a stream, as a multiple of its maximum gap. */
const EVENT_TIMEOUT_GAP_FACTOR = 8;
/**
 * Time between the end of the wait for a server and the end of the caller's wait, in milliseconds: a first event takes
 * about this long.
 */
const FIRST_EVENT_RESERVE_MS = 300;

/** Timeouts after which a server counts as silent, and its request may be moved to another one. */
export interface ChunkTimeouts {
  /** Timeout of the first chunk of the response, in milliseconds; absent where no other server can be used. */
  readonly firstChunkTimeoutMs?: number;
  /** Timeout between two chunks, in milliseconds. */
  readonly gapTimeoutMs?: number;
}

/** Deadlines and timeouts of one request, from its route, the caller's deadline and its time of receipt. */
export class RequestLimits {
  /** When the response must be complete. */
  readonly deadlineAtMs: number;
  /** When the caller expects the first chunk of the response. */
  readonly targetAtMs: number;
  /** Whether the request is interactive, as its latency target shows beside those of the service's other routes. */
  readonly isInteractive: boolean;
  /** Time that the caller waits for the next event of a stream, in milliseconds. */
  private readonly eventTimeoutMs: number;

  /**
   * @param route - Route of the request.
   * @param deadlineMs - Time that the caller waits, in milliseconds; absent when the request does not specify it.
   * @param receivedAtMs - When the request was received.
   * @param maxInteractiveTargetMs - Longest latency target of interactive requests to the service, in milliseconds.
   */
  constructor(
    private readonly route: Route,
    deadlineMs: number | undefined,
    receivedAtMs: number,
    maxInteractiveTargetMs = MIN_INTERACTIVE_TARGET_MS,
  ) {
    this.eventTimeoutMs =
      route.kind === 'stream'
        ? Math.max(
            MIN_EVENT_TIMEOUT_MS,
            EVENT_TIMEOUT_TARGET_FACTOR * route.latencyTargetMs,
            EVENT_TIMEOUT_GAP_FACTOR * (route.maxGapMs ?? 0),
          )
        : Infinity;
    this.deadlineAtMs = receivedAtMs + Math.min(route.timeoutMs, deadlineMs ?? route.timeoutMs);
    this.targetAtMs = receivedAtMs + route.latencyTargetMs;
    this.isInteractive = route.latencyTargetMs <= maxInteractiveTargetMs;
  }

  /**
   * Returns when the wait for a server ends, since a later event would come too late.
   * @param lastEventAtMs - When the caller received the last event; the time of receipt before the first one.
   */
  getWaitDeadlineMs(lastEventAtMs: number): number {
    return Math.min(this.deadlineAtMs, lastEventAtMs + this.eventTimeoutMs) - FIRST_EVENT_RESERVE_MS;
  }

  /**
   * Returns the timeouts after which the request may be moved to another server; empty when it can't be.
   * @param attemptCount - Number of servers that may already have run the request.
   * @param hasOtherServer - Checks whether another server can take the request.
   */
  getChunkTimeouts(attemptCount: number, hasOtherServer: () => boolean): ChunkTimeouts {
    const { route } = this;
    if (!isRetryable(route) || attemptCount + 1 >= route.maxAttempts || !hasOtherServer()) {
      return {};
    }
    return {
      firstChunkTimeoutMs: Math.max(
        MIN_FIRST_CHUNK_TIMEOUT_MS,
        route.latencyTargetMs * FIRST_CHUNK_TIMEOUT_FACTOR,
      ),
      gapTimeoutMs: route.maxGapMs === undefined ? undefined : route.maxGapMs * GAP_TIMEOUT_FACTOR,
    };
  }
}
