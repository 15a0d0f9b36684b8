import { CRASH_LIFETIME_MS, type EngineCrash } from './EngineCrashRecorder.js';
import { setNewest } from './setNewest.js';

/** Number of crashes, at different times, after which a prompt part is blocked. */
const MIN_CRASHES = 3;
/**
 * Number of crashes after which a prompt part is blocked in doubt: it was answered before, it is one of several, or hardly
 * any request was answered since.
 */
const MIN_CRASHES_IN_DOUBT = 5;
/** Ratio of requests per crash above which a part is too widely shared to be preferred to another one. */
const BROAD_FACTOR = 4;
/** Number of different prompts of which answers show that a part could have been answered too. */
const MIN_SUCCESSES = 10;
/**
 * Time between two crashes within which they count as one event, in milliseconds; engines that fail at the same time have another
 * cause in common.
 */
const SAME_EVENT_MS = 100;
/** Time after the decisive crash in which an answer may still exonerate a prompt part, in milliseconds. */
const EXONERATION_MS = 1_000;
/** Time for which an answer counts in favour of a prompt part that is found at later crashes, in milliseconds. */
const SUCCESS_LIFETIME_MS = 600_000;
/** Time after the last request with a blocked prompt part for which it stays blocked, in milliseconds. */
const BLOCK_LIFETIME_MS = CRASH_LIFETIME_MS;
/** Maximum number of stored crashes of all engines. */
const MAX_CRASHES = 512;
/** Maximum number of prompt parts with a stored success. */
const MAX_SUCCESSES = 2_000;
/** Maximum number of prompt parts with a stored position. */
const MAX_POSITIONS = 2_000;
/** Maximum number of blocked prompt parts. */
const MAX_BLOCKED = 200;

/** A prompt part that is blocked. */
export interface PromptPartBlock {
  readonly promptPart: string;
  /** Number of crashes that are attributed to it. */
  readonly crashCount: number;
}

interface SuspectedCrash {
  readonly address: string;
  readonly atMs: number;
  /** Numbers of requests that broke off in the crash, by prompt part. */
  readonly requestCounts: Map<string, number>;
}

/** Crashes at which a prompt part was found. */
interface Suspect {
  readonly promptPart: string;
  /** Times of the crashes, the first one first. */
  readonly atMs: number[];
  /** Number of events, each of which may be several crashes at about the same time. */
  eventCount: number;
  /** Time of the first crash of the last event. */
  eventAtMs: number;
  /** Number of requests with the part that broke off in these crashes. */
  requestCount: number;
}

/**
 * Finds the prompt parts that crash each engine that begins an answer on them, and blocks requests with them.
 *
 * The guilty part is found at each of the crashes that it causes and no request with it is answered, while the parts that
 * were found beside it are answered elsewhere. Of the parts that remain, except those that come before another one with
 * half as many crashes in prompts, the one with the most crashes is blocked; the
 * crashes that it explains no longer count against others. If several are equal, those with the fewest requests are
 * blocked, since a part that many harmless requests share was found at the crashes for that reason; of these, the last in
 * the order of prompts, since the parts before it are those that more requests share.
 */
export class PromptPartSuspects {
  /** Crashes by engine address and start time of the crashed process. */
  private readonly crashes = new Map<string, SuspectedCrash>();
  private readonly succeededAtMs = new Map<string, number>();
  /** Times of the latest answers by their prompts, the oldest first. */
  private readonly latestSuccessesMs = new Map<string, number>();
  /** Positions of prompt parts in the latest requests with them. */
  private readonly positions = new Map<string, number>();
  /** Times of the last requests with blocked prompt parts. */
  private readonly blockedAtMs = new Map<string, number>();

  /** Parts that were blocked in doubt. */
  private readonly doubtfulParts = new Set<string>();

  /** @param onBlock - Called when a prompt part is blocked. */
  constructor(private readonly onBlock: (block: PromptPartBlock) => void = () => undefined) {}

