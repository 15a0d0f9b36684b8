import { Random } from '../src/kernel/index.js';

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;
/** Length of a trace, in days. */
export const TRACE_DAYS = 14;
/** Mean time between two requests of a session. */
const MEAN_REQUEST_GAP_MS = 8 * SECOND_MS;

/** Arrival times of one model's requests, in milliseconds since the start of the trace. */
export type Trace = readonly number[];

/** Number, load time and usage of a tenant's models. */
export interface TenantProfile {
  readonly name: 'mosquitero' | 'rimalia';
  readonly modelCount: number;
  /** Duration of a cold start from the usual tier, in milliseconds. */
  readonly loadMs: number;
  /** Mean of the exponential draw for the number of requests that follow the first one of a session. */
  readonly requestsPerSession: number;
  /** Hours of the day at which the working day starts and ends. */
  readonly workingHours: readonly [number, number];
}

export const PROFILES: readonly TenantProfile[] = [
  { name: 'mosquitero', modelCount: 40, loadMs: 4_000, requestsPerSession: 12, workingHours: [8, 19] },
  { name: 'rimalia', modelCount: 20, loadMs: 5_000, requestsPerSession: 25, workingHours: [8, 22] },
];

/**
 * Generates the traces of a tenant's models.
 *
 * The models alternate between three kinds: sessions with heavy-tailed (log-normal) gaps within working hours; sessions
 * with a fixed period and some jitter, day and night; rare bursts with exponential gaps of many hours.
 * @param profile - Number and usage of the tenant's models.
 * @param seed - Seed of the random numbers; the same seed always generates the same traces.
 */
export function generateTraces(profile: TenantProfile, seed: number): Trace[] {
  const random = new Random(seed);
  const traces: Trace[] = [];
  for (let model = 0; model < profile.modelCount; model++) {
    const nextGapMs = createGapGenerator(model, random);
    traces.push(generateTrace(profile, random, nextGapMs, model % 3 === 0));
  }
  return traces;
}

/** Creates a function that draws the next gap between two sessions of one model. */
function createGapGenerator(model: number, random: Random): () => number {
  switch (model % 3) {
    case 0: {
      const medianMs = (10 + random.nextInt(50)) * MINUTE_MS;
      return () => medianMs * Math.exp(1.2 * drawNormal(random));
    }
    case 1: {
      const periodMs = (1 + random.nextInt(6)) * HOUR_MS;
      return () => periodMs * (0.97 + 0.06 * random.nextFraction());
    }
    default: {
      const meanMs = (4 + random.nextInt(20)) * HOUR_MS;
      return () => random.exponential(meanMs);
    }
  }
}

function generateTrace(
  profile: TenantProfile,
  random: Random,
  nextGapMs: () => number,
  isDaytimeOnly: boolean,
): Trace {
  const arrivals: number[] = [];
  let sessionStartMs = nextGapMs() * random.nextFraction();
  while (sessionStartMs < TRACE_DAYS * DAY_MS) {
    if (isDaytimeOnly) {
      sessionStartMs = moveToWorkingHours(sessionStartMs, profile, random);
    }
    let atMs = sessionStartMs;
    const requestCount = 1 + Math.floor(random.exponential(profile.requestsPerSession));
    for (let request = 0; request < requestCount; request++) {
      arrivals.push(atMs);
      atMs += random.exponential(MEAN_REQUEST_GAP_MS);
    }
    sessionStartMs = Math.max(atMs, sessionStartMs + nextGapMs());
  }
  return arrivals;
}

/** Moves a time outside working hours to a random time in the first hour of the next working period. */
function moveToWorkingHours(atMs: number, profile: TenantProfile, random: Random): number {
  const [firstHour, lastHour] = profile.workingHours;
  const dayStartMs = Math.floor(atMs / DAY_MS) * DAY_MS;
  const hour = (atMs - dayStartMs) / HOUR_MS;
  const spreadMs = random.nextFraction() * HOUR_MS;
  if (hour < firstHour) {
    return dayStartMs + firstHour * HOUR_MS + spreadMs;
  }
  return hour >= lastHour ? dayStartMs + DAY_MS + firstHour * HOUR_MS + spreadMs : atMs;
}

/** Draws from the standard normal distribution by the Box-Muller transform (1958). */
function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.nextFraction())) * Math.cos(2 * Math.PI * random.nextFraction());
}
