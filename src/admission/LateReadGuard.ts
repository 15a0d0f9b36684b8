import type { ServerResponse } from 'node:http';
import { PeriodicTask, runInBackground, type Clock, type Service } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import { pollSockets } from '../transport/index.js';

/** Interval at which the process checks that its event loop runs, in milliseconds. */
const TICK_INTERVAL_MS = 50;
/**
 * Time for which a request may have waited in its socket, in milliseconds, from which its caller may have left: callers give up
 * what is not read within a second, or a third of their time.
 */
const LATE_READ_MS = 300;
/** Minimum time between two log lines about late reads, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Dependencies of {@link LateReadGuard}. */
export interface LateReadGuardDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Drops requests that were read late and whose callers have left by then.
 *
 * The end of a connection shows only when it is read, which is after the request before it. In an overloaded process, a
 * request therefore waits for two polls of the sockets before it is sent to a server.
 */
export class LateReadGuard implements Service {
  private readonly tickTask: PeriodicTask;
  private tickAtMs: number;
  private previousTickAtMs: number;
  private loggedAtMs = -Infinity;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: LateReadGuardDependencies) {
    this.tickAtMs = deps.clock.nowMs();
    this.previousTickAtMs = this.tickAtMs;
    this.tickTask = new PeriodicTask(deps.clock, TICK_INTERVAL_MS, () => {
      this.previousTickAtMs = this.tickAtMs;
      this.tickAtMs = deps.clock.nowMs();
    });
  }

  /** Longest time for which a request that is read now may have waited in its socket, in milliseconds. */
  get maxReadDelayMs(): number {
    return Math.max(0, this.deps.clock.nowMs() - this.previousTickAtMs - TICK_INTERVAL_MS);
  }

  start(): Promise<void> {
    this.tickTask.start();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.tickTask.stop();
    return Promise.resolve();
  }

  /**
   * Goes on with a request, at once unless it may have been read late; does nothing if its caller has left.
   * @param response - Response to the caller.
   * @param next - Next step of the request.
   */
  admit(response: ServerResponse, next: () => void): void {
    if (this.maxReadDelayMs < LATE_READ_MS) {
      next();
      return;
    }
    this.recordLateRead();
    runInBackground('late request', async () => {
      await pollSockets();
      await pollSockets();
      if (hasLeft(response)) {
        this.deps.metrics.count('late_requests_dropped');
      } else {
        next();
      }
    });
  }

  private recordLateRead(): void {
    const { clock, log, metrics } = this.deps;
    metrics.count('late_requests_read');
    if (clock.nowMs() - this.loggedAtMs >= LOG_INTERVAL_MS) {
      this.loggedAtMs = clock.nowMs();
      log.warn('requests are read late', { maxReadDelayMs: Math.round(this.maxReadDelayMs) });
    }
  }
}

function hasLeft({ destroyed, closed, socket }: ServerResponse): boolean {
  return destroyed || closed || socket?.destroyed === true || socket?.readableEnded === true;
}
