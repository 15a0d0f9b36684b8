import type { Clock } from '../kernel/index.js';
import type { PeerConnection } from '../transport/index.js';
import { findReportChanges, type AgentReport, type ReportChanges } from './decisions/index.js';
import { ROUTING_METHODS } from './messages.js';

/** Number of routers up to which all of them count as active: their reports cost little and they choose places better. */
const MAX_ALWAYS_ACTIVE = 8;
/** Time after its last request to the engine for which a router counts as active, in milliseconds. */
const ACTIVE_MS = 3_000;
/** Interval at which active routers receive a report if nothing important changed, in milliseconds. */
const ACTIVE_INTERVAL_MS = 500;
/**
 * Interval at which other routers receive a report, in milliseconds. A report is outdated after 2.5 seconds, so two may be
 * late.
 */
const IDLE_INTERVAL_MS = 1_000;
/** Minimum time between two reports to one router, in milliseconds, so that changes shortly after each other share one. */
const MIN_GAP_MS = 80;
/** Change of the engine's load that is reported to active routers at once, in requests. */
const MIN_LOAD_CHANGE = 4;

/** Importance of the difference between two reports. */
type ChangeKind =
  | 'none'
  /** Matters to routers that use the engine. */
  | 'load'
  /** Matters to all routers: which models accept requests, whether the engine stays, and its limit. */
  | 'residency';

/** A router that receives reports. */
interface Follower {
  activeAtMs: number;
  sentAtMs: number;
  /** Last report sent to it; undefined if the next one must be complete. */
  sentReport: AgentReport | undefined;
}

/** Comparison of a report with one that some followers received last. */
interface Comparison {
  readonly kind: ChangeKind;
  /** Changes to send; computed when the first of these followers is due. */
  changes: ReportChanges | undefined;
}

/**
 * Sends an engine's reports to the routers that follow it: changes of the models at once to all, changes of the load at
 * once only to routers that use the engine, which are few of a large fleet. In a small fleet all count as using it.
 */
export class ReportPublisher {
  private readonly followers = new Map<PeerConnection, Follower>();
  private routerNames = new Set<string>();

  /** @param clock - Source of time. */
  constructor(private readonly clock: Clock) {}

  /**
   * Number of routers that follow the engine. A router that has lost its connection and dialled again counts once, although
   * its former connection may stay open at this end for a minute.
   */
  get followerCount(): number {
    return this.routerNames.size;
  }

  /**
   * Adds a router; returns false if it follows the engine already.
   * @param connection - Connection to the router.
   */
  add(connection: PeerConnection): boolean {
    if (this.followers.has(connection)) {
      return false;
    }
    this.followers.set(connection, { activeAtMs: -Infinity, sentAtMs: -Infinity, sentReport: undefined });
    this.updateNames();
    return true;
  }

  /**
   * Removes a router.
   * @param connection - Connection to the router.
   */
  remove(connection: PeerConnection): void {
    this.followers.delete(connection);
    this.updateNames();
  }

  /**
   * Records that a router uses the engine.
   * @param connection - Connection to the router.
   */
  recordUse(connection: PeerConnection): void {
    const follower = this.followers.get(connection);
    if (follower) {
      follower.activeAtMs = this.clock.nowMs();
    }
  }

  /**
   * Sends a notification to all routers.
   * @param method - Name of the method.
   * @param params - Parameters.
   */
  notify(method: string, params: object): void {
    for (const connection of this.followers.keys()) {
      connection.notify(method, params);
    }
  }

  /** Makes the next report to each router a complete one. */
  reset(): void {
    for (const follower of this.followers.values()) {
      follower.sentReport = undefined;
    }
  }

  /**
   * Sends a report to the routers for which it is due, and returns their number.
   * @param report - Current state of the engine.
   * @param isForced - Whether to send it to all routers in any case.
   */
  publish(report: AgentReport, isForced = false): number {
    const nowMs = this.clock.nowMs();
    let sentCount = 0;
    const comparisons = new Map<AgentReport | undefined, Comparison>();
    for (const [connection, follower] of this.followers) {
      let comparison = comparisons.get(follower.sentReport);
      if (!comparison) {
        comparison = { kind: getChangeKind(follower.sentReport, report), changes: undefined };
        comparisons.set(follower.sentReport, comparison);
      }
      const isActive = this.followers.size <= MAX_ALWAYS_ACTIVE || nowMs - follower.activeAtMs < ACTIVE_MS;
      if (isForced || isDue(follower, comparison.kind, isActive, nowMs)) {
        comparison.changes ??= findReportChanges(follower.sentReport, report);
        follower.sentReport = report;
        follower.sentAtMs = nowMs;
        connection.notify(ROUTING_METHODS.report, comparison.changes);
        sentCount++;
      }
    }
    return sentCount;
  }

  private updateNames(): void {
    this.routerNames = new Set([...this.followers.keys()].map(({ peerName }) => peerName));
  }
}

function isDue(follower: Follower, kind: ChangeKind, isActive: boolean, nowMs: number): boolean {
  const sinceSentMs = nowMs - follower.sentAtMs;
  if (sinceSentMs >= (isActive ? ACTIVE_INTERVAL_MS : IDLE_INTERVAL_MS)) {
    return true;
  }
  return sinceSentMs >= MIN_GAP_MS && (kind === 'residency' || (kind === 'load' && isActive));
}

function getChangeKind(before: AgentReport | undefined, now: AgentReport): ChangeKind {
  if (
    before?.bornAtMs !== now.bornAtMs ||
    before.isLeaving !== now.isLeaving ||
    before.maxRequestsPerSecond !== now.maxRequestsPerSecond ||
    describeAcceptingModels(before) !== describeAcceptingModels(now)
  ) {
    return 'residency';
  }
  const loadChange = Math.abs(
    now.runningCount + now.waitingCount - before.runningCount - before.waitingCount,
  );
  const hasLoadChange =
    loadChange >= MIN_LOAD_CHANGE ||
    now.isBusy !== before.isBusy ||
    now.orderCount !== before.orderCount ||
    now.comingAdapters.length !== before.comingAdapters.length ||
    now.queuedModels.join(' ') !== before.queuedModels.join(' ');
  return hasLoadChange ? 'load' : 'none';
}

function describeAcceptingModels({ heldModels }: AgentReport): string {
  return heldModels.map(({ name }) => name).join(' ');
}
