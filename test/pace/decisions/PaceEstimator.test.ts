import { expect } from 'chai';
import { toServerId } from '../../../src/domain/index.js';
import { isModelPace, PaceEstimator, readModelPaces, type ServerPaces } from '../../../src/pace/index.js';

/** Creates the report of a server with the gap of each of its models. */
function makeReport(id: string, gapsMs: Record<string, number>, streamCount = 8): ServerPaces {
  const paces = Object.entries(gapsMs).map(
    ([model, gapMs]) => [model, { gapMs, streamCount, runningCount: 8 }] as const,
  );
  return { serverId: toServerId(id), paces };
}

describe('PaceEstimator', () => {
  describe('update', () => {
    it('tells slow servers from slow models', () => {
      const estimator = new PaceEstimator();
      const reports = [
        makeReport('fast', { a: 24, b: 48 }),
        makeReport('usual', { b: 80, c: 40 }),
        makeReport('slow', { a: 64, c: 64 }),
      ];
      for (let nowMs = 0; nowMs < 10_000; nowMs += 1_000) {
        estimator.update(reports, nowMs);
      }
      expect(estimator.getPaceFactor(toServerId('fast'))).to.be.within(0.55, 0.75);
      expect(estimator.getPaceFactor(toServerId('usual'))).to.be.within(0.85, 1.15);
      expect(estimator.getPaceFactor(toServerId('slow'))).to.be.within(1.3, 1.7);
      expect(estimator.getExpectedGapMs(toServerId('usual'), 'a')).to.be.within(33, 48);
      expect(estimator.getExpectedGapMs(toServerId('slow'), 'b')).to.be.within(100, 140);
    });

    it('pulls a server with few streams towards the usual pace', () => {
      const estimator = new PaceEstimator();
      estimator.update(
        [makeReport('x', { a: 40 }), makeReport('y', { a: 40 }), makeReport('z', { a: 400 }, 0.5)],
        0,
      );
      expect(estimator.getPaceFactor(toServerId('z'))).to.be.within(1.2, 2.5);
    });

    it('knows the gap of a model that no server holds any more, and forgets the pace of a server', () => {
      const estimator = new PaceEstimator();
      const [a, b] = [toServerId('x'), toServerId('y')];
      estimator.update([makeReport('x', { a: 40 }), makeReport('y', { a: 80 })], 0);
      for (let nowMs = 1_000; nowMs <= 20_000; nowMs += 1_000) {
        estimator.update([], nowMs);
      }
      expect(estimator.serverCount).to.equal(0);
      expect(estimator.getPaceFactor(b)).to.equal(1);
      expect(estimator.getExpectedGapMs(a, 'a')).to.be.within(45, 70);
    });
  });

  describe('getExpectedGapMs', () => {
    it('is undefined, and the factor 1, before the first report, so that a new router chooses as without paces', () => {
      const estimator = new PaceEstimator();
      estimator.update([], 0);
      expect(estimator.getExpectedGapMs(toServerId('x'), 'a')).to.equal(undefined);
      expect(estimator.getPaceFactor(toServerId('x'))).to.equal(1);
    });
  });
});

describe('readModelPaces', () => {
  it('ignores whatever is no pace, as of an agent of another version', () => {
    const pace = { gapMs: 40, streamCount: 2, runningCount: 3 };
    const invalid = { b: null, c: 3, d: { ...pace, gapMs: 'x' }, e: { ...pace, gapMs: 0 }, f: { gapMs: 40 } };
    expect(readModelPaces({ a: pace, ...invalid })).to.deep.equal([['a', pace]]);
    for (const value of [undefined, null, 7, 'text', [], [1]]) {
      expect(readModelPaces(value)).to.deep.equal([]);
    }
    expect(isModelPace({ ...pace, streamCount: -1 })).to.equal(false);
  });
});
