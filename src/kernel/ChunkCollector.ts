/** Size from which a chunk is kept as it is, in bytes; smaller ones are copied together. */
const LARGE_CHUNK_BYTES = 4 * 1024;
/** Size of the blocks that small chunks are copied into, in bytes. */
const BLOCK_BYTES = 16 * 1024;

/** Collects the chunks of a body in about the memory of its bytes, however small the chunks are. */
export class ChunkCollector {
  private pieces: Buffer[] = [];
  /** Block that small chunks are copied into; undefined while there is none. */
  private block: Buffer | undefined;
  private blockLength = 0;

  /**
   * Adds a chunk.
   * @param chunk - Next part of the body.
   */
  push(chunk: Buffer): void {
    const isFirst = this.pieces.length === 0 && !this.block;
    if (isFirst || chunk.length >= LARGE_CHUNK_BYTES) {
      this.closeBlock();
      this.pieces.push(chunk);
      return;
    }
    if (this.blockLength + chunk.length > BLOCK_BYTES) {
      this.closeBlock();
    }
    this.block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
    chunk.copy(this.block, this.blockLength);
    this.blockLength += chunk.length;
  }

  /** Returns the whole body and drops the chunks. */
  take(): Buffer {
    this.closeBlock();
    const [first, ...others] = this.pieces;
    const body = first && others.length === 0 ? first : Buffer.concat(this.pieces);
    this.clear();
    return body;
  }

  /** Drops all chunks. */
  clear(): void {
    this.pieces = [];
    this.block = undefined;
    this.blockLength = 0;
  }

  /** Adds the block to the pieces; one that is mostly empty is copied, so that its rest is freed. */
  private closeBlock(): void {
    if (this.block) {
      const bytes = this.block.subarray(0, this.blockLength);
      this.pieces.push(bytes.length < BLOCK_BYTES - LARGE_CHUNK_BYTES ? Buffer.from(bytes) : bytes);
      this.block = undefined;
      this.blockLength = 0;
    }
  }
}
