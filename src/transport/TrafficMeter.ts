/** Framing overhead of a message of typical length, in bytes. */
const FRAME_BYTES = 8;

/** Counts the bytes that a process exchanges with its peers and the platform. */
export class TrafficMeter {
  private sent = 0;
  private received = 0;

  /** Bytes sent, excluding TCP and IP headers. */
  get sentBytes(): number {
    return this.sent;
  }

  /** Bytes received, excluding TCP and IP headers. */
  get receivedBytes(): number {
    return this.received;
  }

  /** @param payloadBytes - Payload length of the sent message, in bytes. */
  recordSent(payloadBytes: number): void {
    this.sent += payloadBytes + FRAME_BYTES;
  }

  /** @param payloadBytes - Payload length of the received message, in bytes. */
  recordReceived(payloadBytes: number): void {
    this.received += payloadBytes + FRAME_BYTES;
  }
}
