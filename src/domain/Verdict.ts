/**
 * Says whether a request may have run.
 *
 * - `didNotRun`: no backend server has run it or ever will.
 * - `mayHaveRun`: it may run, may have run, or neither.
 * - `ran`: it ran to its end.
 */
export type Verdict = 'didNotRun' | 'mayHaveRun' | 'ran';

/** Evidence that one attempt did not run; only an agent, the server's own statement or a lack of any sending gives it. */
export interface DidNotRunProof {
  readonly attemptId: string;
  readonly source: 'agentRefusal' | 'agentTombstone' | 'serverStatement' | 'neverSent';
}

/**
 * Follows one request's attempts and tells the verdict at any moment.
 *
 * An attempt is open from the moment its bytes may have left; only a proof for that very attempt closes it as not run.
 */
export class VerdictTracker {
  private readonly openAttempts = new Set<string>();
  private finished = false;

  /** @param attemptId - Attempt whose bytes may leave from now on. */
  markPossiblySent(attemptId: string): void {
    this.openAttempts.add(attemptId);
  }

  /** @param proof - Evidence that the attempt did not run. */
  proveDidNotRun(proof: DidNotRunProof): void {
    this.openAttempts.delete(proof.attemptId);
  }

  /** Notes that an attempt ran to its end. */
  markCompleted(): void {
    this.finished = true;
  }

  /** The verdict as far as is known now. */
  get verdict(): Verdict {
    if (this.finished) {
      return 'ran';
    }
    return this.openAttempts.size > 0 ? 'mayHaveRun' : 'didNotRun';
  }
}
