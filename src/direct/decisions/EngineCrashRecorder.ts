import { setNewest } from '../../kernel/setNewest.js';

/** Number of failed readings in a row after which an engine counts as down. */
const MAX_FAILED_READINGS = 2;
/** Time before the detection of a crash for which a broken connection to the engine counts as part of it, in milliseconds. */
const BREAK_WINDOW_MS = 500;
/** Time after the detection of a crash for which a late notification counts as part of it, in milliseconds. */
const LATE_WINDOW_MS = 2_000;
/** Maximum number of stored broken connections. */
const MAX_BREAKS = 400;
/** Maximum number of stored crashes. */
const MAX_CRASHES = 32;
/** Maximum number of prompt parts of one crash. */
const MAX_PARTS = 400;
/** Time for which a crash is stored, in milliseconds. */
export const CRASH_LIFETIME_MS = 3_600_000;

/** Crash of an engine as reported to routers. */
export interface EngineCrash {
  /** When the engine's process started, in milliseconds since the epoch. */
  readonly bornAtMs: number;
  /** Time since the crash, in milliseconds. */
  readonly ageMs: number;
  /** Numbers of requests that broke off in the crash, by prompt part, without parts that were answered since. */
  readonly requestCounts: Readonly<Record<string, number>>;
  /** Positions of these parts in prompts; undefined from an agent of an older version. */
  readonly positions?: Readonly<Record<string, number>>;
  /** Number of all requests that broke off in the crash; undefined from an agent of an older version. */
  readonly requestCount?: number;
  /** What routers knew of the parts before the crash; without those of which no router has reported it. */
  readonly histories?: Readonly<Record<string, PromptPartHistory>>;
}

/** What a router knows of a prompt part when a request with it breaks off. */
export interface PromptPartHistory {
  /** Share of the latest attempts in which it was found, from above 0 to 1. */
  readonly share: number;
  /** Whether a request with it was answered lately. */
  readonly wasAnswered: boolean;
}

/** Connection to an engine that broke while it carried a request. */
interface BrokenConnection {
  readonly bornAtMs: number;
  readonly atMs: number;
  readonly promptParts: readonly string[];
  /** What the router knew of the parts, in their order. */
  readonly histories: readonly PromptPartHistory[];
}

interface CrashRecord {
  readonly atMs: number;
  /** Numbers of requests that broke off, by prompt part. */
  readonly requestCounts: Map<string, number>;
  /** Positions of these parts in prompts. */
  readonly positions: Map<string, number>;
  readonly histories: Map<string, PromptPartHistory>;
  /** Number of all requests that broke off. */
  requestCount: number;
}

/**
 * Records which prompt parts ran on one engine when it crashed. Routers report broken connections, which may have other
 * causes; only those at the time of a crash count, and the agent beside the engine is the one process that sees it.
 */
export class EngineCrashRecorder {
  private breaks: BrokenConnection[] = [];
  /** Crashes by the start time of the crashed process. */
  private readonly crashes = new Map<number, CrashRecord>();
  /** Start times of the processes whose crashes have changed since they were last taken. */
  private readonly changed = new Set<number>();
  private bornAtMs: number | undefined;
  private failedReadingCount = 0;

  /**
   * Records that a connection to the engine broke while it carried a request.
   * @param bornAtMs - Start time of the engine's process.
   * @param promptParts - Parts of the request's prompt that other requests may share.
   * @param histories - What the router knew of the parts, in their order; empty from a router of an older version.
   * @param nowMs - Current time.
   */
  recordBreak(
    bornAtMs: number,
    promptParts: readonly string[],
    histories: readonly PromptPartHistory[],
    nowMs: number,
  ): void {
    this.breaks = this.breaks.filter(({ atMs }) => nowMs - atMs < BREAK_WINDOW_MS).slice(-MAX_BREAKS + 1);
    const broken = { bornAtMs, atMs: nowMs, promptParts, histories };
    this.breaks.push(broken);
    const crash = this.crashes.get(bornAtMs);
    if (crash && nowMs - crash.atMs < LATE_WINDOW_MS) {
      this.addBreak(crash, broken);
    }
  }

