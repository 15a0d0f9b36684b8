import { AttemptSample } from './AttemptSample.js';
import { CRASH_LIFETIME_MS, type EngineCrash, type PromptPartHistory } from './EngineCrashRecorder.js';
import { getCountEvidence, getLogTail } from './promptPartEvidence.js';
import { setNewest } from '../../kernel/setNewest.js';

/** Evidence above which a prompt part is blocked, as a logarithm of odds. */
const MIN_EVIDENCE = 11;
/** Evidence of one crash at its own time: how unlikely it is that the engine ended for another reason. */
const CRASH_EVIDENCE = 2;
/** Time between two crashes from which on they are independent of each other, in milliseconds. */
const INDEPENDENT_CRASH_MS = 70;
/** Evidence against a part for each part before it in prompts: the first ones are shared by many sound requests. */
const POSITION_EVIDENCE = 3;
/** Evidence in favour of a part that was answered before the crashes at which it was found. */
const ANSWER_EVIDENCE = 10;
/**
 * Least evidence from what distinguishes requests with a part from others. Without it, the part of nearly all requests could be
 * blocked for any series of crashes.
 */
const MIN_DISTINCTION = 0.5;
/** Number of crashes below which no part is blocked: a sound request that is repeated may be found at two. */
const MIN_CRASHES = 3;
/** Weight of the evidence of a number of requests, since requests with the same parts come in bursts. */
const COUNT_WEIGHT = 0.5;
/** Time after a crash in which an answer may still exonerate prompt parts, in milliseconds. */
const EXONERATION_MS = 1_000;
/** Time for which an answer counts in favour of a prompt part that is found at later crashes, in milliseconds. */
const SUCCESS_LIFETIME_MS = 600_000;
/** Time after the last request with a blocked prompt part for which it stays blocked, in milliseconds. */
const BLOCK_LIFETIME_MS = CRASH_LIFETIME_MS;
/** Maximum number of stored crashes of all engines. */
const MAX_CRASHES = 512;
/** Maximum number of prompt parts with a stored success. */
const MAX_SUCCESSES = 2_000;
/** Maximum number of blocked prompt parts. */
const MAX_BLOCKED = 200;

/** A prompt part that is blocked. */
export interface PromptPartBlock {
  readonly promptPart: string;
  /** Number of crashes that are attributed to it. */
  readonly crashCount: number;
  /** Evidence against it, as a logarithm of odds. */
  readonly evidence: number;
}

/** What a crash says about one prompt part that may be guilty of it. */
interface CrashSign {
  /** Probability with which a sound part with its share of the requests would have been found at the crash, from 0 to 1. */
  readonly chance: number;
  /** Evidence of the number of its requests that broke off, given that it was found. */
  readonly countEvidence: number;
  /** Position of the part in prompts. */
  readonly position: number;
  /** Whether a router had seen the part answered before. */
  readonly wasAnswered: boolean;
}

interface SuspectedCrash {
  readonly address: string;
  readonly atMs: number;
  readonly signs: Map<string, CrashSign>;
}

/** Crashes at which a prompt part was found. */
interface Suspect {
  readonly promptPart: string;
  /** Time of the first crash. */
  readonly firstAtMs: number;
  /** Index of the first crash among all. */
  readonly firstIndex: number;
  lastAtMs: number;
  lastIndex: number;
  position: number;
  /** Number of crashes at which it was found. */
  crashCount: number;
  /** Number of these crashes, of which those at nearly the same time count for less. */
  independentCount: number;
  /** Sum of the probabilities with which a sound part would have been found at them. */
  chanceSum: number;
  /** Sum of the evidence of the numbers of its requests. */
  countEvidence: number;
  /** Whether a router had seen it answered before one of them. */
  wasAnswered: boolean;
}

/**
 * Finds the prompt parts that crash each engine that begins an answer on them, and blocks requests with them.
 *
 * An answer makes certain that its parts are not guilty of the crashes before it. Each further crash at which a part was found
 * without an answer adds to the evidence against it: that the engine ended at all, and how unlikely it is that a sound part
 * with its share of the requests was found at the crash, in so many of the broken requests, and in none of the answers since. The part with the most evidence is
 * blocked; the crashes that it explains no longer count against others. A crash that no blocked part explains
 * reopens all decisions.
 */
