import type { ServerId } from '../../domain/index.js';
import type { AdmissionEstimate } from './AdmissionEstimate.js';
import type { KeepAlivePolicy } from './KeepAlivePolicy.js';
import type { ReplicaView } from './ReplicaView.js';
import type { RequestQueue } from './RequestQueue.js';

/** Batch requests that wake a model even if all of them could wait longer. */
const BATCH_WAKE_COUNT = 8;
/** Loads that a batch request leaves time for when it waits for a warm replica. */
const BATCH_LOAD_MARGIN = 3;
/** How far the keep-alive of a loaded replica may differ from the plan before it is told, as a ratio. */
const KEEP_ALIVE_TOLERANCE = 0.25;

/** Asks a server to load the model, or to keep it for another time than it was told. */
export interface WakeCommand {
  readonly kind: 'wake';
  readonly serverId: ServerId;
  readonly keepAliveMs: number;
}

/** Decides when a model is loaded on a further server, and for how long. */
export class WakePlanner {
  private keepAliveToldMs = 0;
  private lastBusyAtMs: number | undefined;
  private isPreWarmed = false;

  /**
   * @param policy - Keep-alive policy of the model.
   * @param estimate - Load and service times.
   * @param line - Requests that wait.
   */
  constructor(
    private readonly policy: KeepAlivePolicy,
    private readonly estimate: AdmissionEstimate,
    private readonly line: RequestQueue,
  ) {}

  /**
   * Notes that a request came.
   * @param nowMs - Time now.
   * @param wasIdle - Whether nothing ran or waited before it.
   */
  onRequestArrived(nowMs: number, wasIdle: boolean): void {
    if (wasIdle && this.lastBusyAtMs !== undefined) {
      this.policy.recordIdleGap(nowMs - this.lastBusyAtMs);
    }
    this.lastBusyAtMs = nowMs;
    this.isPreWarmed = false;
  }

  /** @param nowMs - When a request ended. */
  onRequestEnded(nowMs: number): void {
    this.lastBusyAtMs = nowMs;
  }

  /**
   * Wakes replicas for the requests that wait.
   * @param replicas - The granted servers, preferred ones first.
   * @param nowMs - Time now.
   */
  *forWaiting(replicas: readonly ReplicaView[], nowMs: number): IterableIterator<WakeCommand> {
    if (!this.isWakeDue(nowMs) || isAnyBeingWoken(replicas, nowMs)) {
      return;
    }
    if (!isAnyReady(replicas) || this.estimate.isAnotherReplicaWorthIt(this.line.length, replicas)) {
      yield* this.wakeNext(replicas, this.plan().keepAliveMs, nowMs);
    }
  }

  /**
   * Tells loaded replicas a keep-alive that has changed.
   * @param replicas - The granted servers.
   */
  *forChangedPlan(replicas: readonly ReplicaView[]): IterableIterator<WakeCommand> {
    const keepAliveMs = this.plan().keepAliveMs;
    if (Math.abs(keepAliveMs - this.keepAliveToldMs) <= this.keepAliveToldMs * KEEP_ALIVE_TOLERANCE) {
      return;
    }
    this.keepAliveToldMs = keepAliveMs;
    for (const replica of replicas) {
      if (replica.isUsable && replica.isReady) {
        yield { kind: 'wake', serverId: replica.serverId, keepAliveMs };
      }
    }
  }

  /**
   * Loads an idle model ahead of the request that is expected.
   * @param replicas - The granted servers, preferred ones first.
   * @param nowMs - Time now.
   */
  *forExpected(replicas: readonly ReplicaView[], nowMs: number): IterableIterator<WakeCommand> {
    const { preWarm } = this.plan();
    if (!preWarm || this.lastBusyAtMs === undefined || this.isPreWarmed) {
      return;
    }
    const loadMs = this.estimate.loadTime.meanMs;
    if (nowMs - this.lastBusyAtMs < preWarm.afterMs - loadMs) {
      return;
    }
    this.isPreWarmed = true;
    if (!isAnyReady(replicas) && !isAnyBeingWoken(replicas, nowMs)) {
      yield* this.wakeNext(replicas, preWarm.forMs + loadMs, nowMs);
    }
  }

  private plan() {
    return this.policy.plan(this.estimate.loadTime.meanMs);
  }

  private isWakeDue(nowMs: number): boolean {
    const { loadTime, serviceTime } = this.estimate;
    let batchCount = 0;
    for (const request of this.line.all()) {
      if (request.requestClass === 'interactive') {
        return true;
      }
      batchCount++;
      const neededMs = BATCH_LOAD_MARGIN * loadTime.meanMs + serviceTime.quantileMs(0.9);
      if (request.deadlineAtMs - nowMs <= neededMs) {
        return true;
      }
    }
    return batchCount >= BATCH_WAKE_COUNT;
  }

  private *wakeNext(
    replicas: readonly ReplicaView[],
    keepAliveMs: number,
    nowMs: number,
  ): IterableIterator<WakeCommand> {
    const replica = replicas.find((candidate) => candidate.canBeWoken(nowMs));
    if (replica) {
      replica.wakeAsked(nowMs);
      this.keepAliveToldMs = keepAliveMs;
      yield { kind: 'wake', serverId: replica.serverId, keepAliveMs };
    }
  }
}

/**
 * Whether a replica is loaded on a server that takes work.
 * @param replicas - The granted servers.
 */
export function isAnyReady(replicas: readonly ReplicaView[]): boolean {
  return replicas.some((replica) => replica.isUsable && replica.isReady);
}

function isAnyBeingWoken(replicas: readonly ReplicaView[], nowMs: number): boolean {
  return replicas.some((replica) => !replica.isReady && replica.isBeingWoken(nowMs));
}
