import { Random } from '../src/kernel/index.js';

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;
/** Length of a trace in days. */
export const TRACE_DAYS = 14;
/** Mean time between two requests of a session, in milliseconds. */
const REQUEST_GAP_MS = 8 * SECOND_MS;

/** Arrival times of one model's requests, in milliseconds from the start, in order. */
export type Trace = readonly number[];

/** How a tenant's models are used. */
export interface TenantProfile {
  readonly name: 'mosquitero' | 'rimalia';
  readonly modelCount: number;
  /** Time of a cold start from the usual tier, in milliseconds. */
  readonly loadMs: number;
  /** Mean requests of a session. */
  readonly requestsPerSession: number;
  /** First and last hour of the working day. */
  readonly workingHours: readonly [number, number];
}

export const PROFILES: readonly TenantProfile[] = [
  { name: 'mosquitero', modelCount: 40, loadMs: 4_000, requestsPerSession: 12, workingHours: [8, 19] },
  { name: 'rimalia', modelCount: 20, loadMs: 5_000, requestsPerSession: 25, workingHours: [8, 22] },
];

/**
 * Generates the traces of a tenant's models.
 *
 * Three kinds of models, by turns: sessions at heavy-tailed gaps (log-normal) within working hours; sessions at a fixed
 * period with some jitter, day and night; rare bursts at exponential gaps of many hours.
 * @param profile - How the tenant's models are used.
 * @param seed - Fixes the traces.
 */
export function generateTraces(profile: TenantProfile, seed: number): Trace[] {
  const random = new Random(seed);
  const traces: Trace[] = [];
  for (let model = 0; model < profile.modelCount; model++) {
    const nextGapMs = createGapSource(model, random);
    traces.push(generateTrace(profile, random, nextGapMs, model % 3 === 0));
  }
  return traces;
}

/** Gives the source of the gaps between one model's sessions. */
function createGapSource(model: number, random: Random): () => number {
  switch (model % 3) {
    case 0: {
      const medianMs = (10 + random.below(50)) * MINUTE_MS;
      return () => medianMs * Math.exp(1.2 * normal(random));
    }
    case 1: {
      const periodMs = (1 + random.below(6)) * HOUR_MS;
      return () => periodMs * (0.97 + 0.06 * random.fraction());
    }
    default: {
      const meanMs = (4 + random.below(20)) * HOUR_MS;
      return () => random.exponential(meanMs);
    }
  }
}

function generateTrace(
  profile: TenantProfile,
  random: Random,
  nextGapMs: () => number,
  daytimeOnly: boolean,
): Trace {
  const arrivals: number[] = [];
  let sessionAtMs = nextGapMs() * random.fraction();
  while (sessionAtMs < TRACE_DAYS * DAY_MS) {
    if (daytimeOnly) {
      sessionAtMs = toWorkingTime(sessionAtMs, profile, random);
    }
    let atMs = sessionAtMs;
    const requestCount = 1 + Math.floor(random.exponential(profile.requestsPerSession));
    for (let request = 0; request < requestCount; request++) {
      arrivals.push(atMs);
      atMs += random.exponential(REQUEST_GAP_MS);
    }
    sessionAtMs = Math.max(atMs, sessionAtMs + nextGapMs());
  }
  return arrivals;
}

/** Moves a time outside working hours to the next morning. */
function toWorkingTime(atMs: number, profile: TenantProfile, random: Random): number {
  const [firstHour, lastHour] = profile.workingHours;
  const dayStartMs = Math.floor(atMs / DAY_MS) * DAY_MS;
  const hour = (atMs - dayStartMs) / HOUR_MS;
  const spreadMs = random.fraction() * HOUR_MS;
  if (hour < firstHour) {
    return dayStartMs + firstHour * HOUR_MS + spreadMs;
  }
  return hour >= lastHour ? dayStartMs + DAY_MS + firstHour * HOUR_MS + spreadMs : atMs;
}

/** Draws from the standard normal distribution (Box and Muller, 1958). */
function normal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());
}
