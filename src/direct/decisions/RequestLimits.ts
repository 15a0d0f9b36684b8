import { isRetryable, type Route } from './ServingConfiguration.js';

/** Latency target up to which callers wait live, in milliseconds; overnight work has seconds. */
const LIVE_TARGET_MS = 1_000;
/** Silence before the first piece after which a repeatable request goes to another server, as a multiple of its target. */
const SILENCE_TARGETS = 2.5;
/** Shortest such silence, in milliseconds. */
const MIN_SILENCE_MS = 300;
/** Silence in a stream after which it is resumed elsewhere, as a multiple of its longest pause. */
const SILENT_GAPS = 5;
/** Callers give a stream up that has not begun after the longest of these: a time in milliseconds, */
const MIN_PATIENCE_MS = 2_000;
/** a multiple of its latency target, */
const PATIENCE_TARGETS = 4;
/** and a multiple of its longest pause. */
const PATIENCE_GAPS = 8;
/** Time before a request's end at which waiting for a server stops, in milliseconds: a first event needs about so long. */
const SERVICE_RESERVE_MS = 300;

/** How long a server may be silent. */
export interface SilenceLimits {
  /** Before the first piece of its answer, in milliseconds; absent where waiting is all one can do. */
  readonly firstPieceTimeoutMs?: number;
  /** Between two pieces, in milliseconds. */
  readonly gapTimeoutMs?: number;
}

/** Moments and durations that bound one request, from its route, its caller and its arrival. */
export class RequestLimits {
  /** When the request must have its final answer. */
  readonly deadlineAtMs: number;
  /** When the caller expects the first piece of the answer. */
  readonly targetAtMs: number;
  /** When waiting for a server no longer makes sense. */
  readonly waitDeadlineAtMs: number;
  /** Whether the caller waits live. */
  readonly isInteractive: boolean;

  /**
   * @param route - Route of the request.
   * @param deadlineMs - Time that the caller waits, in milliseconds; absent when it did not say.
   * @param receivedAtMs - When the request came.
   */
  constructor(
    private readonly route: Route,
    deadlineMs: number | undefined,
    receivedAtMs: number,
  ) {
    const patienceMs = Math.max(
      MIN_PATIENCE_MS,
      PATIENCE_TARGETS * route.latencyTargetMs,
      PATIENCE_GAPS * (route.maxGapMs ?? 0),
    );
    this.deadlineAtMs = receivedAtMs + Math.min(route.timeoutMs, deadlineMs ?? route.timeoutMs);
    this.targetAtMs = receivedAtMs + route.latencyTargetMs;
    this.waitDeadlineAtMs =
      Math.min(this.deadlineAtMs, receivedAtMs + (route.kind === 'stream' ? patienceMs : Infinity)) -
      SERVICE_RESERVE_MS;
    this.isInteractive = route.latencyTargetMs <= LIVE_TARGET_MS;
  }

  /**
   * How long a server may be silent before the request goes to another.
   * @param runCount - Servers that may have run the request already.
   * @param hasOtherServer - Finds out whether another server could take it; without one it is waited for.
   */
  getSilenceLimits(runCount: number, hasOtherServer: () => boolean): SilenceLimits {
    const { route } = this;
    if (!isRetryable(route) || runCount + 1 >= route.maxAttempts || !hasOtherServer()) {
      return {};
    }
    return {
      firstPieceTimeoutMs: Math.max(MIN_SILENCE_MS, route.latencyTargetMs * SILENCE_TARGETS),
      gapTimeoutMs: route.maxGapMs === undefined ? undefined : route.maxGapMs * SILENT_GAPS,
    };
  }
}
