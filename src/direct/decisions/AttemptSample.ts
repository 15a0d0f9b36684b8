/** Number of attempts that are kept. */
const MAX_ATTEMPTS = 300;

interface SampledAttempt {
  readonly sentAtMs: number;
  readonly promptParts: readonly string[];
}

/** The latest attempts and answers of one router, as a sample of the requests that servers get. */
export class AttemptSample {
  private readonly attempts: SampledAttempt[] = [];
  /** Numbers of attempts by prompt part. */
  private readonly counts = new Map<string, number>();
  /** Times of the latest answers, the oldest first. */
  private readonly answeredAtMs: number[] = [];

  /**
   * Records an attempt that is sent to a server.
   * @param promptParts - Parts of the request's prompt that other requests may share.
   * @param nowMs - Current time.
   */
  recordAttempt(promptParts: readonly string[], nowMs: number): void {
    this.attempts.push({ sentAtMs: nowMs, promptParts });
    for (const part of promptParts) {
      this.counts.set(part, (this.counts.get(part) ?? 0) + 1);
    }
    if (this.attempts.length > MAX_ATTEMPTS) {
      this.forget(this.attempts.shift()?.promptParts ?? []);
    }
  }

  /**
   * Records that an attempt was answered.
   * @param nowMs - Current time.
   */
  recordAnswer(nowMs: number): void {
    this.answeredAtMs.push(nowMs);
    if (this.answeredAtMs.length > MAX_ATTEMPTS) {
      this.answeredAtMs.shift();
    }
  }

  /**
   * Returns the share of the attempts that had a part, from above 0 to 1; it is 1 as long as there was no attempt.
   * @param promptPart - ID of the part.
   */
  getShare(promptPart: string): number {
    return ((this.counts.get(promptPart) ?? 0) + 1) / (this.attempts.length + 1);
  }

  /**
   * Returns the logarithm of the probability that none of the answers since some time had a part that no answer had.
   * @param promptPart - ID of the part.
   * @param sinceMs - Earliest time of attempts and answers.
   */
  getLogSilence(promptPart: string, sinceMs: number): number {
    let attemptCount = 0;
    let partCount = 0;
    for (const { sentAtMs, promptParts } of this.attempts) {
      if (sentAtMs >= sinceMs) {
        attemptCount++;
        partCount += promptParts.includes(promptPart) ? 1 : 0;
      }
    }
    const answerCount = this.answeredAtMs.filter((atMs) => atMs >= sinceMs).length;
    return answerCount * Math.log(1 - partCount / (attemptCount + 1));
  }

  private forget(promptParts: readonly string[]): void {
    for (const part of promptParts) {
      const count = (this.counts.get(part) ?? 0) - 1;
      if (count > 0) {
        this.counts.set(part, count);
      } else {
        this.counts.delete(part);
      }
    }
  }
}