  /**
   * Applies crashes as reported by the agent of an engine; parts that a crash no longer contains were answered since.
   * Returns the parts of the crashes that this router has seen answered since, of which the agent does not know.
   * @param address - Address of the engine.
   * @param crashes - New or changed crashes.
   * @param nowMs - Current time.
   */
  applyCrashes(address: string, crashes: readonly EngineCrash[], nowMs: number): readonly string[] {
    const answeredParts = new Set<string>();
    for (const { bornAtMs, ageMs, requestCounts, positions = {} } of crashes) {
      this.adoptPositions(positions);
      const key = `${address}|${bornAtMs}`;
      const atMs = nowMs - ageMs;
      const crash: SuspectedCrash = { address, atMs, requestCounts: new Map() };
      for (const [part, requestCount] of Object.entries(requestCounts)) {
        if (this.getSuccessMs(part) > atMs) {
          answeredParts.add(part);
        } else {
          crash.requestCounts.set(part, requestCount);
        }
      }
      for (const part of this.crashes.get(key)?.requestCounts.keys() ?? []) {
        if (!crash.requestCounts.has(part)) {
          this.blockedAtMs.delete(part);
        }
      }
      if (!this.crashes.has(key) && !this.isExplained(crash.requestCounts)) {
        this.withdrawDoubtful();
      }
      setNewest(this.crashes, key, crash, MAX_CRASHES);
    }
    return [...answeredParts];
  }

  /**
   * Records that an engine answered a request; returns the addresses of the engines whose crashes contained its parts.
   * @param promptParts - Parts of the request's prompt that other requests may share.
   * @param nowMs - Current time.
   */
  recordSuccess(promptParts: readonly string[], nowMs: number): readonly string[] {
    const addresses = new Set<string>();
    setNewest(this.latestSuccessesMs, promptParts.join(' '), nowMs, MIN_SUCCESSES);
    for (const part of promptParts) {
      setNewest(this.succeededAtMs, part, nowMs, MAX_SUCCESSES);
      this.blockedAtMs.delete(part);
      for (const { address, requestCounts } of this.crashes.values()) {
        if (requestCounts.delete(part)) {
          addresses.add(address);
        }
      }
    }
    return [...addresses];
  }

  /**
   * Returns the blocked part of a prompt, if any; it stays blocked while requests with it arrive.
   * @param promptParts - Parts of a request's prompt that other requests may share.
   * @param nowMs - Current time.
   */
  findBlocked(promptParts: readonly string[], nowMs: number): string | undefined {
    this.recordPositions(promptParts);
    if (promptParts.some((part) => this.mayBlock(part))) {
      this.blockSuspects(nowMs);
    }
    for (const part of promptParts) {
      const blockedAtMs = this.blockedAtMs.get(part);
      if (blockedAtMs !== undefined && nowMs - blockedAtMs < BLOCK_LIFETIME_MS) {
        setNewest(this.blockedAtMs, part, nowMs, MAX_BLOCKED);
        return part;
      }
    }
    return undefined;
  }

  /** Withdraws the blocks that were decided in doubt, since a crash that none of them explains may tell who is guilty. */
  private withdrawDoubtful(): void {
    for (const part of this.doubtfulParts) {
      this.blockedAtMs.delete(part);
    }
    this.doubtfulParts.clear();
  }

  private recordPositions(promptParts: readonly string[]): void {
    for (const [position, part] of promptParts.entries()) {
      setNewest(this.positions, part, position, MAX_POSITIONS);
    }
  }

  /** Stores positions of parts of which this router has not seen a request. */
  private adoptPositions(positions: Readonly<Record<string, number>>): void {
    for (const [part, position] of Object.entries(positions)) {
      if (!this.positions.has(part)) {
        setNewest(this.positions, part, position, MAX_POSITIONS);
      }
    }
  }

  /** Whether a part that is not blocked was found at enough crashes to be considered. */
  private mayBlock(part: string): boolean {
    if (this.crashes.size < MIN_CRASHES || this.blockedAtMs.has(part)) {
      return false;
    }
    let count = 0;
    for (const { requestCounts } of this.crashes.values()) {
      count += requestCounts.has(part) ? 1 : 0;
    }
    return count >= MIN_CRASHES;
  }

  private blockSuspects(nowMs: number): void {
    for (;;) {
      const guilty = this.findGuilty(nowMs);
      if (guilty.length === 0) {
        return;
      }
      for (const { promptPart, atMs } of guilty) {
        setNewest(this.blockedAtMs, promptPart, nowMs, MAX_BLOCKED);
        this.onBlock({ promptPart, crashCount: atMs.length });
      }
    }
  }

