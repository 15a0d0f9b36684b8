import type { ResponseChunk, ResponseEnd } from '../../domain/index.js';

/** What to do after a piece of an answer or its end came. */
export type AssemblyStep =
  | { readonly kind: 'wait' }
  /** Pieces to hand on, in order. */
  | { readonly kind: 'deliver'; readonly chunk: ResponseChunk }
  /** Pieces are missing; ask for all from the next one on. */
  | { readonly kind: 'resume' }
  | { readonly kind: 'finished'; readonly end: ResponseEnd };

/** Puts one attempt's answer together from numbered pieces that may come twice, late or not at all. */
export class ResponseAssembler {
  private next = 0;
  private finished = false;

  /** Number of the next piece wanted. */
  get nextOrdinal(): number {
    return this.next;
  }

  /** @param chunk - A piece that came. */
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

  /** @param end - The end that came. */
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
