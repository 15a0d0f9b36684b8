/** Total size of the requests or responses that a router may hold at the same time. */
export class ByteBudget {
  private usedBytes = 0;

  /** @param totalBytes - Size of the budget, in bytes. */
  constructor(readonly totalBytes: number) {}

  /**
   * Whether a part of the budget is left.
   * @param byteCount - Number of bytes of the part.
   * @param reservedBytes - Part of the budget that must stay free, in bytes.
   */
  hasRoom(byteCount: number, reservedBytes = 0): boolean {
    return this.usedBytes + byteCount <= this.totalBytes - reservedBytes;
  }

  /**
   * Takes a part of the budget; returns false if too little is left.
   * @param byteCount - Number of bytes to take.
   * @param reservedBytes - Part of the budget that must stay free, in bytes.
   */
  tryTake(byteCount: number, reservedBytes = 0): boolean {
    if (!this.hasRoom(byteCount, reservedBytes)) {
      return false;
    }
    this.usedBytes += byteCount;
    return true;
  }

  /**
   * Returns a part to the budget.
   * @param byteCount - Number of bytes that were taken before.
   */
  release(byteCount: number): void {
    this.usedBytes -= byteCount;
  }
}
