/** Interval at which the event loop is checked, in milliseconds. */
const CHECK_INTERVAL_MS = 20;
/** Shortest delay that is reported, in milliseconds; requests that are held exceed their limit by one second. */
export const MIN_REPORTED_MS = 150;

/** Start of each line that describes a delay. */
export const DELAY_PREFIX = 'event loop delayed';

/** Period in which the event loop of a process made no progress, or little. */
export interface EventLoopDelay {
  readonly fromMs: number;
  readonly toMs: number;
  /**
   * Processor time that the process took meanwhile, in milliseconds: little of it shows that the process was suspended or had
   * no processor, and not that its own work took so long.
   */
  readonly processorMs: number;
}

/**
 * Reports delays of this process's event loop.
 * @param report - Called after each delay.
 */
export function watchEventLoop(report: (delay: EventLoopDelay) => void): NodeJS.Timeout {
  let checkedAtMs = Date.now();
  let usage = process.cpuUsage();
  return setInterval(() => {
    const nowMs = Date.now();
    if (nowMs - checkedAtMs - CHECK_INTERVAL_MS >= MIN_REPORTED_MS) {
      const { user, system } = process.cpuUsage(usage);
      report({ fromMs: checkedAtMs, toMs: nowMs, processorMs: Math.round((user + system) / 1_000) });
    }
    checkedAtMs = nowMs;
    usage = process.cpuUsage();
  }, CHECK_INTERVAL_MS).unref();
}

/** Describes a delay in one line. */
export function formatDelay({ fromMs, toMs, processorMs }: EventLoopDelay): string {
  return `${DELAY_PREFIX} by ${toMs - fromMs} ms until ${toMs}, processor time ${processorMs} ms`;
}
