import { expect } from 'chai';
import * as fc from 'fast-check';
import { EngineCrashRecorder, PromptPartSuspects } from '../../../src/direct/index.js';
import { PromptPartSimulation, type SimulatedClasses, type SimulatedDay } from './PromptPartSimulation.js';

/** Simulated time, in milliseconds. */
const DURATION_MS = 30_000;
/** Time from the fifth crash after which at most three guilty requests may reach an engine, in milliseconds. */
const STABLE_WINDOW_MS = 3_000;
const MAX_LATE_ARRIVALS = 3;
/** Share of sound requests that may be refused because a part of their prompts is blocked. */
const MAX_REFUSED_SHARE = 0.02;
const NUM_RUNS = 200;
const SEED = Number(process.env.FUZZ_SEED ?? 1);

const CLASSES: SimulatedClasses = {
  createSuspects: () => new PromptPartSuspects(),
  createRecorder: () => new EngineCrashRecorder(),
};

const DAY = {
  seed: fc.nat(1_000_000),
  engineCount: fc.integer({ min: 4, max: 8 }),
  routerCount: fc.integer({ min: 1, max: 5 }),
  firstPartCount: fc.integer({ min: 1, max: 4 }),
  subjectCount: fc.integer({ min: 20, max: 300 }),
  soundIntervalMs: fc.integer({ min: 20, max: 50 }),
  maxDelayMs: fc.integer({ min: 1, max: 100 }),
  cutShare: fc.constantFrom(0, 0.02, 0.2),
  otherCrashes: fc.array(
    fc.record({ atMs: fc.nat(DURATION_MS), engineCount: fc.integer({ min: 1, max: 8 }) }),
    { maxLength: 3 },
  ),
  restartAtMs: fc.nat(DURATION_MS),
};

function check(
  guiltyIntervalMs: fc.Arbitrary<number>,
  classes: SimulatedClasses,
  checkResult: (day: SimulatedDay, simulation: PromptPartSimulation) => void,
): void {
  const day = fc.record({ ...DAY, guiltyIntervalMs });
  fc.assert(
    fc.property(day, (value) => checkResult(value, new PromptPartSimulation(value, classes))),
    { numRuns: NUM_RUNS, seed: SEED, endOnFailure: true },
  );
}

/** Checks days on which requests with one part crash each engine that begins an answer. */
function checkGuilty(classes: SimulatedClasses): void {
  check(fc.integer({ min: 150, max: 1_500 }), classes, (_day, simulation) => {
    const result = simulation.run(DURATION_MS);
    const fifthCrashAtMs = result.guiltyCrashesAtMs[4] ?? Infinity;
    const late = result.guiltyArrivalsAtMs.filter((atMs) => atMs > fifthCrashAtMs + STABLE_WINDOW_MS);
    expect(late.length, 'late arrivals').to.be.at.most(MAX_LATE_ARRIVALS);
    checkSound(result.refusedSound, result.soundCount);
  });
}

/** Checks days on which engines crash and answers are cut for other reasons. */
function checkOrdinary(classes: SimulatedClasses): void {
  check(fc.constant(Infinity), classes, (_day, simulation) => {
    const { refusedSound, soundCount } = simulation.run(DURATION_MS);
    checkSound(refusedSound, soundCount);
  });
}

function checkSound(refused: readonly { promptPart: string }[], soundCount: number): void {
  const first = refused.filter(({ promptPart }) => promptPart.startsWith('first'));
  expect(first.length, 'refused by the first part').to.equal(0);
  expect(refused.length, 'refused').to.be.at.most(MAX_REFUSED_SHARE * soundCount);
}

/** Injected fault: answers do not exonerate parts. */
class IgnoresSuccess extends PromptPartSuspects {
  override recordSuccess(): readonly string[] {
    return [];
  }
}

/** Injected fault: crashes that agents report are ignored. */
class IgnoresCrashes extends PromptPartSuspects {
  override applyCrashes(): readonly string[] {
    return [];
  }
}

/** Injected fault: an agent keeps parts that were answered. */
class KeepsAnsweredParts extends EngineCrashRecorder {
  override exonerate(): void {
    // Nothing is removed.
  }
}

describe('PromptPartSuspects under random crashes', function () {
  this.timeout(60_000);

  it('blocks the guilty part in time and no first part on days with a guilty part', () => {
    checkGuilty(CLASSES);
  });

  it('blocks hardly any part on days with crashes for other reasons', () => {
    checkOrdinary(CLASSES);
  });

  for (const Faulty of [IgnoresSuccess, IgnoresCrashes]) {
    it(`detects the fault of ${Faulty.name}`, () => {
      expect(() => checkGuilty({ ...CLASSES, createSuspects: () => new Faulty() })).to.throw();
    });
  }

  it(`detects the fault of ${KeepsAnsweredParts.name}`, () => {
    const classes = { ...CLASSES, createRecorder: () => new KeepsAnsweredParts() };
    expect(() => checkGuilty(classes)).to.throw();
  });
});
