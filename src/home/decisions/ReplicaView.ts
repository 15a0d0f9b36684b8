import type { OrganisationId, ReplicaReport, RequestId, ServerId } from '../../domain/index.js';

/** Time that a wake-up may go unanswered before another server is tried, in milliseconds. */
const WAKE_PATIENCE_MS = 2_000;
/** Time after a refused wake-up before the server is asked again, in milliseconds. */
const WAKE_BACKOFF_MS = 500;

/** A request that runs on a replica. */
export interface RunningRequest {
  readonly requestId: RequestId;
  readonly organisationId: OrganisationId;
  readonly fingerprint: string;
  readonly alone: boolean;
  /** Whether the crash of its server has been held against it. */
  readonly crashNoted: boolean;
  readonly deadlineAtMs: number;
}

/** What a home knows of one granted server. */
export class ReplicaView {
  readonly running = new Map<string, RunningRequest>();
  private report: ReplicaReport | undefined;
  private connected = false;
  private wakeAskedAtMs = -Infinity;
  private wakeRefusedAtMs = -Infinity;
  /** When the load that is under way began; undefined when none is. */
  private loadingSinceMs: number | undefined;
  private refusesNewWork = false;

  /** @param serverId - The server. */
  constructor(readonly serverId: ServerId) {}

  /** Process that the last report came from. */
  get incarnation(): string {
    return this.report?.incarnation ?? '';
  }

  /** Requests that the server runs at once. */
  get slotCount(): number {
    return this.report?.slotCount ?? 0;
  }

  /** Slots that are free now. */
  get freeSlotCount(): number {
    return this.isUsable && this.isReady ? Math.max(0, this.slotCount - this.running.size) : 0;
  }

  /** Whether the model is loaded there. */
  get isReady(): boolean {
    return this.report?.phase === 'ready';
  }

  /** Whether the model is being loaded there. */
  get isLoading(): boolean {
    return this.report?.phase === 'loading';
  }

  /** Whether the model is gone from there, as of the placement version given. */
  isAbsentAsOf(placementVersion: number): boolean {
    return this.report?.phase === 'absent' && this.report.placementVersion >= placementVersion;
  }

  /** Whether the server can be reached and takes new work. */
  get isUsable(): boolean {
    return this.connected && !this.refusesNewWork && this.report?.leaving === false && this.report.reachable;
  }

  /** Phase last reported, for operators. */
  get phase(): string {
    return this.connected ? (this.report?.phase ?? 'unknown') : 'unreachable';
  }

  /** @param refuses - Whether the platform lists the server as leaving. */
  setLeaving(refuses: boolean): void {
    this.refusesNewWork = refuses;
  }

  /**
   * Takes a report; returns how long a load took that ended with it, in milliseconds.
   * @param report - The report.
   * @param nowMs - Time now.
   */
  reported(report: ReplicaReport, nowMs: number): number | undefined {
    this.connected = true;
    this.report = report;
    if (this.isLoading) {
      this.loadingSinceMs ??= nowMs;
      return undefined;
    }
    const sinceMs = this.loadingSinceMs;
    this.loadingSinceMs = undefined;
    return this.isReady && sinceMs !== undefined ? nowMs - sinceMs : undefined;
  }

  /** Notes that the connection is gone; what runs there may still run. */
  lost(): void {
    this.connected = false;
  }

  /** Notes that the server crashed, so that it holds nothing any more. */
  crashed(): void {
    this.report = this.report && { ...this.report, phase: 'absent', placementVersion: 0 };
  }

  /** @param nowMs - When a wake-up was sent. */
  wakeAsked(nowMs: number): void {
    this.wakeAskedAtMs = nowMs;
  }

  /** @param nowMs - When the server refused to wake the model. */
  wakeRefused(nowMs: number): void {
    this.wakeRefusedAtMs = nowMs;
    this.wakeAskedAtMs = -Infinity;
  }

  /** @param nowMs - Time now; true while an answer to a wake-up may still come. */
  isBeingWoken(nowMs: number): boolean {
    return this.isUsable && (this.isLoading || nowMs - this.wakeAskedAtMs < WAKE_PATIENCE_MS);
  }

  /** @param nowMs - Time now. */
  canBeWoken(nowMs: number): boolean {
    const isRested = nowMs - this.wakeRefusedAtMs >= WAKE_BACKOFF_MS;
    return this.isUsable && !this.isReady && !this.isBeingWoken(nowMs) && isRested;
  }

  /**
   * Time that the load under way has taken so far, in milliseconds.
   * @param nowMs - Time now.
   */
  loadingForMs(nowMs: number): number {
    return this.loadingSinceMs === undefined ? 0 : nowMs - this.loadingSinceMs;
  }

  /** Whether a request runs there that must be alone. */
  get isExclusive(): boolean {
    for (const request of this.running.values()) {
      if (request.alone) {
        return true;
      }
    }
    return false;
  }
}
