import { makeEngineEntry } from './engineFleet.js';
import { roundFigure, type Figure } from './Figure.js';
import { PaceSimulation } from './PaceSimulation.js';

/** Times of the servers as multiples of the usual time, as in the deployments. */
export const SERVER_FACTORS = [0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.2, 1.3, 1.5, 1.6];
/** Time between two events of the simulated model on a server of usual pace, in milliseconds. */
export const MIXED_GAP_MS = 60;
const RATES_PER_SECOND = [20, 60, 150];

/** Simulates a model on servers of mixed speeds, with and without the choice by pace (the baseline). */
export function measureMixedPace(): Figure[] {
  return RATES_PER_SECOND.map((perSecond) => ({
    name: `mixedPace.lateStreams.${perSecond}PerSecond`,
    value: roundFigure(simulateLateShare(perSecond, true)),
    unit: 'of streams',
    baseline: roundFigure(simulateLateShare(perSecond, false)),
  }));
}

/**
 * Returns the share of late streams of a model that all servers of mixed speeds hold.
 * @param perSecond - Number of streams per second.
 * @param usesPace - Whether servers are chosen by their pace.
 */
export function simulateLateShare(perSecond: number, usesPace: boolean): number {
  const simulation = new PaceSimulation({
    entries: SERVER_FACTORS.map((_, index) => makeEngineEntry({ index, models: ['a'], slotCount: 64 })),
    traffic: [{ model: 'a', perSecond, isInteractive: true }],
    getGapMs: ({ serverId }) => MIXED_GAP_MS * (SERVER_FACTORS[Number(serverId.slice(1))] ?? 1),
    usesPace,
  });
  const outcome = simulation.run().get('a');
  return outcome ? outcome.lateCount / outcome.count : 0;
}
