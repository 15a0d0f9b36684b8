/** Relation of an answer's era to the newest one seen. */
export type EraRelation =
  | 'current'
  /** The store has been restored from a copy since the last answer. */
  | 'restored'
  /** The answer was sent before a restore that is known already. */
  | 'outdated';

/** Newest era that any answer of the platform's store has shown. */
export class StoreEras {
  private newestEra: number | undefined;

  /** Newest era; undefined before the first answer. */
  get newest(): number | undefined {
    return this.newestEra;
  }

  /**
   * Records the era of an answer and returns its relation to the newest one before it.
   * @param era - Era of the answer.
   */
  record(era: number): EraRelation {
    const before = this.newestEra;
    if (before !== undefined && era < before) {
      return 'outdated';
    }
    this.newestEra = era;
    return before === undefined || era === before ? 'current' : 'restored';
  }
}
