import {
  FixedKeepAlivePolicy,
  HistogramKeepAlivePolicy,
  UnloadAtOncePolicy,
  type KeepAlivePolicy,
} from '../src/home/decisions/index.js';
import type { Weighing } from '../src/domain/index.js';
import { quantile, rounded, type Figure } from './Figure.js';
import { generateTraces, PROFILES, type TenantProfile, type Trace } from './traces.js';

const HOUR_MS = 3_600_000;
/** Keep-alive of the baseline in milliseconds. */
const FIXED_KEEP_ALIVE_MS = 600_000;
/** Time that one request takes, in milliseconds. */
const SERVICE_MS = 1_000;
/** Share of the slowest requests whose mean is the tail. */
const TAIL_SHARE = 0.01;

/** Each tenant's weighing, as its service files state it. */
export const WEIGHINGS: Readonly<Record<TenantProfile['name'], Weighing>> = {
  mosquitero: { coldStartSecond: 1, idleAcceleratorHour: 40 },
  rimalia: { coldStartSecond: 1, idleAcceleratorHour: 4 },
};

/** What a policy cost on some traces. */
export interface PolicyCost {
  /** Mean cold-start wait of the slowest 1 in 100 requests, in milliseconds. */
  readonly tailMs: number;
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
export function replay(traces: readonly Trace[], loadMs: number, createPolicy: () => KeepAlivePolicy): PolicyCost {
  const waitsMs: number[] = [];
  let idleMs = 0;
  for (const trace of traces) {
    idleMs += replayOne(trace, loadMs, createPolicy(), waitsMs);
  }
  const limitMs = quantile(waitsMs, 1 - TAIL_SHARE);
  const tailCount = Math.ceil(waitsMs.length * TAIL_SHARE);
  const worst = [...waitsMs].sort((left, right) => right - left).slice(0, tailCount);
  const tailMs = worst.reduce((sum, waitMs) => sum + waitMs, 0) / Math.max(1, tailCount);
  const coldShare = waitsMs.filter((waitMs) => waitMs > 0).length / Math.max(1, waitsMs.length);
  return { tailMs: Math.max(tailMs, limitMs), idleHours: idleMs / HOUR_MS, coldShare };
}

/** Replays one model; adds each request's cold-start wait, and returns the idle time in milliseconds. */
function replayOne(trace: Trace, loadMs: number, policy: KeepAlivePolicy, waitsMs: number[]): number {
  let idleMs = 0;
  let busyUntilMs = -Infinity;
  let loadedAtMs = -Infinity;
  for (const atMs of trace) {
    const gapMs = atMs - busyUntilMs;
    if (gapMs > 0 && Number.isFinite(gapMs)) {
      const { keepAliveMs, preWarmAfterMs } = policy.plan(loadMs);
      policy.gapSeen(gapMs);
      const preWarmedMs = preWarmAfterMs === undefined ? 0 : clamp(gapMs - preWarmAfterMs, 0, keepAliveMs);
      const keptMs = preWarmAfterMs === undefined ? Math.min(gapMs, keepAliveMs) : 0;
      idleMs += keptMs + preWarmedMs;
      const isKept = preWarmAfterMs === undefined && gapMs <= keepAliveMs;
      const isPreWarmed = preWarmAfterMs !== undefined && gapMs >= preWarmAfterMs && gapMs <= preWarmAfterMs + keepAliveMs;
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
    figures.push(
      ratio(`coldStartTailVsFixedKeepAlive.${profile.name}`, ours.tailMs, fixed.tailMs, tailTarget),
      ratio(`idleAcceleratorVsFixedKeepAlive.${profile.name}`, ours.idleHours, fixed.idleHours, idleTarget),
      { name: `coldStartTail.${profile.name}`, value: rounded(ours.tailMs), unit: 'ms', baseline: rounded(fixed.tailMs) },
      { name: `idleAccelerator.${profile.name}`, value: rounded(ours.idleHours), unit: 'h', baseline: rounded(fixed.idleHours) },
      { name: `coldShare.${profile.name}`, value: rounded(ours.coldShare), unit: 'of requests', baseline: rounded(fixed.coldShare) },
      { name: `coldStartTailUnloadAtOnce.${profile.name}`, value: rounded(atOnce.tailMs), unit: 'ms' },
    );
  }
  return figures;
}

function ratio(name: string, ours: number, baseline: number, target: string): Figure {
  return { name, value: rounded(ours / baseline), unit: 'ratio', baseline: 1, target };
}