  /**
   * Records a reading of the engine's state; returns true if it shows a crash that was not known.
   * @param bornAtMs - Start time of the engine's process; undefined if the engine did not respond.
   * @param nowMs - Current time.
   */
  recordReading(bornAtMs: number | undefined, nowMs: number): boolean {
    const previousBornAtMs = this.bornAtMs;
    if (bornAtMs === undefined) {
      this.failedReadingCount++;
      return (
        previousBornAtMs !== undefined &&
        this.failedReadingCount === MAX_FAILED_READINGS &&
        this.recordCrash(previousBornAtMs, nowMs)
      );
    }
    this.failedReadingCount = 0;
    this.bornAtMs = bornAtMs;
    this.withdrawCrash(bornAtMs);
    return (
      previousBornAtMs !== undefined &&
      previousBornAtMs !== bornAtMs &&
      !this.crashes.has(previousBornAtMs) &&
      this.recordCrash(previousBornAtMs, nowMs)
    );
  }

  /**
   * Removes prompt parts from all crashes, because requests with them were answered.
   * @param promptParts - IDs of the parts.
   */
  exonerate(promptParts: readonly string[]): void {
    for (const [bornAtMs, crash] of this.crashes) {
      for (const part of promptParts) {
        if (crash.requestCounts.delete(part)) {
          crash.positions.delete(part);
          crash.histories.delete(part);
          this.changed.add(bornAtMs);
        }
      }
    }
  }

  /**
   * Returns the crashes that have changed since the last call; one without prompt parts no longer counts.
   * @param nowMs - Current time.
   */
  takeChanges(nowMs: number): readonly EngineCrash[] {
    const changes = this.getCrashes(nowMs).filter(({ bornAtMs }) => this.changed.has(bornAtMs));
    this.changed.clear();
    return changes;
  }

  /**
   * Returns all stored crashes.
   * @param nowMs - Current time.
   */
  getCrashes(nowMs: number): readonly EngineCrash[] {
    const crashes: EngineCrash[] = [];
    for (const [bornAtMs, { atMs, requestCounts, positions, histories, requestCount }] of this.crashes) {
      if (nowMs - atMs < CRASH_LIFETIME_MS) {
        crashes.push({
          bornAtMs,
          ageMs: nowMs - atMs,
          requestCounts: Object.fromEntries(requestCounts),
          positions: Object.fromEntries(positions),
          requestCount,
          histories: Object.fromEntries(histories),
        });
      }
    }
    return crashes;
  }

  private recordCrash(bornAtMs: number, nowMs: number): boolean {
    const breaks = this.breaks.filter(
      (broken) => broken.bornAtMs === bornAtMs && nowMs - broken.atMs < BREAK_WINDOW_MS,
    );
    const crash: CrashRecord = {
      atMs: breaks.at(-1)?.atMs ?? nowMs,
      requestCounts: new Map(),
      positions: new Map(),
      histories: new Map(),
      requestCount: 0,
    };
    setNewest(this.crashes, bornAtMs, crash, MAX_CRASHES);
    for (const broken of breaks) {
      this.addBreak(crash, broken);
    }
    return true;
  }

  /** Discards a crash that was concluded from failed readings if the process turns out to be running. */
  private withdrawCrash(bornAtMs: number): void {
    const crash = this.crashes.get(bornAtMs);
    if (crash && crash.requestCounts.size > 0) {
      crash.requestCounts.clear();
      crash.positions.clear();
      crash.histories.clear();
      crash.requestCount = 0;
      this.changed.add(bornAtMs);
    }
  }

  private addBreak(crash: CrashRecord, { bornAtMs, promptParts, histories }: BrokenConnection): void {
    crash.requestCount++;
    this.changed.add(bornAtMs);
    for (const [position, part] of promptParts.entries()) {
      const requestCount = crash.requestCounts.get(part) ?? 0;
      if (requestCount > 0 || crash.requestCounts.size < MAX_PARTS) {
        crash.requestCounts.set(part, requestCount + 1);
        crash.positions.set(part, position);
        const { share = 0, wasAnswered = false } = crash.histories.get(part) ?? {};
        const history = histories[position];
        if (history) {
          crash.histories.set(part, {
            share: Math.max(share, history.share),
            wasAnswered: wasAnswered || history.wasAnswered,
          });
        }
      }
    }
  }
}
