import { EngineCrashRecorder, PromptPartSuspects } from '../../../src/direct/index.js';
import { Random } from '../../../src/kernel/index.js';

/** Duration of one step, in milliseconds. */
const STEP_MS = 10;
/** Interval at which agents read the state of their engines, in milliseconds. */
const READ_INTERVAL_MS = 100;
/** Time from a crash to the restart of an engine, in milliseconds. */
const DOWN_MS = 3_000;
/** Time from the arrival of a request to its first event, and from a guilty request's start to the crash, in milliseconds. */
const BEGIN_MS = 60;
/** Interval at which a stream counts in favour of its prompt, in milliseconds. */
const PROOF_INTERVAL_MS = 150;
/** Time after which all routers and agents know of an answer, in milliseconds. */
const SETTLED_MS = 1_500;
const GUILTY_PART = 'guilty';

/** Random conditions of a simulated day. */
export interface SimulatedDay {
  readonly seed: number;
  readonly engineCount: number;
  readonly routerCount: number;
  readonly firstPartCount: number;
  readonly subjectCount: number;
  /** Mean time between two sound requests, in milliseconds. */
  readonly soundIntervalMs: number;
  /** Mean time between two guilty requests, in milliseconds; infinite if there are none. */
  readonly guiltyIntervalMs: number;
  /** Whether the guilty part stands in the place of a first part, in contrast to that of a subject. */
  readonly isFirstGuilty: boolean;
  /** Maximum delay of a notification, in milliseconds. */
  readonly maxDelayMs: number;
  /** Share of sound answers that are cut although the engine keeps running. */
  readonly cutShare: number;
  /** Crashes with another cause: when, in milliseconds, and how many engines at the same time. */
  readonly otherCrashes: readonly { readonly atMs: number; readonly engineCount: number }[];
  /** When a router restarts and loses what it knows, in milliseconds. */
  readonly restartAtMs: number;
}

/** Factories of the classes under test, which mutants replace. */
export interface SimulatedClasses {
  readonly createSuspects: () => PromptPartSuspects;
  readonly createRecorder: () => EngineCrashRecorder;
}

interface RunningRequest {
  readonly router: SimulatedRouter;
  readonly promptParts: readonly string[];
  readonly beginsAtMs: number;
  readonly endsAtMs: number;
  readonly isCut: boolean;
  nextProofAtMs: number;
  /** Whether the router has recorded an answer. */
  isAnswered: boolean;
}

interface SimulatedEngine {
  readonly address: string;
  readonly recorder: EngineCrashRecorder;
  bornAtMs: number;
  downUntilMs: number;
  running: RunningRequest[];
}

interface SimulatedRouter {
  suspects: PromptPartSuspects;
}

/** Outcome of a simulated day. */
export interface SimulationResult {
  /** Times at which guilty requests reached engines. */
  readonly guiltyArrivalsAtMs: readonly number[];
  /** Times of the crashes that guilty requests caused. */
  readonly guiltyCrashesAtMs: readonly number[];
  /** Sound requests that were refused because of a blocked part. */
  readonly refusedSound: readonly { readonly atMs: number; readonly promptPart: string }[];
  readonly soundCount: number;
  /** Parts that agents still report for crashes although they were answered after these. */
  readonly answeredSuspects: readonly string[];
}

/** Simulates routers, engines and agents that exchange delayed notifications about crashes and answers. */
export class PromptPartSimulation {
  private readonly random: Random;
  private readonly engines: SimulatedEngine[] = [];
  private readonly routers: SimulatedRouter[] = [];
  private readonly notifications: { readonly atMs: number; readonly deliver: () => void }[] = [];
  private readonly guiltyArrivalsAtMs: number[] = [];
  private readonly guiltyCrashesAtMs: number[] = [];
  private readonly refusedSound: { atMs: number; promptPart: string }[] = [];
  /** Times of the latest answers by prompt part, without those shortly before the end or before the restart of a router. */
  private readonly answeredAtMs = new Map<string, number>();
  private soundCount = 0;
  private nowMs = 1_000_000;

