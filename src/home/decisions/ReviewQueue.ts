/** Number of reviews after which all models are queued again. */
const FULL_REVIEW_INTERVAL = 20;
/** Most models of one review, so that it does not delay requests for long. */
const REVIEW_BATCH_SIZE = 100;

/** Queue of models whose placement is due for review: those affected by a change, and periodically all. */
export class ReviewQueue {
  private readonly due = new Set<string>();
  private reviewCount = 0;

  /** @param modelId - Model affected by a change. */
  add(modelId: string): void {
    this.due.add(modelId);
  }

  /** @param modelIds - Models that may be affected by a change. */
  addAll(modelIds: Iterable<string>): void {
    for (const modelId of modelIds) {
      this.due.add(modelId);
    }
  }

  /**
   * Removes and returns the models of the next review.
   * @param getAllModelIds - Returns all models; called when all are queued again.
   */
  takeNext(getAllModelIds: () => Iterable<string>): string[] {
    this.reviewCount++;
    if (this.reviewCount % FULL_REVIEW_INTERVAL === 0) {
      this.addAll(getAllModelIds());
    }
    const batch: string[] = [];
    for (const modelId of this.due) {
      if (batch.length >= REVIEW_BATCH_SIZE) {
        break;
      }
      this.due.delete(modelId);
      batch.push(modelId);
    }
    return batch;
  }
}
