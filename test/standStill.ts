const NEVER_NOTIFIED = new Int32Array(new SharedArrayBuffer(4));

/**
 * Blocks the process, as a pause of its machine or a long task does; sockets go on receiving in the kernel.
 * @param durationMs - Duration, in milliseconds.
 */
export function standStill(durationMs: number): void {
  Atomics.wait(NEVER_NOTIFIED, 0, 0, durationMs);
}
