import type { ResponseChunk, ResponseEnd } from '../../domain/index.js';

/** Next step after a response chunk or the response end was received. */
export type AssemblyStep =
  | { readonly kind: 'wait' }
  /** The chunk is next in order and can be delivered. */
  | { readonly kind: 'deliver'; readonly chunk: ResponseChunk }
  /** Chunks are missing and must be requested again, starting with `nextOrdinal`. */
  | { readonly kind: 'resume' }
  | { readonly kind: 'finished'; readonly end: ResponseEnd };

/** Assembles the response of one attempt from numbered chunks that may be duplicated, delayed or lost. */
export class ResponseAssembler {
  private next = 0;
  private finished = false;

  /** Number of the next expected chunk. */
  get nextOrdinal(): number {
    return this.next;
  }

  /** @param chunk - Received chunk. */
  onChunk(chunk: ResponseChunk): AssemblyStep {
    if (this.finished || chunk.ordinal < this.next) {
      return { kind: 'wait' };
    }
    if (chunk.ordinal > this.next) {
      return { kind: 'resume' };
    }
    this.next++;
    return { kind: 'deliver', chunk };
  }

  /** @param end - Received end of the response. */
  onEnd(end: ResponseEnd): AssemblyStep {
    if (this.finished) {
      return { kind: 'wait' };
    }
    if (end.kind === 'complete' && end.chunkCount > this.next) {
      return { kind: 'resume' };
    }
    this.finished = true;
    return { kind: 'finished', end };
  }
}
