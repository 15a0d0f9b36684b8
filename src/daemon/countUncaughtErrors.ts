import type { Metrics } from '../telemetry/index.js';
import type { ProcessLifecycle } from './ProcessLifecycle.js';

/** Counter of errors that nothing handled. */
const UNCAUGHT_ERRORS = 'uncaught_errors';

/**
 * Counts the uncaught errors of a process; the counter is exposed before the first one.
 * @param lifecycle - Lifecycle of the process.
 * @param metrics - Metrics of the process.
 */
export function countUncaughtErrors(lifecycle: ProcessLifecycle, metrics: Metrics): void {
  metrics.count(UNCAUGHT_ERRORS, 0);
  lifecycle.onUncaughtError(() => metrics.count(UNCAUGHT_ERRORS));
}
