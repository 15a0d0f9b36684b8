import type { ServerId } from '../../domain/index.js';
import type { AdmissionEstimate } from './AdmissionEstimate.js';
import type { KeepAlivePolicy } from './KeepAlivePolicy.js';
import type { ReplicaView } from './ReplicaView.js';
import type { RequestQueue } from './RequestQueue.js';

/** Number of waiting batch requests that triggers a load even if all their deadlines allow to wait longer. */
const BATCH_LOAD_COUNT = 8;
/** Load times that must remain before the deadline of a batch request for it to wait for a loaded replica. */
const BATCH_LOAD_MARGIN = 3;
/** Relative difference between the sent and the planned keep-alive above which an update is sent. */
const KEEP_ALIVE_TOLERANCE = 0.25;

/** Requests a server to load the model, or to change its keep-alive. */
export interface WakeCommand {
  readonly kind: 'wake';
  readonly serverId: ServerId;
  readonly keepAliveMs: number;
}

/** Decides when a model is loaded on a further server, and with which keep-alive. */
export class WakePlanner {
  private sentKeepAliveMs = 0;
  private lastBusyAtMs: number | undefined;
  private isPreWarmed = false;

  /**
   * @param policy - Keep-alive policy of the model.
   * @param estimate - Estimates of the load and service times.
   * @param queue - Waiting requests.
   */
  constructor(
    private readonly policy: KeepAlivePolicy,
    private readonly estimate: AdmissionEstimate,
    private readonly queue: RequestQueue,
  ) {}

  /**
   * Handles the arrival of a request.
   * @param nowMs - Time now.
   * @param wasIdle - Whether no other request was running or waiting.
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
   * Requests a load when the waiting requests need a further replica.
   * @param replicas - The granted servers, preferred ones first.
   * @param nowMs - Time now.
   */
  *planForQueue(replicas: readonly ReplicaView[], nowMs: number): IterableIterator<WakeCommand> {
    if (!this.isLoadDue(nowMs) || isAnyLoadPending(replicas, nowMs)) {
      return;
    }
    if (!isAnyReady(replicas) || this.estimate.shouldAddReplica(this.queue.length, replicas)) {
      yield* this.requestLoad(replicas, this.getKeepAlivePlan().keepAliveMs, nowMs);
    }
  }

  /**
   * Sends a changed keep-alive to the loaded replicas.
   * @param replicas - The granted servers.
   */
  *planKeepAliveUpdates(replicas: readonly ReplicaView[]): IterableIterator<WakeCommand> {
    const keepAliveMs = this.getKeepAlivePlan().keepAliveMs;
    if (Math.abs(keepAliveMs - this.sentKeepAliveMs) <= this.sentKeepAliveMs * KEEP_ALIVE_TOLERANCE) {
      return;
    }
    this.sentKeepAliveMs = keepAliveMs;
    for (const replica of replicas) {
      if (replica.isUsable && replica.isReady) {
        yield { kind: 'wake', serverId: replica.serverId, keepAliveMs };
      }
    }
  }

  /**
   * Loads an idle model ahead of the next expected request.
   * @param replicas - The granted servers, preferred ones first.
   * @param nowMs - Time now.
   */
  *planPreWarm(replicas: readonly ReplicaView[], nowMs: number): IterableIterator<WakeCommand> {
    const { preWarm } = this.getKeepAlivePlan();
    if (!preWarm || this.lastBusyAtMs === undefined || this.isPreWarmed) {
      return;
    }
    const loadMs = this.estimate.loadTime.meanMs;
    if (nowMs - this.lastBusyAtMs < preWarm.afterMs - loadMs) {
      return;
    }
    this.isPreWarmed = true;
    if (!isAnyReady(replicas) && !isAnyLoadPending(replicas, nowMs)) {
      yield* this.requestLoad(replicas, preWarm.forMs + loadMs, nowMs);
    }
  }

  private getKeepAlivePlan() {
    return this.policy.plan(this.estimate.loadTime.meanMs);
  }

  private isLoadDue(nowMs: number): boolean {
    const { loadTime, serviceTime } = this.estimate;
    let batchCount = 0;
    for (const request of this.queue.all()) {
      if (request.requestClass === 'interactive') {
        return true;
      }
      batchCount++;
      const neededMs = BATCH_LOAD_MARGIN * loadTime.meanMs + serviceTime.getQuantileMs(0.9);
      if (request.deadlineAtMs - nowMs <= neededMs) {
        return true;
      }
    }
    return batchCount >= BATCH_LOAD_COUNT;
  }

  private *requestLoad(
    replicas: readonly ReplicaView[],
    keepAliveMs: number,
    nowMs: number,
  ): IterableIterator<WakeCommand> {
    const replica = replicas.find((candidate) => candidate.canRequestLoad(nowMs));
    if (replica) {
      replica.onLoadRequested(nowMs);
      this.sentKeepAliveMs = keepAliveMs;
      yield { kind: 'wake', serverId: replica.serverId, keepAliveMs };
    }
  }
}

/**
 * Whether a usable replica has the model loaded.
 * @param replicas - The granted servers.
 */
export function isAnyReady(replicas: readonly ReplicaView[]): boolean {
  return replicas.some((replica) => replica.isUsable && replica.isReady);
}

function isAnyLoadPending(replicas: readonly ReplicaView[], nowMs: number): boolean {
  return replicas.some((replica) => !replica.isReady && replica.isLoadPending(nowMs));
}
