import { EngineCrashRecorder, PromptPartSuspects } from '../../../src/direct/index.js';
import { DURATION_MS, expectPromises } from './expectPromises.js';
import { PromptPartSimulation, type SimulatedDay } from './PromptPartSimulation.js';

interface DayCase {
  readonly title: string;
  readonly days: readonly SimulatedDay[];
}

const CASES: readonly DayCase[] = [
  {
    // Issue 24: a router that had just started blocked a first part, of whose position it knew nothing.
    title: 'tells a first part from the guilty one at a router that has just started',
    days: [
      {
        seed: 624_383,
        isFirstGuilty: false,
        engineCount: 4,
        routerCount: 4,
        firstPartCount: 3,
        subjectCount: 296,
        soundIntervalMs: 46,
        guiltyIntervalMs: 1_395,
        maxDelayMs: 99,
        cutShare: 0.02,
        otherCrashes: [
          { atMs: 3_440, engineCount: 4 },
          { atMs: 19_236, engineCount: 7 },
        ],
        restartAtMs: 9_910,
      },
      {
        seed: 432_726,
        isFirstGuilty: false,
        engineCount: 4,
        routerCount: 1,
        firstPartCount: 4,
        subjectCount: 156,
        soundIntervalMs: 46,
        guiltyIntervalMs: 170,
        maxDelayMs: 5,
        cutShare: 0.2,
        otherCrashes: [
          { atMs: 3_347, engineCount: 5 },
          { atMs: 21_630, engineCount: 8 },
          { atMs: 955, engineCount: 1 },
        ],
        restartAtMs: 5_644,
      },
    ],
  },
  {
    // Issue 24: late notifications made one crash of all engines look like several, and a first part was blocked while nothing was answered.
    title: 'blocks no first part for a crash of all engines that seems to last',
    days: [
      {
        seed: 639_331,
        isFirstGuilty: false,
        engineCount: 5,
        routerCount: 1,
        firstPartCount: 1,
        subjectCount: 124,
        soundIntervalMs: 30,
        guiltyIntervalMs: Infinity,
        maxDelayMs: 297,
        cutShare: 0,
        otherCrashes: [
          { atMs: 6_356, engineCount: 7 },
          { atMs: 14_069, engineCount: 6 },
          { atMs: 15_134, engineCount: 7 },
        ],
        restartAtMs: 29_998,
      },
      {
        seed: 603_020,
        isFirstGuilty: false,
        engineCount: 5,
        routerCount: 5,
        firstPartCount: 1,
        subjectCount: 174,
        soundIntervalMs: 40,
        guiltyIntervalMs: 1_271,
        maxDelayMs: 299,
        cutShare: 0.02,
        otherCrashes: [
          { atMs: 317, engineCount: 2 },
          { atMs: 9_466, engineCount: 8 },
          { atMs: 12_829, engineCount: 2 },
        ],
        restartAtMs: 13_196,
      },
    ],
  },
  {
    // Issue 24: a sound part that was equal to the guilty one was blocked as well and refused to the end.
    title: 'blocks one of two equal parts and corrects itself when a later crash tells them apart',
    days: [
      {
        seed: 8,
        isFirstGuilty: false,
        engineCount: 6,
        routerCount: 2,
        firstPartCount: 3,
        subjectCount: 83,
        soundIntervalMs: 50,
        guiltyIntervalMs: 150,
        maxDelayMs: 70,
        cutShare: 0,
        otherCrashes: [{ atMs: 24_803, engineCount: 1 }],
        restartAtMs: 22_575,
      },
    ],
  },
  {
    // Issue 24: parts of a few streams were taken for answers to many requests, and a first part was blocked.
    title: 'blocks no first part because of a few answers to others',
    days: [
      {
        seed: 157_121,
        isFirstGuilty: false,
        engineCount: 4,
        routerCount: 2,
        firstPartCount: 4,
        subjectCount: 181,
        soundIntervalMs: 24,
        guiltyIntervalMs: 154,
        maxDelayMs: 147,
        cutShare: 0.02,
        otherCrashes: [
          { atMs: 14_126, engineCount: 6 },
          { atMs: 17_327, engineCount: 8 },
          { atMs: 4_503, engineCount: 2 },
        ],
        restartAtMs: 15_385,
      },
      {
        seed: 101_812,
        isFirstGuilty: false,
        engineCount: 6,
        routerCount: 2,
        firstPartCount: 3,
        subjectCount: 192,
        soundIntervalMs: 28,
        guiltyIntervalMs: 1_498,
        maxDelayMs: 295,
        cutShare: 0,
        otherCrashes: [
          { atMs: 28_746, engineCount: 3 },
          { atMs: 25_707, engineCount: 3 },
          { atMs: 23_331, engineCount: 6 },
        ],
        restartAtMs: 8,
      },
    ],
  },
];

describe('PromptPartSuspects on simulated days', () => {
  for (const { title, days } of CASES) {
    it(title, () => {
      for (const day of days) {
        const simulation = new PromptPartSimulation(day, {
          createSuspects: () => new PromptPartSuspects(),
          createRecorder: () => new EngineCrashRecorder(),
        });
        expectPromises(simulation.run(DURATION_MS));
      }
    });
  }
});