export class PromptPartSuspects {
  private readonly sample = new AttemptSample();
  /** Crashes by engine address and start time of the crashed process. */
  private readonly crashes = new Map<string, SuspectedCrash>();
  private readonly succeededAtMs = new Map<string, number>();
  /** Times of the last requests with blocked prompt parts. */
  private readonly blockedAtMs = new Map<string, number>();

  /** @param onBlock - Called when a prompt part is blocked. */
  constructor(private readonly onBlock: (block: PromptPartBlock) => void = () => undefined) {}

  /**
   * Records that a request is sent to an engine.
   * @param promptParts - Parts of the request's prompt that other requests may share.
   * @param nowMs - Current time.
   */
  recordAttempt(promptParts: readonly string[], nowMs: number): void {
    this.sample.recordAttempt(promptParts, nowMs);
  }

  /**
   * Returns what this router knows of prompt parts.
   * @param promptParts - IDs of the parts.
   * @param nowMs - Current time.
   */
  getHistories(promptParts: readonly string[], nowMs: number): readonly PromptPartHistory[] {
    return promptParts.map((part) => ({
      share: this.sample.getShare(part),
      wasAnswered: this.wasAnswered(part, nowMs),
    }));
  }

  /**
   * Applies crashes as reported by the agent of an engine; parts that a crash no longer contains were answered since.
   * Returns the parts of the crashes that this router has seen answered since, of which the agent does not know.
   * @param address - Address of the engine.
   * @param crashes - New or changed crashes.
   * @param nowMs - Current time.
   */
  applyCrashes(address: string, crashes: readonly EngineCrash[], nowMs: number): readonly string[] {
    const answeredParts = new Set<string>();
    for (const crash of crashes) {
      const key = `${address}|${crash.bornAtMs}`;
      const atMs = nowMs - crash.ageMs;
      const signs = new Map<string, CrashSign>();
      for (const part of Object.keys(crash.requestCounts)) {
        if (this.getSuccessMs(part) > atMs) {
          answeredParts.add(part);
        } else {
          signs.set(part, this.getSign(part, crash));
        }
      }
      for (const part of this.crashes.get(key)?.signs.keys() ?? []) {
        if (!signs.has(part)) {
          this.blockedAtMs.delete(part);
        }
      }
      if (!this.crashes.has(key) && !this.isExplained(signs)) {
        this.withdrawBlocks();
      }
      setNewest(this.crashes, key, { address, atMs, signs }, MAX_CRASHES);
    }
    return [...answeredParts];
  }

