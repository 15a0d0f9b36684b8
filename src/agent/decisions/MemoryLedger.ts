/** Accounts for the memory of one backend server; what it committed never exceeds the capacity. */
export class MemoryLedger {
  private readonly sizeBytesByItem = new Map<string, number>();
  private committed = 0;

  /** @param capacityBytes - Memory of the backend server in bytes. */
  constructor(private capacityBytes: number) {}

  /** Memory that is reserved or in use, in bytes. */
  get committedBytes(): number {
    return this.committed;
  }

  /** Memory that may still be reserved, in bytes; never negative. */
  get freeBytes(): number {
    return Math.max(0, this.capacityBytes - this.committed);
  }

  /** @param capacityBytes - Capacity that the backend server reports, in bytes. */
  setCapacityBytes(capacityBytes: number): void {
    this.capacityBytes = capacityBytes;
  }

  /**
   * Reserves memory for an item if it fits.
   * @param itemId - Item that has no reservation yet.
   * @param sizeBytes - Its size in bytes.
   */
  reserve(itemId: string, sizeBytes: number): boolean {
    if (this.sizeBytesByItem.has(itemId) || sizeBytes > this.freeBytes) {
      return false;
    }
    this.enter(itemId, sizeBytes);
    return true;
  }

  /**
   * Enters an item that the backend server holds already, whatever that does to the total.
   * @param itemId - The item.
   * @param sizeBytes - Its size in bytes.
   */
  adopt(itemId: string, sizeBytes: number): void {
    this.release(itemId);
    this.enter(itemId, sizeBytes);
  }

  /** @param itemId - Item whose memory is free again, as the backend server confirmed. */
  release(itemId: string): void {
    this.committed -= this.sizeBytesByItem.get(itemId) ?? 0;
    this.sizeBytesByItem.delete(itemId);
  }

  /** @param itemId - Item to look for. */
  has(itemId: string): boolean {
    return this.sizeBytesByItem.has(itemId);
  }

  private enter(itemId: string, sizeBytes: number): void {
    this.sizeBytesByItem.set(itemId, sizeBytes);
    this.committed += sizeBytes;
  }
}