  /** Returns the parts to block for the crashes that no blocked part explains. */
  private findGuilty(nowMs: number): readonly Suspect[] {
    const suspects = this.findSuspects(nowMs).filter(({ eventCount }) => eventCount >= MIN_CRASHES);
    const neverAnswered = this.omitShared(
      suspects.filter(({ promptPart }) => nowMs - this.getSuccessMs(promptPart) >= SUCCESS_LIFETIME_MS),
    );
    const [first, ...others] = findMostFrequent(neverAnswered);
    if (
      first &&
      others.length === 0 &&
      isDecided(first, MIN_CRASHES, nowMs) &&
      this.wereOthersAnswered(first)
    ) {
      return [first];
    }
    const eligible = (neverAnswered.length > 0 ? neverAnswered : suspects).filter(
      (suspect) => this.getPosition(suspect) > 0 || this.wereOthersAnswered(suspect),
    );
    const candidates = findMostFrequent(omitBroad(eligible));
    const minRequestCount = Math.min(...candidates.map(({ requestCount }) => requestCount));
    const [chosen] = this.omitEarlierParts(
      candidates.filter(
        (candidate) =>
          candidate.requestCount === minRequestCount && isDecided(candidate, MIN_CRASHES_IN_DOUBT, nowMs),
      ),
    );
    if (chosen) {
      this.doubtfulParts.add(chosen.promptPart);
    }
    return chosen ? [chosen] : [];
  }

  /** Omits parts if one that comes later in prompts was found at half as many crashes; the earlier one may be shared. */
  private omitShared(suspects: readonly Suspect[]): readonly Suspect[] {
    return suspects.filter(
      (suspect) =>
        !suspects.some(
          (other) =>
            this.getPosition(other) > this.getPosition(suspect) &&
            2 * other.atMs.length >= suspect.atMs.length,
        ),
    );
  }

  private omitEarlierParts(suspects: readonly Suspect[]): readonly Suspect[] {
    const lastPosition = Math.max(...suspects.map((suspect) => this.getPosition(suspect)));
    return suspects.filter((suspect) => this.getPosition(suspect) === lastPosition);
  }

  /** Returns the position of a part in prompts; 0 if it is not known. */
  private getPosition({ promptPart }: Suspect): number {
    return this.positions.get(promptPart) ?? 0;
  }

  /** Returns the parts that were found at crashes that no blocked part explains. */
  private findSuspects(nowMs: number): readonly Suspect[] {
    const suspects = new Map<string, Suspect>();
    const crashes = [...this.crashes.values()].filter(
      ({ atMs, requestCounts }) => nowMs - atMs < CRASH_LIFETIME_MS && !this.isExplained(requestCounts),
    );
    crashes.sort((left, right) => left.atMs - right.atMs);
    for (const { atMs, requestCounts } of crashes) {
      for (const [promptPart, requestCount] of requestCounts) {
        const suspect = suspects.get(promptPart) ?? {
          promptPart,
          atMs: [],
          eventCount: 0,
          eventAtMs: -Infinity,
          requestCount: 0,
        };
        suspects.set(promptPart, suspect);
        suspect.requestCount += requestCount;
        if (atMs - suspect.eventAtMs >= SAME_EVENT_MS) {
          suspect.eventCount++;
          suspect.eventAtMs = atMs;
        }
        suspect.atMs.push(atMs);
      }
    }
    return [...suspects.values()];
  }

  /** Whether other requests were answered since a part was found at enough crashes. */
  private wereOthersAnswered({ atMs }: Suspect): boolean {
    const [oldestMs = -Infinity] = this.latestSuccessesMs.values();
    return this.latestSuccessesMs.size === MIN_SUCCESSES && oldestMs > (atMs[MIN_CRASHES - 1] ?? Infinity);
  }

  private isExplained(requestCounts: ReadonlyMap<string, number>): boolean {
    for (const part of this.blockedAtMs.keys()) {
      if (requestCounts.has(part)) {
        return true;
      }
    }
    return false;
  }

  private getSuccessMs(part: string): number {
    return this.succeededAtMs.get(part) ?? -Infinity;
  }
}

/** Whether a part was found at enough crashes, the last of them long enough ago for an answer to exonerate it. */
function isDecided({ atMs }: Suspect, minCrashes: number, nowMs: number): boolean {
  return nowMs - (atMs[minCrashes - 1] ?? Infinity) >= EXONERATION_MS;
}

function findMostFrequent(suspects: readonly Suspect[]): readonly Suspect[] {
  const maxCount = Math.max(...suspects.map(({ atMs }) => atMs.length));
  return suspects.filter(({ atMs }) => atMs.length === maxCount);
}

/** Omits parts that were found at hardly more crashes than others of which far fewer requests broke off. */
function omitBroad(suspects: readonly Suspect[]): readonly Suspect[] {
  const maxCount = Math.max(...suspects.map(({ atMs }) => atMs.length));
  const candidates = suspects.filter(({ atMs }) => atMs.length >= maxCount - 1);
  const getRequestsPerCrash = ({ requestCount, atMs }: Suspect) => requestCount / atMs.length;
  const minRequestsPerCrash = Math.min(...candidates.map(getRequestsPerCrash));
  return candidates.filter((suspect) => getRequestsPerCrash(suspect) < BROAD_FACTOR * minRequestsPerCrash);
}
