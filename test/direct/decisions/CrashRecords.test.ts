import { expect } from 'chai';
import { CrashRecords } from '../../../src/direct/index.js';

const FIRST = { sentAtMs: 0, isRepeat: false };

describe('CrashRecords', () => {
  describe('takeTrial', () => {
    function isTried(records: CrashRecords, nowMs: number, routerCount = 1): boolean {
      return records.takeTrial('f', 2, routerCount, nowMs).isGranted;
    }

    // Review, case 6: only a request that completes ends a block, and a block let none run.
    it('grants one trial five seconds after the crash that blocked a request, and one each five seconds', () => {
      const records = new CrashRecords();
      records.raiseCount('f', 2, 0);
      expect(records.takeTrial('f', 2, 1, 4_000)).to.deep.equal({ isGranted: false, retryInMs: 1_000 });
      expect(isTried(records, 5_000)).to.equal(true);
      expect(isTried(records, 5_001)).to.equal(false);
      expect(isTried(records, 10_000)).to.equal(true);
    });

    // A harmful request would crash a server every five seconds.
    it('grants trials ever more rarely while they crash servers, at last one an hour', () => {
      const records = new CrashRecords();
      records.raiseCount('f', 2, 0);
      const triedAtS: number[] = [];
      for (let nowMs = 0; nowMs <= 10_000_000; nowMs += 1_000) {
        if (isTried(records, nowMs)) {
          triedAtS.push(nowMs / 1_000);
          records.recordLoss('f', { sentAtMs: nowMs, isRepeat: false }, nowMs + 1);
        }
      }
      expect(triedAtS).to.deep.equal([5, 31, 157, 783, 3_909, 7_510]);
    });

    it('grants a trial of a request that is not known at once, as after a restart', () => {
      const records = new CrashRecords();
      expect(isTried(records, 0)).to.equal(true);
      expect(isTried(records, 1)).to.equal(false);
      expect(records.getBlockedCounts(1)).to.deep.equal({ f: 2 });
    });

    it('leaves so much more time between trials as there are routers that decide on their own', () => {
      const records = new CrashRecords();
      records.raiseCount('f', 2, 0);
      expect(isTried(records, 19_999, 4)).to.equal(false);
      expect(isTried(records, 20_000, 4)).to.equal(true);
    });
  });

  describe('getBlockedCounts', () => {
    it('contains requests with two crashes until an equal one completes', () => {
      const records = new CrashRecords();
      records.recordLoss('f', FIRST, 1);
      expect(records.getBlockedCounts(2)).to.deep.equal({});
      records.raiseCount('f', 3, 2);
      expect(records.getBlockedCounts(3)).to.deep.equal({ f: 3 });
      expect(records.clear('f')).to.equal(true);
      expect(records.clear('f')).to.equal(false);
      expect(records.getBlockedCounts(4)).to.deep.equal({});
    });

    it('contains a request until two hours after its last crash', () => {
      const records = new CrashRecords();
      records.raiseCount('f', 2, 0);
      expect(records.getBlockedCounts(7_199_999)).to.deep.equal({ f: 2 });
      expect(records.getBlockedCounts(7_200_000)).to.deep.equal({});
    });

    // A crash of a busy server ends many requests, each of which is a suspect.
    it('keeps blocked requests whatever the number of others', () => {
      const records = new CrashRecords();
      records.raiseCount('f', 2, 0);
      for (let number = 0; number < 5_000; number++) {
        records.recordLoss(`other-${number}`, FIRST, 1);
      }
      expect(records.getBlockedCounts(2)).to.deep.equal({ f: 2 });
    });
  });
});
