import { expect } from 'chai';
import { getRoomPenalty, PlainDelays, type PlainServerLoad } from '../../../src/pace/index.js';

function makeLoad(latencyMs: number | undefined, overrides: Partial<PlainServerLoad> = {}): PlainServerLoad {
  return { latencyMs, latencyAtMs: 0, inFlightCount: 0, slotCount: 6, ...overrides };
}

describe('PlainDelays', () => {
  describe('getExpectedDelayMs', () => {
    it('is the latency while slots are free, and grows once the requests of all routers fill them', () => {
      const loads = [makeLoad(50, { inFlightCount: 2 }), makeLoad(50)];
      const getDelayMs = (routerCount: number) =>
        new PlainDelays(loads, routerCount, 0).getExpectedDelayMs(loads[0]!);
      expect(getDelayMs(1)).to.equal(50);
      expect(getDelayMs(23)).to.be.above(150);
    });

    it('returns to the mean latency, so that a server that was slow is tried again', () => {
      const slow = makeLoad(500);
      const loads = [slow, makeLoad(50, { latencyAtMs: 20_000 })];
      expect(new PlainDelays(loads, 1, 0).getExpectedDelayMs(slow)).to.equal(500);
      expect(new PlainDelays(loads, 1, 20_000).getExpectedDelayMs(slow)).to.be.below(300);
    });
  });
});

describe('getRoomPenalty', () => {
  it('is 0 with room and large where a request would exceed the memory of an engine', () => {
    expect(getRoomPenalty(800, 1_000)).to.equal(0);
    expect(getRoomPenalty(1_000, 1_000)).to.be.above(3);
    expect(getRoomPenalty(9_000, 0)).to.be.above(3);
  });
});
