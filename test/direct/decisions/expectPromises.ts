import { expect } from 'chai';
import type { SimulationResult } from './PromptPartSimulation.js';

/** Simulated time of a day, in milliseconds. */
export const DURATION_MS = 30_000;
/** Time from the fifth crash after which at most three guilty requests may reach an engine, in milliseconds. */
const STABLE_WINDOW_MS = 3_000;
const MAX_LATE_ARRIVALS = 3;
/** Share of sound requests that may be refused because a part of their prompts is blocked. */
const MAX_REFUSED_SHARE = 0.02;

/**
 * Expects that hardly any guilty request came late and hardly any sound request was refused on a simulated day, and that agents
 * report no part that was answered.
 * @param result - Outcome of the day.
 */
export function expectPromises(result: SimulationResult): void {
  const { guiltyArrivalsAtMs, guiltyCrashesAtMs, refusedSound, soundCount, answeredSuspects } = result;
  const fifthCrashAtMs = guiltyCrashesAtMs[4] ?? Infinity;
  const late = guiltyArrivalsAtMs.filter((atMs) => atMs > fifthCrashAtMs + STABLE_WINDOW_MS);
  expect(late.length, 'late arrivals').to.be.at.most(MAX_LATE_ARRIVALS);
  const first = refusedSound.filter(({ promptPart }) => promptPart.startsWith('first'));
  expect(first.length, 'refused by the first part').to.equal(0);
  expect(answeredSuspects, 'answered suspects').to.deep.equal([]);
  expect(refusedSound.length, 'refused').to.be.at.most(MAX_REFUSED_SHARE * soundCount);
}
