import type { OrganisationId, ReplicaReport, RequestId, ServerId } from '../../domain/index.js';

/** Time for a requested load to start before another server is tried, in milliseconds. */
const LOAD_REQUEST_TIMEOUT_MS = 2_000;
/** Time after a refused load request before the next one to the same server, in milliseconds. */
const LOAD_REFUSAL_BACKOFF_MS = 500;

/** A request that runs on a replica. */
export interface RunningRequest {
  readonly requestId: RequestId;
  readonly organisationId: OrganisationId;
  readonly fingerprint: string;
  readonly alone: boolean;
  /** Whether the crash of its server has been recorded for it. */
  readonly crashRecorded: boolean;
  readonly deadlineAtMs: number;
}

/** State of one granted server as known to the scheduler. */
export class ReplicaView {
  readonly running = new Map<string, RunningRequest>();
  private report: ReplicaReport | undefined;
  private isConnected = false;
  private loadRequestedAtMs = -Infinity;
  private loadRefusedAtMs = -Infinity;
  /** Start of the load in progress; undefined when there is none. */
  private loadingSinceMs: number | undefined;
  private isLeaving = false;

  /** @param serverId - The server. */
  constructor(readonly serverId: ServerId) {}

  /** Incarnation of the agent that sent the last report. */
  get incarnation(): string {
    return this.report?.incarnation ?? '';
  }

  /** Number of requests that the server runs concurrently. */
  get slotCount(): number {
    return this.report?.slotCount ?? 0;
  }

  /** Number of free slots; 0 when the replica is not usable or not ready. */
  get freeSlotCount(): number {
    return this.isUsable && this.isReady ? Math.max(0, this.slotCount - this.running.size) : 0;
  }

  /** Whether the model is loaded on the server. */
  get isReady(): boolean {
    return this.report?.phase === 'ready';
  }

  /** Whether the model is being loaded on the server. */
  get isLoading(): boolean {
    return this.report?.phase === 'loading';
  }

  /** Whether the server reported the model absent, at the given placement version or a later one. */
  isAbsentAsOf(placementVersion: number): boolean {
    return this.report?.phase === 'absent' && this.report.placementVersion >= placementVersion;
  }

  /** Whether the server is reachable and accepts new requests. */
  get isUsable(): boolean {
    return this.isConnected && !this.isLeaving && this.report?.leaving === false && this.report.reachable;
  }

  /** Last reported phase, as shown to operators. */
  get phase(): string {
    return this.isConnected ? (this.report?.phase ?? 'unknown') : 'unreachable';
  }

  /** @param isLeaving - Whether the server takes no new requests, as it is leaving or its grant is revoked. */
  setLeaving(isLeaving: boolean): void {
    this.isLeaving = isLeaving;
  }

  /**
   * Applies a report; returns the duration of the load that ended with it, in milliseconds.
   * @param report - The report.
   * @param nowMs - Time now.
   */
  onReport(report: ReplicaReport, nowMs: number): number | undefined {
    this.isConnected = true;
    this.report = report;
    if (this.isLoading) {
      this.loadingSinceMs ??= nowMs;
      return undefined;
    }
    const sinceMs = this.loadingSinceMs;
    this.loadingSinceMs = undefined;
    return this.isReady && sinceMs !== undefined ? nowMs - sinceMs : undefined;
  }

  /** Marks the server as disconnected; its requests may still be running. */
  onConnectionLost(): void {
    this.isConnected = false;
  }

  /** Marks the model as absent after a crash of the server. */
  onCrash(): void {
    this.report = this.report && { ...this.report, phase: 'absent', placementVersion: 0 };
  }

  /** @param nowMs - Time at which a load was requested. */
  onLoadRequested(nowMs: number): void {
    this.loadRequestedAtMs = nowMs;
  }

  /** @param nowMs - Time at which the server refused to load the model. */
  onLoadRefused(nowMs: number): void {
    this.loadRefusedAtMs = nowMs;
    this.loadRequestedAtMs = -Infinity;
  }

  /**
   * Whether the model is being loaded, or a load request has not timed out yet.
   * @param nowMs - Time now.
   */
  isLoadPending(nowMs: number): boolean {
    return this.isUsable && (this.isLoading || nowMs - this.loadRequestedAtMs < LOAD_REQUEST_TIMEOUT_MS);
  }

  /**
   * Whether a load of the model can be requested now.
   * @param nowMs - Time now.
   */
  canRequestLoad(nowMs: number): boolean {
    const isBackoffOver = nowMs - this.loadRefusedAtMs >= LOAD_REFUSAL_BACKOFF_MS;
    return this.isUsable && !this.isReady && !this.isLoadPending(nowMs) && isBackoffOver;
  }

  /**
   * Time since the start of the load in progress, in milliseconds; 0 when there is none.
   * @param nowMs - Time now.
   */
  getLoadingMs(nowMs: number): number {
    return this.loadingSinceMs === undefined ? 0 : nowMs - this.loadingSinceMs;
  }

  /** Whether the server runs a request that must run alone. */
  get isExclusive(): boolean {
    for (const request of this.running.values()) {
      if (request.alone) {
        return true;
      }
    }
    return false;
  }
}
