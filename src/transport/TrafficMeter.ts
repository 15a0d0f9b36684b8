/** Bytes of a frame around the payload of a message of ordinary length. */
const FRAME_BYTES = 8;

/** Counts what a process exchanges with its peers and the platform. */
export class TrafficMeter {
  private sent = 0;
  private received = 0;

  /** Bytes sent, without those of TCP and IP. */
  get sentBytes(): number {
    return this.sent;
  }

  /** Bytes received, without those of TCP and IP. */
  get receivedBytes(): number {
    return this.received;
  }

  /** @param payloadBytes - Length of a message that leaves, in bytes. */
  recordSent(payloadBytes: number): void {
    this.sent += payloadBytes + FRAME_BYTES;
  }

  /** @param payloadBytes - Length of a message that arrived, in bytes. */
  recordReceived(payloadBytes: number): void {
    this.received += payloadBytes + FRAME_BYTES;
  }
}
