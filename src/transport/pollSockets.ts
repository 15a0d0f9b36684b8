/**
 * Reads what has arrived on all sockets. Timers run before: after a pause of the process, they would see connections as idle
 * whose requests have arrived meanwhile.
 */
export function pollSockets(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
