/** Accounts for the memory of one backend server; reservations never exceed the capacity. */
export class MemoryLedger {
  private readonly sizeBytesByItem = new Map<string, number>();
  private reservedBytes = 0;

  /** @param capacityBytes - Memory of the backend server in bytes. */
  constructor(private capacityBytes: number) {}

  /** Memory that is reserved or in use, in bytes. */
  get committedBytes(): number {
    return this.reservedBytes;
  }

  /** Memory that can still be reserved, in bytes; never negative, although adopted items may exceed the capacity. */
  get freeBytes(): number {
    return Math.max(0, this.capacityBytes - this.reservedBytes);
  }

  /**
   * Sets the capacity.
   * @param capacityBytes - Capacity reported by the backend server, in bytes.
   */
  setCapacityBytes(capacityBytes: number): void {
    this.capacityBytes = capacityBytes;
  }

  /**
   * Reserves memory for an item; returns false if too little is free or the item has a reservation already.
   * @param itemId - The item.
   * @param sizeBytes - Size of the item in bytes.
   */
  reserve(itemId: string, sizeBytes: number): boolean {
    if (this.sizeBytesByItem.has(itemId) || sizeBytes > this.freeBytes) {
      return false;
    }
    this.addItem(itemId, sizeBytes);
    return true;
  }

  /**
   * Adds an item that the backend server already holds, even if the total then exceeds the capacity.
   * @param itemId - The item.
   * @param sizeBytes - Size of the item in bytes.
   */
  adopt(itemId: string, sizeBytes: number): void {
    this.release(itemId);
    this.addItem(itemId, sizeBytes);
  }

  /**
   * Releases the memory of an item once the backend server has confirmed that the item is gone.
   * @param itemId - The item.
   */
  release(itemId: string): void {
    this.reservedBytes -= this.sizeBytesByItem.get(itemId) ?? 0;
    this.sizeBytesByItem.delete(itemId);
  }

  /**
   * Returns whether memory is reserved for an item.
   * @param itemId - The item.
   */
  has(itemId: string): boolean {
    return this.sizeBytesByItem.has(itemId);
  }

  private addItem(itemId: string, sizeBytes: number): void {
    this.sizeBytesByItem.set(itemId, sizeBytes);
    this.reservedBytes += sizeBytes;
  }
}
