/** Interval at which the event loop is checked, in milliseconds. */
const CHECK_INTERVAL_MS = 20;
/** Shortest delay that is reported, in milliseconds; requests that are held exceed their limit by one second. */
const MIN_REPORTED_MS = 150;

/** Start of each line that reports a delay. */
export const DELAY_PREFIX = 'event loop delayed';

/**
 * Reports delays of this process's event loop, each with the processor time that the process took meanwhile: little of it
 * shows that the process was suspended or had no processor, and not that its own work took so long.
 * @param report - Called with a line for each delay.
 */
export function watchEventLoop(report: (line: string) => void): NodeJS.Timeout {
  let checkedAtMs = Date.now();
  let usage = process.cpuUsage();
  return setInterval(() => {
    const nowMs = Date.now();
    const delayMs = nowMs - checkedAtMs - CHECK_INTERVAL_MS;
    if (delayMs >= MIN_REPORTED_MS) {
      const { user, system } = process.cpuUsage(usage);
      const usedMs = Math.round((user + system) / 1_000);
      report(`${DELAY_PREFIX} by ${delayMs} ms until ${nowMs}, processor time ${usedMs} ms`);
    }
    checkedAtMs = nowMs;
    usage = process.cpuUsage();
  }, CHECK_INTERVAL_MS).unref();
}