  /**
   * @param day - Conditions of the day.
   * @param classes - Factories of the classes under test.
   */
  constructor(
    private readonly day: SimulatedDay,
    private readonly classes: SimulatedClasses,
  ) {
    this.random = new Random(day.seed);
    for (let index = 0; index < day.engineCount; index++) {
      const recorder = classes.createRecorder();
      this.engines.push({
        address: `engine-${index}`,
        recorder,
        bornAtMs: 1,
        downUntilMs: 0,
        running: [],
      });
    }
    for (let index = 0; index < day.routerCount; index++) {
      this.routers.push({ suspects: classes.createSuspects() });
    }
  }

  /**
   * Runs the simulation.
   * @param durationMs - Simulated time, in milliseconds.
   */
  run(durationMs: number): SimulationResult {
    const startMs = this.nowMs;
    for (; this.nowMs < startMs + durationMs; this.nowMs += STEP_MS) {
      const atMs = this.nowMs - startMs;
      this.deliverNotifications();
      this.applyDisruptions(atMs);
      this.sendRequests();
      const isSettled = atMs + SETTLED_MS < this.day.restartAtMs || atMs >= this.day.restartAtMs;
      for (const engine of this.engines) {
        this.stepEngine(engine, isSettled && atMs + SETTLED_MS < durationMs);
      }
      if (atMs % READ_INTERVAL_MS === 0) {
        this.readEngines();
      }
    }
    const toDayMs = (atMs: number) => atMs - startMs;
    return {
      guiltyArrivalsAtMs: this.guiltyArrivalsAtMs.map(toDayMs),
      guiltyCrashesAtMs: this.guiltyCrashesAtMs.map(toDayMs),
      refusedSound: this.refusedSound.map(({ atMs, promptPart }) => ({ atMs: toDayMs(atMs), promptPart })),
      soundCount: this.soundCount,
      answeredSuspects: this.findAnsweredSuspects(),
    };
  }

  private findAnsweredSuspects(): string[] {
    return this.engines.flatMap(({ recorder }) =>
      recorder.getCrashes(this.nowMs).flatMap(({ ageMs, requestCounts }) => {
        // Delayed notifications make the crash look later to a router than to the agent.
        const crashedAtMs = this.nowMs - ageMs + SETTLED_MS;
        return Object.keys(requestCounts).filter((part) => (this.answeredAtMs.get(part) ?? 0) > crashedAtMs);
      }),
    );
  }

  private deliverNotifications(): void {
    const due = this.notifications.filter(({ atMs }) => atMs <= this.nowMs);
    const later = this.notifications.filter(({ atMs }) => atMs > this.nowMs);
    this.notifications.splice(0, Infinity, ...later);
    for (const { deliver } of due) {
      deliver();
    }
  }

  private notify(deliver: () => void): void {
    const delayMs = this.random.nextFraction() * this.day.maxDelayMs;
    this.notifications.push({ atMs: this.nowMs + delayMs, deliver });
  }

  private applyDisruptions(atMs: number): void {
    for (const other of this.day.otherCrashes) {
      if (other.atMs >= atMs && other.atMs < atMs + STEP_MS) {
        this.engines.slice(0, other.engineCount).forEach((engine) => this.crash(engine));
      }
    }
    const [router] = this.routers;
    if (router && this.day.restartAtMs >= atMs && this.day.restartAtMs < atMs + STEP_MS) {
      router.suspects = this.classes.createSuspects();
      for (const { address, recorder } of this.engines) {
        router.suspects.applyCrashes(address, recorder.getCrashes(this.nowMs), this.nowMs);
      }
    }
  }

  private sendRequests(): void {
    const { soundIntervalMs, guiltyIntervalMs, firstPartCount, subjectCount, isFirstGuilty } = this.day;
    const first = `first-${this.draw(firstPartCount)}`;
    if (this.random.nextFraction() < STEP_MS / soundIntervalMs) {
      // Squaring the fraction makes some subjects more frequent than others.
      const subject = `subject-${Math.floor(this.random.nextFraction() ** 2 * subjectCount)}`;
      this.soundCount++;
      this.send([first, subject]);
    }
    if (this.random.nextFraction() < STEP_MS / guiltyIntervalMs) {
      this.send(isFirstGuilty ? [GUILTY_PART, `subject-${this.draw(subjectCount)}`] : [first, GUILTY_PART]);
    }
  }