  /**
   * Records that an engine answered a request; returns the addresses of the engines whose crashes contained its parts.
   * @param promptParts - Parts of the request's prompt that other requests may share.
   * @param isFirst - Whether this is the first sign of an answer to the attempt, in contrast to a stream that goes on.
   * @param nowMs - Current time.
   */
  recordSuccess(promptParts: readonly string[], isFirst: boolean, nowMs: number): readonly string[] {
    const addresses = new Set<string>();
    if (isFirst) {
      this.sample.recordAnswer(nowMs);
    }
    for (const part of promptParts) {
      setNewest(this.succeededAtMs, part, nowMs, MAX_SUCCESSES);
      this.blockedAtMs.delete(part);
      for (const { address, signs } of this.crashes.values()) {
        if (signs.delete(part)) {
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

  /** Returns what a crash says about a part; with agents or routers of an older version, this router's own sample tells its share. */
  private getSign(part: string, crash: EngineCrash): CrashSign {
    const { requestCounts, positions = {}, histories = {}, requestCount = 0 } = crash;
    const { share = this.sample.getShare(part), wasAnswered = false } = histories[part] ?? {};
    const brokenCount = Math.max(requestCount, ...Object.values(requestCounts));
    const chance = 1 - (1 - share) ** brokenCount;
    const countEvidence = COUNT_WEIGHT * getCountEvidence(requestCounts[part] ?? 1, brokenCount, share);
    return { chance, countEvidence, position: positions[part] ?? 0, wasAnswered };
  }

  /** Withdraws the blocks of parts with known crashes, to decide again on all of these together. */
  private withdrawBlocks(): void {
    for (const { signs } of this.crashes.values()) {
      for (const part of signs.keys()) {
        this.blockedAtMs.delete(part);
      }
    }
  }

  /** Whether a part that is not blocked was found at enough crashes to be considered. */
  private mayBlock(part: string): boolean {
    if (this.crashes.size < MIN_CRASHES || this.blockedAtMs.has(part)) {
      return false;
    }
    let count = 0;
    for (const { signs } of this.crashes.values()) {
      count += signs.has(part) ? 1 : 0;
    }
    return count >= MIN_CRASHES;
  }

  private blockSuspects(nowMs: number): void {
    for (;;) {
      const guilty = this.findGuilty(nowMs);
      if (!guilty) {
        return;
      }
      setNewest(this.blockedAtMs, guilty.promptPart, nowMs, MAX_BLOCKED);
      this.onBlock(guilty);
    }
  }

  /** Returns the part with the most evidence from the crashes that no blocked part explains; undefined if it is too little. */
  private findGuilty(nowMs: number): PromptPartBlock | undefined {
    let guilty: PromptPartBlock | undefined;
    for (const suspect of this.findSuspects(nowMs)) {
      const { promptPart, crashCount, independentCount, position } = suspect;
      const distinction = suspect.countEvidence - this.getLogChance(suspect) + POSITION_EVIDENCE * position;
      const wasAnswered = suspect.wasAnswered || this.wasAnswered(promptPart, nowMs);
      const evidence = CRASH_EVIDENCE * independentCount + distinction - (wasAnswered ? ANSWER_EVIDENCE : 0);
      if (distinction >= MIN_DISTINCTION && evidence > (guilty?.evidence ?? MIN_EVIDENCE)) {
        guilty = { promptPart, crashCount, evidence };
      }
    }
    return guilty;
  }

  /** Returns the parts that were found at enough crashes that no blocked part explains. */
  private findSuspects(nowMs: number): readonly Suspect[] {
    const suspects = new Map<string, Suspect>();
    const crashes = [...this.crashes.values()].filter(({ atMs, signs }) => {
      const ageMs = nowMs - atMs;
      return ageMs >= EXONERATION_MS && ageMs < CRASH_LIFETIME_MS && !this.isExplained(signs);
    });
    crashes.sort((left, right) => left.atMs - right.atMs);
    for (const [index, { atMs, signs }] of crashes.entries()) {
      for (const [promptPart, { chance, countEvidence, position, wasAnswered }] of signs) {
        const suspect = suspects.get(promptPart) ?? createSuspect(promptPart, atMs, index);
        suspects.set(promptPart, suspect);
        suspect.independentCount += Math.min(1, (atMs - suspect.lastAtMs) / INDEPENDENT_CRASH_MS);
        suspect.lastAtMs = atMs;
        suspect.lastIndex = index;
        suspect.position = Math.max(suspect.position, position);
        suspect.crashCount++;
        suspect.chanceSum += chance;
        suspect.countEvidence += countEvidence;
        suspect.wasAnswered ||= wasAnswered;
      }
    }
    return [...suspects.values()].filter(({ crashCount }) => crashCount >= MIN_CRASHES);
  }

  /** Returns the logarithm of the probability that a sound part is found at as many crashes and at no answer. */
  private getLogChance({
    promptPart,
    firstAtMs,
    firstIndex,
    lastIndex,
    crashCount,
    chanceSum,
  }: Suspect): number {
    return (
      getLogTail(crashCount, lastIndex - firstIndex + 1, chanceSum / crashCount) +
      this.sample.getLogSilence(promptPart, firstAtMs)
    );
  }

  private isExplained(signs: ReadonlyMap<string, CrashSign>): boolean {
    for (const part of this.blockedAtMs.keys()) {
      if (signs.has(part)) {
        return true;
      }
    }
    return false;
  }

  private wasAnswered(part: string, nowMs: number): boolean {
    return nowMs - this.getSuccessMs(part) < SUCCESS_LIFETIME_MS;
  }

  private getSuccessMs(part: string): number {
    return this.succeededAtMs.get(part) ?? -Infinity;
  }
}

function createSuspect(promptPart: string, atMs: number, index: number): Suspect {
  return {
    promptPart,
    firstAtMs: atMs,
    firstIndex: index,
    lastAtMs: -Infinity,
    lastIndex: index,
    position: 0,
    crashCount: 0,
    independentCount: 0,
    chanceSum: 0,
    countEvidence: 0,
    wasAnswered: false,
  };
}
