/** Share of a processor that a connection may use without waiting for its turn. */
const FREE_SHARE = 0.1;
/** Processor time beyond that share from which a connection waits for its turn, in milliseconds. */
const COSTLY_MS = 10;

/** Processor time that a connection has used beyond a small share, which decays with time. */
export class ProcessorDebt {
  private debtMs = 0;
  private updatedAtMs = 0;

  /**
   * Adds processor time that the connection has used.
   * @param usedMs - The time, in milliseconds.
   * @param nowMs - Current time, in milliseconds.
   */
  add(usedMs: number, nowMs: number): void {
    this.debtMs = this.getMs(nowMs) + usedMs;
    this.updatedAtMs = nowMs;
  }

  /**
   * Returns the time that is not forgiven yet, in milliseconds.
   * @param nowMs - Current time, in milliseconds.
   */
  getMs(nowMs: number): number {
    return Math.max(0, this.debtMs - (nowMs - this.updatedAtMs) * FREE_SHARE);
  }

  /**
   * Whether the connection must wait for its turn.
   * @param nowMs - Current time, in milliseconds.
   */
  isCostly(nowMs: number): boolean {
    return this.debtMs >= COSTLY_MS && this.getMs(nowMs) >= COSTLY_MS;
  }
}
