import type { Clock } from '../kernel/index.js';
import type { Log } from '../telemetry/index.js';
import type { PeerMethods } from '../transport/index.js';
import { CrashRecords, isBlockingCount, type PermitDecision } from './decisions/index.js';
import {
  RESIDENCY_METHODS,
  ROUTING_METHODS,
  type CrashedParams,
  type RequestCompletedParams,
  type TakeTrialParams,
} from './messages.js';

/** Time after which a router may ask again whose parameters cannot be read, in milliseconds. */
const UNREADABLE_RETRY_MS = 1_000;

/** Dependencies of {@link RequestCrashRecorder}. */
export interface RequestCrashRecorderDependencies {
  readonly clock: Clock;
  readonly log: Log;
  /** Called when the blocked requests have changed, which routers must learn at once. */
  readonly onChange: () => void;
  /** Sends a notification to all routers. */
  readonly notifyRouters: (method: string, params: object) => void;
}

/**
 * Records at an agent which requests crash servers, as routers notify it, for the routers that have not seen the crashes, and
 * decides when a blocked request is tried again, once for all routers.
 */
export class RequestCrashRecorder {
  private readonly records = new CrashRecords();

  /** @param deps - Dependencies. */
  constructor(private readonly deps: RequestCrashRecorderDependencies) {}

  /** Numbers of crashes of the blocked requests, by fingerprint. */
  get blockedCounts(): Readonly<Record<string, number>> {
    return this.records.getBlockedCounts(this.deps.clock.nowMs());
  }

  /** Returns the methods that routers call. */
  getMethods(): PeerMethods {
    return {
      [RESIDENCY_METHODS.crashed]: (params: CrashedParams) => this.onCrash(params),
      [RESIDENCY_METHODS.completed]: (params: RequestCompletedParams) => this.onCompleted(params),
      [RESIDENCY_METHODS.takeTrial]: (params: TakeTrialParams) => this.takeTrial(params),
    } as PeerMethods;
  }

  private onCrash({ fingerprint, crashCount, sentForMs, isRepeat }: CrashedParams): void {
    if (typeof fingerprint !== 'string' || !Number.isFinite(crashCount)) {
      return;
    }
    const { clock, log, onChange } = this.deps;
    const nowMs = clock.nowMs();
    const before = this.records.getCount(fingerprint, nowMs);
    if (sentForMs !== undefined && Number.isFinite(sentForMs)) {
      const loss = { sentAtMs: nowMs - sentForMs, isRepeat: isRepeat === true };
      this.records.recordLoss(fingerprint, loss, nowMs);
    }
    const after = this.records.raiseCount(fingerprint, crashCount, nowMs);
    if (after === before) {
      return;
    }
    log.decision('crash recorded', { fingerprint, crashCount: after });
    if (isBlockingCount(after)) {
      onChange();
    }
  }

  private onCompleted({ fingerprint }: RequestCompletedParams): void {
    const { clock, log, onChange, notifyRouters } = this.deps;
    const crashCount = this.records.getCount(fingerprint, clock.nowMs());
    this.records.clear(fingerprint);
    if (isBlockingCount(crashCount)) {
      log.decision('crashes withdrawn', { fingerprint, crashCount });
      onChange();
      const params: RequestCompletedParams = { fingerprint };
      notifyRouters(ROUTING_METHODS.requestCompleted, params);
    }
  }

  private takeTrial({ fingerprint, crashCount }: TakeTrialParams): PermitDecision {
    if (typeof fingerprint !== 'string' || !Number.isFinite(crashCount)) {
      return { isGranted: false, retryInMs: UNREADABLE_RETRY_MS };
    }
    const { clock, log } = this.deps;
    const decision = this.records.takeTrial(fingerprint, crashCount, 1, clock.nowMs());
    if (decision.isGranted) {
      log.decision('trial of a blocked request', { fingerprint, crashCount });
    }
    return decision;
  }
}
