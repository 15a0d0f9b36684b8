import {
  FixedKeepAlivePolicy,
  HistogramKeepAlivePolicy,
  UnloadAtOncePolicy,
  type KeepAlivePolicy,
} from '../src/home/decisions/index.js';
import type { CostWeights } from '../src/domain/index.js';
import { quantile, roundFigure, type Figure } from './Figure.js';
import { generateTraces, PROFILES, type TenantProfile, type Trace } from './traces.js';

const HOUR_MS = 3_600_000;
/** Keep-alive time of the baseline, in milliseconds. */
const FIXED_KEEP_ALIVE_MS = 600_000;
/** Processing time of each request, in milliseconds. */
const SERVICE_MS = 1_000;
/** Cost weights of each tenant, as in its service files. */
export const COST_WEIGHTS: Readonly<Record<TenantProfile['name'], CostWeights>> = {
  mosquitero: { coldStartSecond: 1, idleAcceleratorHour: 25 },
  rimalia: { coldStartSecond: 1, idleAcceleratorHour: 12 },
};

/** Cost of a keep-alive policy on a set of traces. */
export interface PolicyCost {
  /** 99th percentile of the cold-start wait of all requests, in milliseconds. */
  readonly waitP99Ms: number;
  /** Mean cold-start wait of all requests, in milliseconds. */
  readonly waitMeanMs: number;
  readonly idleHours: number;
  /** Fraction of the requests that had to wait for their model. */
  readonly coldShare: number;
}

/**
 * Replays traces with a separate policy for each model and returns the total cost.
 * @param traces - Arrival times of each model's requests.
 * @param loadMs - Duration of a cold start, in milliseconds.
 * @param createPolicy - Creates the policy of one model.
 */
export function replayTraces(
  traces: readonly Trace[],
  loadMs: number,
  createPolicy: () => KeepAlivePolicy,
): PolicyCost {
  const waitsMs: number[] = [];
  let idleMs = 0;
  for (const trace of traces) {
    idleMs += replayTrace(trace, loadMs, createPolicy(), waitsMs);
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

/** Replays one model's trace, appends each request's cold-start wait to `waitsMs`, and returns the idle time in ms. */
function replayTrace(trace: Trace, loadMs: number, policy: KeepAlivePolicy, waitsMs: number[]): number {
  let idleMs = 0;
  let busyUntilMs = -Infinity;
  let loadedAtMs = -Infinity;
  for (const atMs of trace) {
    const gapMs = atMs - busyUntilMs;
    if (gapMs > 0 && Number.isFinite(gapMs)) {
      const { keepAliveMs, preWarm } = policy.plan(loadMs);
      policy.recordIdleGap(gapMs);
      const sincePreWarmMs = gapMs - (preWarm?.afterMs ?? Infinity);
      const preWarmMs = preWarm?.forMs ?? 0;
      idleMs += Math.min(gapMs, keepAliveMs) + clamp(sincePreWarmMs, 0, preWarmMs);
      const isKept = gapMs <= keepAliveMs;
      const isPreWarmed = sincePreWarmMs >= 0 && sincePreWarmMs <= preWarmMs;
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

/**
 * Compares the histogram policy with a fixed keep-alive time and with unloading at once, on the same traces.
 * @param seed - Seed of the traces.
 */
export function measureKeepAlive(seed: number): Figure[] {
  const figures: Figure[] = [];
  for (const profile of PROFILES) {
    const traces = generateTraces(profile, seed);
    const costWeights = COST_WEIGHTS[profile.name];
    const histogram = replayTraces(traces, profile.loadMs, () => new HistogramKeepAlivePolicy(costWeights));
    const fixed = replayTraces(traces, profile.loadMs, () => new FixedKeepAlivePolicy(FIXED_KEEP_ALIVE_MS));
    const unloadAtOnce = replayTraces(traces, profile.loadMs, () => new UnloadAtOncePolicy());
    const tailTarget = profile.name === 'rimalia' ? '<= 0.6' : '<= 1';
    const idleTarget = profile.name === 'mosquitero' ? '<= 0.4' : '<= 1';
    const { name } = profile;
    figures.push(
      createRatioFigure(
        `coldStartTailVsFixedKeepAlive.${name}`,
        histogram.waitMeanMs,
        fixed.waitMeanMs,
        tailTarget,
      ),
      createRatioFigure(
        `coldStartP99VsFixedKeepAlive.${name}`,
        histogram.waitP99Ms,
        fixed.waitP99Ms,
        tailTarget,
      ),
      createRatioFigure(
        `idleAcceleratorVsFixedKeepAlive.${name}`,
        histogram.idleHours,
        fixed.idleHours,
        idleTarget,
      ),
      createComparedFigure(`coldStartMeanWait.${name}`, 'ms', histogram.waitMeanMs, fixed.waitMeanMs),
      createComparedFigure(
        `coldStartMeanWaitUnloadAtOnce.${name}`,
        'ms',
        unloadAtOnce.waitMeanMs,
        fixed.waitMeanMs,
      ),
      createComparedFigure(`idleAccelerator.${name}`, 'h', histogram.idleHours, fixed.idleHours),
      createComparedFigure(`coldShare.${name}`, 'of requests', histogram.coldShare, fixed.coldShare),
    );
  }
  return figures;
}

function createRatioFigure(name: string, value: number, baseline: number, target: string): Figure {
  return { name, value: roundFigure(value / baseline), unit: 'ratio', baseline: 1, target };
}

function createComparedFigure(name: string, unit: string, value: number, baseline: number): Figure {
  return { name, value: roundFigure(value), unit, baseline: roundFigure(baseline) };
}
