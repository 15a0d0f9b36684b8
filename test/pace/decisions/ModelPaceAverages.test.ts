import { expect } from 'chai';
import { ModelPaceAverages, StreamPace } from '../../../src/pace/index.js';

describe('ModelPaceAverages', () => {
  describe('getPaces', () => {
    it('forgets within 20 s what no longer holds', () => {
      const averages = new ModelPaceAverages();
      for (let nowMs = 0; nowMs < 10_000; nowMs += 250) {
        averages.record('a', 100, 4, nowMs);
      }
      expect(averages.getPaces(10_000).a?.gapMs).to.equal(100);
      for (let nowMs = 10_000; nowMs < 25_000; nowMs += 1_000) {
        averages.record('a', 40, 4, nowMs);
      }
      expect(averages.getPaces(25_000).a?.gapMs).to.be.below(55);
      expect(averages.getPaces(45_000)).to.deep.equal({});
    });

    it('returns the same value while it changes little, so that reports stay small', () => {
      const averages = new ModelPaceAverages();
      const values = new Set<unknown>();
      for (let nowMs = 0; nowMs < 30_000; nowMs += 100) {
        averages.record('a', 38 + ((nowMs / 100) % 5), 4, nowMs);
        values.add(averages.getPaces(nowMs).a);
      }
      expect(values.size).to.be.at.most(8);
    });

    it('ignores implausible gaps and keeps a bounded number of models', () => {
      const averages = new ModelPaceAverages();
      for (const gapMs of [undefined, null, NaN, -1, 0, 1e9, 'x', {}]) {
        averages.record('a', gapMs, 1, 0);
      }
      expect(averages.getPaces(0)).to.deep.equal({});
      for (let index = 0; index < 1_000; index++) {
        averages.record(`m${index}`, 40, 1, 0);
      }
      expect(Object.keys(averages.getPaces(0)).length).to.be.at.most(64);
    });
  });
});

describe('StreamPace', () => {
  it('returns the mean gap of one attempt, with the silence before its end, unless the caller reads slowly', () => {
    const pace = new StreamPace();
    const [first, second] = [{}, {}];
    pace.record(first, 1, 0);
    pace.record(second, 1, 1_000);
    pace.record(second, 2, 1_080);
    expect(pace.getMeanGapMs(second, 1_080)).to.equal(undefined);
    pace.record(second, 3, 1_200);
    expect(pace.getMeanGapMs(second, 1_200)).to.equal(40);
    expect(pace.getMeanGapMs(second, 1_800)).to.be.above(100);
    expect(pace.getMeanGapMs(first, 1_200)).to.equal(undefined);
    expect(pace.longestGapMs).to.equal(1_000);
    pace.markDisturbed();
    expect(pace.getMeanGapMs(second, 1_200)).to.equal(undefined);
  });
});
