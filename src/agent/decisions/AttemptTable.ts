import type { ResponseChunk, ResponseEnd, RecordedOutcome } from '../../domain/index.js';

/** Time that a finished or refused attempt is remembered, in milliseconds. */
export const ATTEMPT_RETENTION_MS = 600_000;

/** Time that an attempt is remembered whose answer was acknowledged, in milliseconds. */
export const ACKNOWLEDGED_RETENTION_MS = 30_000;

/** Answer to the question what became of an attempt. */
export type AttemptStatus =
  /** It was never seen, and from now on it will be refused. */
  | { readonly kind: 'neverSeen' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'running'; readonly chunkCount: number }
  | { readonly kind: 'finished'; readonly end: ResponseEnd };

type Attempt =
  | { readonly kind: 'refused'; readonly sinceMs: number }
  | { readonly kind: 'running'; readonly chunks: ResponseChunk[] }
  | {
      readonly kind: 'finished';
      readonly chunks: ResponseChunk[];
      readonly end: ResponseEnd;
      readonly sinceMs: number;
      acknowledged: boolean;
    };

/** Remembers every attempt this agent saw, so that none runs twice and no answer is lost with a connection. */
export class AttemptTable {
  private readonly attempts = new Map<string, Attempt>();

  /** Whether an answer is kept that its router has not acknowledged. */
  get hasUnacknowledged(): boolean {
    for (const attempt of this.attempts.values()) {
      if (attempt.kind === 'finished' && attempt.chunks.length > 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Admits an attempt that was never seen before.
   * @param attemptId - The attempt.
   */
  admit(attemptId: string): boolean {
    if (this.attempts.has(attemptId)) {
      return false;
    }
    this.attempts.set(attemptId, { kind: 'running', chunks: [] });
    return true;
  }

  /**
   * Refuses an attempt for good.
   * @param attemptId - Attempt that has not run.
   * @param nowMs - Time now.
   */
  refuse(attemptId: string, nowMs: number): void {
    this.attempts.set(attemptId, { kind: 'refused', sinceMs: nowMs });
  }

  /**
   * Numbers a piece of a running attempt's answer and keeps it; undefined when the attempt does not run.
   * @param attemptId - The attempt.
   * @param piece - The piece without its number.
   */
  append(attemptId: string, piece: Omit<ResponseChunk, 'ordinal' | 'attemptId'>): ResponseChunk | undefined {
    const attempt = this.attempts.get(attemptId);
    if (attempt?.kind !== 'running') {
      return undefined;
    }
    const chunk = { ...piece, attemptId, ordinal: attempt.chunks.length } as ResponseChunk;
    attempt.chunks.push(chunk);
    return chunk;
  }

  /**
   * Ends a running attempt.
   * @param end - How it ended.
   * @param nowMs - Time now.
   */
  finish(end: ResponseEnd, nowMs: number): boolean {
    const attempt = this.attempts.get(end.attemptId);
    if (attempt?.kind !== 'running') {
      return false;
    }
    this.attempts.set(end.attemptId, {
      kind: 'finished',
      chunks: attempt.chunks,
      end,
      sinceMs: nowMs,
      acknowledged: false,
    });
    return true;
  }

  /**
   * Tells what became of an attempt; one that was never seen is refused from now on.
   * @param attemptId - The attempt.
   * @param nowMs - Time now.
   */
  resolveStatus(attemptId: string, nowMs: number): AttemptStatus {
    const attempt = this.attempts.get(attemptId);
    switch (attempt?.kind) {
      case undefined:
        this.refuse(attemptId, nowMs);
        return { kind: 'neverSeen' };
      case 'refused':
        return { kind: 'refused' };
      case 'running':
        return { kind: 'running', chunkCount: attempt.chunks.length };
      case 'finished':
        return { kind: 'finished', end: attempt.end };
    }
  }

  /**
   * Gives the pieces of an answer from a number on.
   * @param attemptId - The attempt.
   * @param fromOrdinal - Number of the first piece wanted.
   */
  chunksFrom(attemptId: string, fromOrdinal: number): readonly ResponseChunk[] {
    const attempt = this.attempts.get(attemptId);
    return attempt && attempt.kind !== 'refused' ? attempt.chunks.slice(fromOrdinal) : [];
  }

  /** @param attemptId - Attempt whose whole answer is wanted, as long as it was not acknowledged. */
  getOutcome(attemptId: string): RecordedOutcome | undefined {
    const attempt = this.attempts.get(attemptId);
    const head = attempt?.kind === 'finished' ? attempt.chunks[0]?.head : undefined;
    if (attempt?.kind !== 'finished' || !head) {
      return undefined;
    }
    return { head, body: attempt.chunks.map((chunk) => chunk.text).join('') };
  }

  /** @param attemptId - Finished attempt whose answer has arrived; its pieces are dropped. */
  acknowledge(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt?.kind === 'finished') {
      attempt.chunks.length = 0;
      attempt.acknowledged = true;
    }
  }

  /** @param nowMs - Time now; what ended long ago is forgotten. */
  forgetOld(nowMs: number): void {
    for (const [attemptId, attempt] of this.attempts) {
      if (attempt.kind !== 'running' && nowMs - attempt.sinceMs >= retentionOf(attempt)) {
        this.attempts.delete(attemptId);
      }
    }
  }
}

/** Time that an attempt which does not run is remembered, in milliseconds. */
function retentionOf(attempt: Attempt): number {
  const isAcknowledged = attempt.kind === 'finished' && attempt.acknowledged;
  return isAcknowledged ? ACKNOWLEDGED_RETENTION_MS : ATTEMPT_RETENTION_MS;
}
