/** Maximum number of interim (1xx) responses before the final one. */
const MAX_INTERIM_RESPONSES = 8;
/** Maximum number of bytes that the head, framing, trailers and an incomplete event of a response may take. */
const MAX_OVERHEAD_BYTES = 256 * 1024;
/** Number of bytes that may be received for each byte of the body; a chunk of one byte takes six. */
const MAX_BYTES_PER_BODY_BYTE = 16;

/** Detects responses that go on without end: bytes that are neither a body nor complete events. */
export class ResponseProgress {
  private interimCount = 0;
  private receivedBytes = 0;
  private bodyBytes = 0;

  /** Whether the response exceeds a limit and must be abandoned. */
  get isEndless(): boolean {
    const overheadBytes = this.receivedBytes - MAX_BYTES_PER_BODY_BYTE * this.bodyBytes;
    return this.interimCount > MAX_INTERIM_RESPONSES || overheadBytes > MAX_OVERHEAD_BYTES;
  }

  /**
   * Records bytes received on the connection, whatever they are.
   * @param byteCount - Number of bytes.
   */
  recordReceived(byteCount: number): void {
    this.receivedBytes += byteCount;
  }

  /** Records an interim response. */
  recordInterimResponse(): void {
    this.interimCount++;
  }

  /**
   * Records a part of a body, or complete events of a stream.
   * @param byteCount - Number of bytes.
   */
  recordBody(byteCount: number): void {
    this.bodyBytes += byteCount;
  }
}
