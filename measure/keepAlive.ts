import {
  FixedKeepAlivePolicy,
  HistogramKeepAlivePolicy,
  UnloadAtOncePolicy,
  type KeepAlivePolicy,
} from '../src/home/decisions/index.js';
import type { CostWeights } from '../src/domain/index.js';
import { quantile, rounded, type Figure } from './Figure.js';
import { generateTraces, PROFILES, type TenantProfile, type Trace } from './traces.js';

const HOUR_MS = 3_600_000;
/** Keep-alive of the baseline in milliseconds. */
const FIXED_KEEP_ALIVE_MS = 600_000;
/** Time that one request takes, in milliseconds. */
const SERVICE_MS = 1_000;
/** Each tenant's weighing, as its service files state it. */
export const WEIGHINGS: Readonly<Record<TenantProfile['name'], CostWeights>> = {
  mosquitero: { coldStartSecond: 1, idleAcceleratorHour: 25 },
  rimalia: { coldStartSecond: 1, idleAcceleratorHour: 12 },
};

/** What a policy cost on some traces. */
export interface PolicyCost {
  /** Wait for cold starts that 99 in 100 requests stay under, in milliseconds. */
  readonly waitP99Ms: number;
  /** Mean wait for cold starts over all requests, in milliseconds. */
  readonly waitMeanMs: number;
  readonly idleHours: number;
  /** Requests that met an unloaded model, of all. */
  readonly coldShare: number;
}

/**
 * Replays traces against a policy, one policy a model.
 * @param traces - Arrivals of each model.
 * @param loadMs - Time of a cold start in milliseconds.
 * @param createPolicy - Creates a model's policy.
 */
export function replay(
  traces: readonly Trace[],
  loadMs: number,
  createPolicy: () => KeepAlivePolicy,
): PolicyCost {
  const waitsMs: number[] = [];
  let idleMs = 0;
  for (const trace of traces) {
    idleMs += replayOne(trace, loadMs, createPolicy(), waitsMs);
  }
  const totalMs = waitsMs.reduce((sum, waitMs) => sum + waitMs, 0);
  const coldCount = waitsMs.filter((waitMs) => waitMs > 0).length;
  const requestCount = Math.max(1, waitsMs.length);
  return {
    waitP99Ms: quantile(waitsMs, 0.99),
    waitMeanMs: totalMs / requestCount,
    idleHours: idleMs / HOUR_MS,
    coldShare: coldCount / requestCount,
  };
}

/** Replays one model; adds each request's cold-start wait, and returns the idle time in milliseconds. */
function replayOne(trace: Trace, loadMs: number, policy: KeepAlivePolicy, waitsMs: number[]): number {
  let idleMs = 0;
  let busyUntilMs = -Infinity;
  let loadedAtMs = -Infinity;
  for (const atMs of trace) {
    const gapMs = atMs - busyUntilMs;
    if (gapMs > 0 && Number.isFinite(gapMs)) {
      const { keepAliveMs, preWarm } = policy.plan(loadMs);
      policy.recordIdleGap(gapMs);
      const intoPreWarmMs = gapMs - (preWarm?.afterMs ?? Infinity);
      const forMs = preWarm?.forMs ?? 0;
      idleMs += Math.min(gapMs, keepAliveMs) + clamp(intoPreWarmMs, 0, forMs);
      const isKept = gapMs <= keepAliveMs;
      const isPreWarmed = intoPreWarmMs >= 0 && intoPreWarmMs <= forMs;
      loadedAtMs = isKept || isPreWarmed ? loadedAtMs : atMs + loadMs;
    } else if (!Number.isFinite(gapMs)) {
      loadedAtMs = atMs + loadMs;
    }
    const waitMs = Math.max(0, loadedAtMs - atMs);
    waitsMs.push(waitMs);
    busyUntilMs = Math.max(busyUntilMs, atMs + waitMs + SERVICE_MS);
  }
  return idleMs;
}

function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}

/** Compares our policy with the baselines on the same traces. */
export function measureKeepAlive(seed: number): Figure[] {
  const figures: Figure[] = [];
  for (const profile of PROFILES) {
    const traces = generateTraces(profile, seed);
    const weighing = WEIGHINGS[profile.name];
    const ours = replay(traces, profile.loadMs, () => new HistogramKeepAlivePolicy(weighing));
    const fixed = replay(traces, profile.loadMs, () => new FixedKeepAlivePolicy(FIXED_KEEP_ALIVE_MS));
    const atOnce = replay(traces, profile.loadMs, () => new UnloadAtOncePolicy());
    const tailTarget = profile.name === 'rimalia' ? '<= 0.6' : '<= 1';
    const idleTarget = profile.name === 'mosquitero' ? '<= 0.4' : '<= 1';
    const { name } = profile;
    figures.push(
      ratio(`coldStartTailVsFixedKeepAlive.${name}`, ours.waitMeanMs, fixed.waitMeanMs, tailTarget),
      ratio(`coldStartP99VsFixedKeepAlive.${name}`, ours.waitP99Ms, fixed.waitP99Ms, tailTarget),
      ratio(`idleAcceleratorVsFixedKeepAlive.${name}`, ours.idleHours, fixed.idleHours, idleTarget),
      compared(`coldStartMeanWait.${name}`, 'ms', ours.waitMeanMs, fixed.waitMeanMs),
      compared(`coldStartMeanWaitUnloadAtOnce.${name}`, 'ms', atOnce.waitMeanMs, fixed.waitMeanMs),
      compared(`idleAccelerator.${name}`, 'h', ours.idleHours, fixed.idleHours),
      compared(`coldShare.${name}`, 'of requests', ours.coldShare, fixed.coldShare),
    );
  }
  return figures;
}

function ratio(name: string, ours: number, baseline: number, target: string): Figure {
  return { name, value: rounded(ours / baseline), unit: 'ratio', baseline: 1, target };
}

function compared(name: string, unit: string, ours: number, baseline: number): Figure {
  return { name, value: rounded(ours), unit, baseline: rounded(baseline) };
}
