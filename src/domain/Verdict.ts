/**
 * Whether a request may have run.
 *
 * - `didNotRun`: no backend server has run it or ever will.
 * - `mayHaveRun`: it may be running, may have run, or may never run.
 * - `ran`: it ran to completion.
 */
export type Verdict = 'didNotRun' | 'mayHaveRun' | 'ran';

/**
 * Proof that one attempt did not run; the only valid sources are a statement by the agent or the backend server, and
 * the fact that the attempt was never sent.
 */
export interface DidNotRunProof {
  readonly attemptId: string;
  readonly source: 'agentRefusal' | 'agentTombstone' | 'serverStatement' | 'neverSent';
}

/**
 * Tracks the attempts of one request and determines its verdict.
 *
 * An attempt is open as soon as any of its bytes may have been sent; only a proof for the same attempt closes it as not
 * run.
 */
export class VerdictTracker {
  private readonly openAttempts = new Set<string>();
  private completed = false;

  /** @param onChange - Called after each change of the attempts with whether the request may have run. */
  constructor(private readonly onChange: (mayHaveRun: boolean) => void = () => undefined) {}

  /** @param attemptId - Attempt that may be sent from now on. */
  markPossiblySent(attemptId: string): void {
    this.openAttempts.add(attemptId);
    this.onChange(true);
  }

  /** @param proof - Proof that an attempt did not run. */
  proveDidNotRun(proof: DidNotRunProof): void {
    this.openAttempts.delete(proof.attemptId);
    this.onChange(this.verdict !== 'didNotRun');
  }

  /** Records that an attempt ran to completion. */
  markCompleted(): void {
    this.completed = true;
  }

  /** Current verdict. */
  get verdict(): Verdict {
    if (this.completed) {
      return 'ran';
    }
    return this.openAttempts.size > 0 ? 'mayHaveRun' : 'didNotRun';
  }
}
