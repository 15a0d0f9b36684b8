import { expect } from 'chai';
import { makeEngineEntry } from '../../measure/engineFleet.js';
import { MIXED_GAP_MS as GAP_MS, SERVER_FACTORS, simulateLateShare } from '../../measure/mixedPace.js';
import {
  PaceSimulation,
  type PaceSimulationOptions,
  type SimulatedOutcome,
} from '../../measure/PaceSimulation.js';
import type { ServerId } from '../../src/domain/index.js';

function makeServers(getModels: (index: number) => readonly string[]) {
  return SERVER_FACTORS.map((_, index) =>
    makeEngineEntry({ index, models: getModels(index), slotCount: 64 }),
  );
}

function getIndex(serverId: ServerId): number {
  return Number(serverId.slice(1));
}

function run(options: Partial<PaceSimulationOptions>) {
  const simulation = new PaceSimulation({
    entries: makeServers(() => ['a']),
    traffic: [{ model: 'a', perSecond: 60, isInteractive: true }],
    getGapMs: ({ serverId }) => GAP_MS * SERVER_FACTORS[getIndex(serverId)]!,
    usesPace: true,
    ...options,
  });
  return { simulation, outcomes: simulation.run() };
}

function getLateShare({ count, lateCount }: SimulatedOutcome): number {
  return lateCount / count;
}

function getCount({ countByServer }: SimulatedOutcome, select: (index: number) => boolean): number {
  let count = 0;
  for (const [serverId, serverCount] of countByServer) {
    count += select(getIndex(serverId)) ? serverCount : 0;
  }
  return count;
}

describe('choice of servers by pace', function () {
  this.timeout(120_000);

  // On a calm day, 32% of the streams of a route had long pauses, nearly all of them on the slow servers.
  for (const [perSecond, maxLateShare] of [
    [20, 0.02],
    [60, 0.03],
    [150, 0.12],
  ] as const) {
    it(`has few late streams on servers of mixed speeds, with ${perSecond} a second`, () => {
      const lateShare = simulateLateShare(perSecond, true);
      expect(lateShare).to.be.at.most(maxLateShare);
      expect(lateShare).to.be.below(0.7 * simulateLateShare(perSecond, false));
    });
  }

  it('sends slow servers a few streams, so that their pace stays known', () => {
    const { outcomes, simulation } = run({});
    expect(getCount(outcomes.get('a')!, (index) => index === 9)).to.be.above(0);
    expect(simulation.getPaceFactor(makeServers(() => [])[9]!.serverId)).to.be.above(1.15);
  });

  it('keeps using equal servers that have short slow periods', () => {
    const outcome = run({ getGapMs: () => GAP_MS }).outcomes.get('a')!;
    const mean = outcome.count / SERVER_FACTORS.length;
    for (const index of SERVER_FACTORS.keys()) {
      expect(getCount(outcome, (other) => other === index)).to.be.within(0.4 * mean, 1.5 * mean);
    }
  });

  it('uses a server again within about 20 s after it was slow', () => {
    const getGapMs: PaceSimulationOptions['getGapMs'] = ({ serverId }, _, nowMs) =>
      getIndex(serverId) === 3 && nowMs < 12_000 ? 5 * GAP_MS : GAP_MS;
    const outcome = run({ getGapMs, durationMs: 50_000 }).outcomes.get('a')!;
    expect(getCount(outcome, (index) => index === 3)).to.be.above(
      (0.25 * outcome.count) / SERVER_FACTORS.length,
    );
  });

  it('avoids the servers of one slow data centre for all models', () => {
    const models = ['a', 'b', 'c', 'd'];
    const { outcomes } = run({
      entries: makeServers((index) => [index % 2 ? 'a' : 'b', index % 3 ? 'c' : 'd']),
      traffic: models.map((model) => ({ model, perSecond: 15, isInteractive: true })),
      getGapMs: ({ serverId }) => GAP_MS * (getIndex(serverId) < 5 ? 1.8 : 1),
    });
    for (const model of models) {
      const outcome = outcomes.get(model)!;
      expect(getCount(outcome, (index) => index < 5)).to.be.below(0.15 * outcome.count);
    }
  });

  it('does not take the servers of one slow model for slow ones', () => {
    const { outcomes, simulation } = run({
      entries: makeServers((index) => (index < 5 ? ['a', 'b'] : ['a', 'c'])),
      traffic: ['a', 'b', 'c'].map((model) => ({ model, perSecond: 20, isInteractive: true })),
      getGapMs: (_, model) => GAP_MS * (model === 'b' ? 1.6 : 1),
    });
    const outcome = outcomes.get('a')!;
    expect(getCount(outcome, (index) => index < 5)).to.be.within(0.35 * outcome.count, 0.65 * outcome.count);
    for (const { serverId } of makeServers(() => [])) {
      expect(simulation.getPaceFactor(serverId)).to.be.within(0.8, 1.25);
    }
  });

  it('leaves the fast servers to live requests, without late batch requests', () => {
    const { outcomes } = run({
      entries: makeServers(() => ['a', 'b']),
      traffic: [
        { model: 'a', perSecond: 40, isInteractive: true },
        { model: 'b', perSecond: 40, isInteractive: false },
      ],
    });
    const [live, batch] = [outcomes.get('a')!, outcomes.get('b')!];
    const getFastShare = (outcome: SimulatedOutcome) =>
      getCount(outcome, (index) => index < 2) / outcome.count;
    expect(getFastShare(batch)).to.be.below(0.85 * getFastShare(live));
    expect(getLateShare(live)).to.be.below(0.02);
    expect(getLateShare(batch)).to.be.below(0.02);
  });
});
