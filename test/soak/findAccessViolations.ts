import type { WorkerRun } from '../../standins/users/index.js';
import type { SoakRequest } from './SoakRecorder.js';

/** Time in which a configuration applies, in milliseconds. */
const CONFIG_APPLY_MS = 2_000;
/** Window in which the requests of an organisation are counted, in milliseconds. */
const QUOTA_WINDOW_MS = 8_000;
/** Tolerances of a quota in each window: a share of what it allows, and a number of requests. */
const QUOTA_OVER = 0.1;
const QUOTA_SLACK = 20;
const MS_PER_SECOND = 1_000;

/** Change of the validity of a key, acknowledged by the store. */
export interface KeyChange {
  readonly key: string;
  readonly isValid: boolean;
  readonly atMs: number;
}

/** Change of the limited organisation's quota, acknowledged by the store. */
export interface QuotaChange {
  readonly ratePerSecond: number;
  readonly atMs: number;
}

/**
 * Lists the violations of the access of a request's key.
 * @param request - The request.
 * @param runs - Its executions on workers.
 * @param keyChanges - All changes of keys.
 * @param isTimed - Whether checks with time limits apply to the request.
 */
export function* findAccessViolations(
  request: SoakRequest,
  runs: readonly WorkerRun[],
  keyChanges: readonly KeyChange[],
  isTimed: boolean,
): IterableIterator<string> {
  const { organisation, key, status, sentAtMs } = request;
  if (key === undefined) {
    return;
  }
  for (const run of runs) {
    if (run.organisation !== organisation) {
      yield `ran for organisation "${run.organisation ?? 'none'}" instead of "${organisation ?? 'none'}"`;
    }
    if (run.hasKey === true) {
      yield 'key passed on to a worker';
    }
  }
  const changes = keyChanges.filter((change) => change.key === key && change.atMs <= sentAtMs);
  const isSettled = isTimed && !changes.some(({ atMs }) => atMs > sentAtMs - CONFIG_APPLY_MS);
  const isValid = changes.at(-1)?.isValid ?? true;
  if (isSettled && !isValid && runs.length > 0) {
    yield 'ran with a revoked key';
  }
  const isRevokedLater = keyChanges.some((change) => change.key === key && change.atMs > sentAtMs);
  if (isSettled && isValid && !isRevokedLater && organisation !== undefined && status === 401) {
    yield 'refused with a valid key';
  }
}

/**
 * Lists the windows in which an organisation ran more requests than its quota allows.
 * @param sentAtMs - When the requests that ran were sent.
 * @param quotaChanges - Changes of its quota, in chronological order.
 */
export function findQuotaViolations(
  sentAtMs: readonly number[],
  quotaChanges: readonly QuotaChange[],
): string[] {
  const times = [...sentAtMs].sort((left, right) => left - right);
  const violations: string[] = [];
  let first = 0;
  for (const [index, toMs] of times.entries()) {
    while ((times[first] ?? toMs) < toMs - QUOTA_WINDOW_MS) {
      first++;
    }
    // A lower limit binds one window after it is in force.
    const fromMs = toMs - 2 * QUOTA_WINDOW_MS - CONFIG_APPLY_MS;
    const rates = quotaChanges.filter(
      ({ atMs }, change) => atMs <= toMs && (quotaChanges[change + 1]?.atMs ?? Infinity) > fromMs,
    );
    const rate = Math.max(0, ...rates.map(({ ratePerSecond }) => ratePerSecond));
    const allowed = (rate * QUOTA_WINDOW_MS) / MS_PER_SECOND + rate / 2;
    const count = index - first + 1;
    if (rate > 0 && count > allowed * (1 + QUOTA_OVER) + QUOTA_SLACK) {
      violations.push(`quota exceeded: ${count} requests in a window, ${allowed} allowed`);
    }
  }
  return violations.slice(0, 1);
}
