import { setNewest } from '../../kernel/setNewest.js';
import type { PermitDecision } from './PermitBuckets.js';

/** Number of crashes at which a request is blocked. */
const MAX_CRASHES = 2;
/**
 * Time after a crash in which further losses count as the same one, in milliseconds. Servers that crash together do not end at
 * the same moment, and each loses requests.
 */
const SAME_CRASH_MS = 1_000;
/** Time after which a crash of a request that is not blocked no longer counts, in milliseconds. */
const CRASH_LIFETIME_MS = 60_000;
/** Time from the crash that blocks a request until it is tried again, in milliseconds. */
const FIRST_TRIAL_DELAY_MS = 5_000;
/** Factor by which each crash of a trial extends that time. */
const TRIAL_DELAY_FACTOR = 5;
/** Longest time between two trials, in milliseconds. */
const MAX_TRIAL_DELAY_MS = 3_600_000;
/** Time after its last crash or trial for which a request is blocked, in milliseconds; longer than any time until a trial. */
const BLOCK_LIFETIME_MS = 2 * MAX_TRIAL_DELAY_MS;
/** Maximum number of requests with a record that are not blocked: a crash of one server ends up to some hundred. */
const MAX_SUSPECTS = 2_000;
/** Maximum number of blocked requests. */
const MAX_BLOCKED = 200;

/** Loss of an attempt because its server may have crashed. */
export interface AttemptLoss {
  /** When the attempt was sent. */
  readonly sentAtMs: number;
  /** Whether an earlier attempt of the same request was lost before this one was sent. */
  readonly isRepeat: boolean;
}

/** Crashes of a request since an equal one last completed. */
interface CrashRecord {
  readonly crashCount: number;
  /** Time of the first loss in the last crash. */
  readonly crashedAtMs: number;
  /** When the request was last tried although it is blocked. */
  readonly triedAtMs: number;
}

/**
 * Counts the crashes of servers on which requests ran, by the requests' fingerprints, and decides when a request that is blocked
 * for them is tried again.
 *
 * A crash of several servers at once is one crash, also for equal requests that ran on all of them: a loss counts further
 * only if its attempt was sent after the crash before and either later or as a repeat of a request that was itself lost.
 */
export class CrashRecords {
  /** Records of requests that are not blocked. */
  private readonly suspects = new Map<string, CrashRecord>();
  private readonly blocked = new Map<string, CrashRecord>();

  /**
   * Records the loss of an attempt, and returns the number of crashes so far.
   * @param fingerprint - Fingerprint of the request.
   * @param loss - The loss.
   * @param nowMs - Current time.
   */
  recordLoss(fingerprint: string, { sentAtMs, isRepeat }: AttemptLoss, nowMs: number): number {
    const record = this.find(fingerprint, nowMs);
    const { crashCount = 0, crashedAtMs = -Infinity } = record ?? {};
    const isSameCrash = sentAtMs <= crashedAtMs || (!isRepeat && nowMs - crashedAtMs < SAME_CRASH_MS);
    return isSameCrash ? crashCount : this.raiseCount(fingerprint, crashCount + 1, nowMs);
  }

  /**
   * Raises the number of crashes to what another process has counted, and returns it.
   * @param fingerprint - Fingerprint of the request.
   * @param crashCount - Number of crashes.
   * @param nowMs - Current time.
   */
  raiseCount(fingerprint: string, crashCount: number, nowMs: number): number {
    const record = this.find(fingerprint, nowMs);
    if (record && record.crashCount >= crashCount) {
      return record.crashCount;
    }
    const triedAtMs = record?.triedAtMs ?? -Infinity;
    this.save(fingerprint, { crashCount, crashedAtMs: nowMs, triedAtMs });
    return crashCount;
  }

  /**
   * Discards the record of a request because an equal one completed; returns false if there was none.
   * @param fingerprint - Fingerprint of the request.
   */
  clear(fingerprint: string): boolean {
    const isSuspect = this.suspects.delete(fingerprint);
    return this.blocked.delete(fingerprint) || isSuspect;
  }

  /**
   * Returns the number of crashes of a request.
   * @param fingerprint - Fingerprint of the request.
   * @param nowMs - Current time.
   */
  getCount(fingerprint: string, nowMs: number): number {
    return this.find(fingerprint, nowMs)?.crashCount ?? 0;
  }

  /**
   * Decides whether a blocked request is tried once, which shows whether it is harmful.
   * @param fingerprint - Fingerprint of the request.
   * @param crashCount - Number of crashes known to the process that asks; one that is not known here is tried at once.
   * @param routerCount - Number of routers that decide on their own.
   * @param nowMs - Current time.
   */
  takeTrial(fingerprint: string, crashCount: number, routerCount: number, nowMs: number): PermitDecision {
    const known = this.find(fingerprint, nowMs);
    const record: CrashRecord = {
      crashCount: Math.max(MAX_CRASHES, crashCount, known?.crashCount ?? 0),
      crashedAtMs: known?.crashedAtMs ?? -Infinity,
      triedAtMs: known?.triedAtMs ?? -Infinity,
    };
    const delayMs = getTrialDelayMs(record.crashCount) * Math.max(1, routerCount);
    const dueAtMs = Math.max(record.crashedAtMs, record.triedAtMs) + delayMs;
    if (nowMs < dueAtMs) {
      return { isGranted: false, retryInMs: dueAtMs - nowMs };
    }
    this.save(fingerprint, { ...record, triedAtMs: nowMs });
    return { isGranted: true, waitMs: 0 };
  }

  /**
   * Returns the numbers of crashes of the blocked requests, by fingerprint.
   * @param nowMs - Current time.
   */
  getBlockedCounts(nowMs: number): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const fingerprint of this.blocked.keys()) {
      const record = this.find(fingerprint, nowMs);
      if (record) {
        counts[fingerprint] = record.crashCount;
      }
    }
    return counts;
  }

  private find(fingerprint: string, nowMs: number): CrashRecord | undefined {
    const record = this.blocked.get(fingerprint) ?? this.suspects.get(fingerprint);
    if (!record) {
      return undefined;
    }
    const lifetimeMs = isBlockingCount(record.crashCount) ? BLOCK_LIFETIME_MS : CRASH_LIFETIME_MS;
    return nowMs - Math.max(record.crashedAtMs, record.triedAtMs) < lifetimeMs ? record : undefined;
  }

  private save(fingerprint: string, record: CrashRecord): void {
    if (isBlockingCount(record.crashCount)) {
      this.suspects.delete(fingerprint);
      setNewest(this.blocked, fingerprint, record, MAX_BLOCKED);
    } else {
      setNewest(this.suspects, fingerprint, record, MAX_SUSPECTS);
    }
  }
}

/**
 * Whether a request is blocked.
 * @param crashCount - Number of its crashes.
 */
export function isBlockingCount(crashCount: number): boolean {
  return crashCount >= MAX_CRASHES;
}

/** Returns the time from the last crash or trial of a blocked request until it is tried, in milliseconds. */
function getTrialDelayMs(crashCount: number): number {
  const factor = TRIAL_DELAY_FACTOR ** (crashCount - MAX_CRASHES);
  return Math.min(MAX_TRIAL_DELAY_MS, FIRST_TRIAL_DELAY_MS * factor);
}
