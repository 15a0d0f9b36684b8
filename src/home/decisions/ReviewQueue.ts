/** Reviews between two in which every model is looked at. */
const REVIEWS_PER_ROUND = 20;
/** Models that one review looks at, so that it never holds up requests for long. */
const REVIEW_BATCH = 100;

/** Says which models' placements are to be reviewed next: those that something changed for, and all now and then. */
export class ReviewQueue {
  private readonly due = new Set<string>();
  private reviewCount = 0;

  /** @param modelId - Model that something changed for. */
  add(modelId: string): void {
    this.due.add(modelId);
  }

  /** @param modelIds - Models that a change may concern. */
  addAll(modelIds: Iterable<string>): void {
    for (const modelId of modelIds) {
      this.due.add(modelId);
    }
  }

  /**
   * Takes the models of one review.
   * @param allModelIds - Gives every model, for the rounds in which all are looked at.
   */
  takeNext(allModelIds: () => Iterable<string>): string[] {
    this.reviewCount++;
    if (this.reviewCount % REVIEWS_PER_ROUND === 0) {
      this.addAll(allModelIds());
    }
    const batch: string[] = [];
    for (const modelId of this.due) {
      if (batch.length >= REVIEW_BATCH) {
        break;
      }
      this.due.delete(modelId);
      batch.push(modelId);
    }
    return batch;
  }
}
