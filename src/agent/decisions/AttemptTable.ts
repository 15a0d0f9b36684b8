import type { ResponseChunk, ResponseEnd, RecordedOutcome } from '../../domain/index.js';

/** Time for which a finished or refused attempt is kept. */
export const ATTEMPT_RETENTION_MS = 600_000;

/** Time for which a finished attempt is kept after its response was acknowledged. */
export const ACKNOWLEDGED_RETENTION_MS = 30_000;

/** Status of an attempt, as returned to a router that queries it. */
export type AttemptStatus =
  /** The attempt was unknown until this query, and is refused from now on. */
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

/** Records the attempts of this agent, so that none runs twice and no response is lost with a connection. */
export class AttemptTable {
  private readonly attempts = new Map<string, Attempt>();

  /** Whether the table holds a response that its router has not acknowledged. */
  get hasUnacknowledged(): boolean {
    for (const attempt of this.attempts.values()) {
      if (attempt.kind === 'finished' && attempt.chunks.length > 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Admits an attempt as running; returns false if the attempt is known already.
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
   * Marks an attempt as refused, so that it is never admitted.
   * @param attemptId - An attempt that did not run.
   * @param nowMs - Time now.
   */
  refuse(attemptId: string, nowMs: number): void {
    this.attempts.set(attemptId, { kind: 'refused', sinceMs: nowMs });
  }

  /**
   * Appends a chunk to the response of an attempt and returns it with its ordinal, or undefined if the attempt is not
   * running.
   * @param attemptId - The attempt.
   * @param content - The chunk without attempt id and ordinal.
   */
  append(
    attemptId: string,
    content: Omit<ResponseChunk, 'ordinal' | 'attemptId'>,
  ): ResponseChunk | undefined {
    const attempt = this.attempts.get(attemptId);
    if (attempt?.kind !== 'running') {
      return undefined;
    }
    const chunk = { ...content, attemptId, ordinal: attempt.chunks.length } as ResponseChunk;
    attempt.chunks.push(chunk);
    return chunk;
  }

  /**
   * Marks a running attempt as finished; returns false if the attempt is not running.
   * @param end - The end of the response.
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
   * Returns the status of an attempt; an unknown attempt is marked as refused.
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
   * Returns the chunks of a response, starting at an ordinal.
   * @param attemptId - The attempt.
   * @param fromOrdinal - Ordinal of the first chunk to return.
   */
  getChunksFrom(attemptId: string, fromOrdinal: number): readonly ResponseChunk[] {
    const attempt = this.attempts.get(attemptId);
    return attempt && attempt.kind !== 'refused' ? attempt.chunks.slice(fromOrdinal) : [];
  }

  /**
   * Returns the complete response of a finished attempt, or undefined once it was acknowledged.
   * @param attemptId - The attempt.
   */
  getOutcome(attemptId: string): RecordedOutcome | undefined {
    const attempt = this.attempts.get(attemptId);
    const head = attempt?.kind === 'finished' ? attempt.chunks[0]?.head : undefined;
    if (attempt?.kind !== 'finished' || !head) {
      return undefined;
    }
    return { head, body: attempt.chunks.map((chunk) => chunk.text).join('') };
  }

  /**
   * Records that the response of a finished attempt was received, and discards its chunks.
   * @param attemptId - The attempt.
   */
  acknowledge(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt?.kind === 'finished') {
      attempt.chunks.length = 0;
      attempt.acknowledged = true;
    }
  }

  /**
   * Removes the attempts whose retention time is over.
   * @param nowMs - Time now.
   */
  removeExpired(nowMs: number): void {
    for (const [attemptId, attempt] of this.attempts) {
      if (attempt.kind !== 'running' && nowMs - attempt.sinceMs >= getRetentionMs(attempt)) {
        this.attempts.delete(attemptId);
      }
    }
  }
}

/** Returns the time for which an attempt that is not running is kept, in milliseconds. */
function getRetentionMs(attempt: Attempt): number {
  const isAcknowledged = attempt.kind === 'finished' && attempt.acknowledged;
  return isAcknowledged ? ACKNOWLEDGED_RETENTION_MS : ATTEMPT_RETENTION_MS;
}
