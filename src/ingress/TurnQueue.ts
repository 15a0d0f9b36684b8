/** Connections that wait for processor time: those that have used little come first, the others in turn after them. */
export class TurnQueue<T> {
  private readonly light = new Set<T>();
  private readonly costly = new Set<T>();

  /** Whether nobody waits. */
  get isEmpty(): boolean {
    return this.light.size === 0 && this.costly.size === 0;
  }

  /**
   * Adds a connection behind the others of its kind; one that waits keeps its place.
   * @param connection - The connection.
   * @param isCostly - Whether it has used much processor time.
   */
  add(connection: T, isCostly: boolean): void {
    if (!this.light.has(connection) && !this.costly.has(connection)) {
      (isCostly ? this.costly : this.light).add(connection);
    }
  }

  /** Removes and returns the next connection; undefined if nobody waits. */
  take(): T | undefined {
    for (const connections of [this.light, this.costly]) {
      for (const connection of connections) {
        connections.delete(connection);
        return connection;
      }
    }
    return undefined;
  }

  /**
   * Removes a connection.
   * @param connection - The connection.
   */
  delete(connection: T): void {
    this.light.delete(connection);
    this.costly.delete(connection);
  }
}
