import { expect } from 'chai';
import { EngineCrashRecorder } from '../../../src/direct/index.js';

describe('EngineCrashRecorder', () => {
  let recorder: EngineCrashRecorder;

  beforeEach(() => {
    recorder = new EngineCrashRecorder();
    recorder.recordReading(7, 0);
  });

  function crash(nowMs: number): void {
    recorder.recordReading(undefined, nowMs);
    recorder.recordReading(undefined, nowMs + 100);
  }

  describe('recordReading', () => {
    it('concludes a crash from two failed readings and counts the requests that broke off at that time', () => {
      const rare = { share: 0.1, wasAnswered: false };
      const frequent = { share: 0.5, wasAnswered: true };
      recorder.recordBreak(7, ['a', 'b'], [frequent, rare], 1_000);
      recorder.recordBreak(7, ['a', 'c'], [rare], 1_010);
      expect(recorder.recordReading(undefined, 1_100)).to.equal(false);
      expect(recorder.recordReading(undefined, 1_200)).to.equal(true);
      expect(recorder.recordReading(undefined, 1_300)).to.equal(false);
      const requestCounts = { a: 2, b: 1, c: 1 };
      const positions = { a: 0, b: 1, c: 1 };
      expect(recorder.takeChanges(1_310)).to.deep.equal([
        {
          bornAtMs: 7,
          ageMs: 300,
          requestCounts,
          positions,
          requestCount: 2,
          histories: { a: frequent, b: rare },
        },
      ]);
      expect(recorder.takeChanges(1_310)).to.deep.equal([]);
    });

    it('concludes a crash from a new start time', () => {
      recorder.recordBreak(7, ['a'], [], 1_000);
      expect(recorder.recordReading(8, 1_100)).to.equal(true);
      expect(recorder.getCrashes(1_100)[0]?.requestCounts).to.deep.equal({ a: 1 });
    });

    it('withdraws the crash of a process that turns out to be running', () => {
      recorder.recordBreak(7, ['a'], [], 1_000);
      crash(1_050);
      recorder.takeChanges(1_200);
      recorder.recordReading(7, 1_250);
      expect(recorder.takeChanges(1_300)[0]?.requestCounts).to.deep.equal({});
    });
  });

  describe('recordBreak', () => {
    it('does not count long before a crash, for another process or without a crash', () => {
      recorder.recordBreak(7, ['early'], [], 100);
      recorder.recordBreak(6, ['other'], [], 1_000);
      expect(recorder.getCrashes(1_000)).to.deep.equal([]);
      crash(1_050);
      expect(recorder.getCrashes(1_150)[0]?.requestCounts).to.deep.equal({});
    });

    it('adds a late notification to a crash', () => {
      crash(1_000);
      recorder.recordBreak(7, ['late'], [], 2_000);
      expect(recorder.takeChanges(2_000)[0]?.requestCounts).to.deep.equal({ late: 1 });
      recorder.recordBreak(7, ['too late'], [], 4_000);
      expect(recorder.takeChanges(4_000)).to.deep.equal([]);
    });

    it('keeps a bounded number of parts and crashes', () => {
      for (let bornAtMs = 8; bornAtMs < 108; bornAtMs++) {
        const parts = Array.from({ length: 1_000 }, (_value, index) => `p${index}`);
        recorder.recordReading(bornAtMs, bornAtMs);
        recorder.recordBreak(bornAtMs, parts, [], bornAtMs);
      }
      const crashes = recorder.getCrashes(108);
      expect(crashes.length).to.equal(32);
      expect(Math.max(...crashes.map((some) => Object.keys(some.requestCounts).length))).to.equal(400);
    });
  });

  describe('exonerate', () => {
    it('removes parts that were answered from all crashes', () => {
      recorder.recordBreak(7, ['a', 'b'], [], 1_000);
      crash(1_050);
      recorder.takeChanges(1_200);
      recorder.exonerate(['a', 'unknown']);
      const [change] = recorder.takeChanges(1_200);
      expect(change?.requestCounts).to.deep.equal({ b: 1 });
      expect(change?.positions).to.deep.equal({ b: 1 });
      recorder.exonerate(['a']);
      expect(recorder.takeChanges(1_200)).to.deep.equal([]);
    });
  });
});