  private send(promptParts: readonly string[]): void {
    const router = this.routers[this.draw(this.routers.length)];
    const upEngines = this.engines.filter(({ downUntilMs }) => this.nowMs >= downUntilMs);
    const engine = upEngines[this.draw(upEngines.length)];
    const isGuilty = promptParts.includes(GUILTY_PART);
    const blockedPart = router?.suspects.findBlocked(promptParts, this.nowMs);
    if (blockedPart !== undefined && !isGuilty) {
      this.refusedSound.push({ atMs: this.nowMs, promptPart: blockedPart });
    }
    if (!router || !engine || blockedPart !== undefined) {
      return;
    }
    if (isGuilty) {
      this.guiltyArrivalsAtMs.push(this.nowMs);
    }
    router.suspects.recordAttempt(promptParts, this.nowMs);
    const beginsAtMs = this.nowMs + BEGIN_MS + this.draw(100);
    engine.running.push({
      router,
      promptParts,
      beginsAtMs,
      endsAtMs: beginsAtMs + 200 + this.draw(1_500),
      isCut: !isGuilty && this.random.nextFraction() < this.day.cutShare,
      nextProofAtMs: beginsAtMs + PROOF_INTERVAL_MS,
      isAnswered: false,
    });
  }

  private stepEngine(engine: SimulatedEngine, isSettled: boolean): void {
    for (const request of engine.running) {
      if (request.promptParts.includes(GUILTY_PART) && this.nowMs >= request.beginsAtMs) {
        this.guiltyCrashesAtMs.push(this.nowMs);
        this.crash(engine);
        return;
      }
    }
    for (const request of engine.running) {
      const isOver = this.nowMs >= request.endsAtMs;
      if (isOver && request.isCut) {
        this.notifyBroken(engine, request);
      } else if (isOver || this.nowMs >= request.nextProofAtMs) {
        request.nextProofAtMs += PROOF_INTERVAL_MS;
        this.recordSuccess(request);
        for (const part of isSettled ? request.promptParts : []) {
          this.answeredAtMs.set(part, this.nowMs);
        }
      }
    }
    engine.running = engine.running.filter(({ endsAtMs }) => this.nowMs < endsAtMs);
  }

  private crash(engine: SimulatedEngine): void {
    engine.downUntilMs = this.nowMs + DOWN_MS;
    for (const request of engine.running) {
      if (this.nowMs < request.beginsAtMs + PROOF_INTERVAL_MS) {
        this.notifyBroken(engine, request);
      }
    }
    engine.running = [];
  }

  private notifyBroken({ recorder, bornAtMs }: SimulatedEngine, request: RunningRequest): void {
    const { promptParts, router } = request;
    const histories = router.suspects.getHistories(promptParts, this.nowMs);
    this.notify(() => recorder.recordBreak(bornAtMs, promptParts, histories, this.nowMs));
  }

  private recordSuccess(request: RunningRequest): void {
    const { router, promptParts } = request;
    const isFirst = !request.isAnswered;
    request.isAnswered = true;
    for (const address of router.suspects.recordSuccess(promptParts, isFirst, this.nowMs)) {
      const engine = this.engines.find((candidate) => candidate.address === address);
      this.notify(() => engine?.recorder.exonerate(promptParts));
    }
  }

  private readEngines(): void {
    for (const engine of this.engines) {
      const isUp = this.nowMs >= engine.downUntilMs;
      if (isUp && engine.downUntilMs > engine.bornAtMs) {
        engine.bornAtMs = engine.downUntilMs;
      }
      engine.recorder.recordReading(isUp ? engine.bornAtMs : undefined, this.nowMs);
      const changes = engine.recorder.takeChanges(this.nowMs);
      for (const router of changes.length > 0 ? this.routers : []) {
        this.notify(() => {
          const answeredParts = router.suspects.applyCrashes(engine.address, changes, this.nowMs);
          this.notify(() => engine.recorder.exonerate(answeredParts));
        });
      }
    }
  }

  private draw(count: number): number {
    return Math.floor(this.random.nextFraction() * count);
  }
}
