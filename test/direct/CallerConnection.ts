import { connect, type Socket } from 'node:net';
import { delay } from '../../src/kernel/index.js';
import { CLOCK } from './RouterBench.js';

/** Interval at which the connection is checked for a response, in milliseconds. */
const CHECK_INTERVAL_MS = 5;

/** A caller's connection on which the test writes the bytes itself. */
export class CallerConnection {
  private readonly socket: Socket;
  /** What the router sent since the last write. */
  received = '';
  isEnded = false;

  /**
   * @param port - Port on which the router accepts callers.
   * @param host - Address of the router.
   */
  constructor(port: number, host = '127.0.0.1') {
    this.socket = connect({ host, port, allowHalfOpen: true });
    this.socket.on('data', (chunk: Buffer) => (this.received += chunk.toString()));
    this.socket.on('end', () => (this.isEnded = true));
    this.socket.on('error', () => (this.isEnded = true));
  }

  /** Status of the response; undefined before it. */
  get status(): number | undefined {
    const status = /^HTTP\/1\.1 (\d+)/.exec(this.received)?.[1];
    return status === undefined ? undefined : Number(status);
  }

  /** Whether the connection is closed, not only ended by the router. */
  get isClosed(): boolean {
    return this.socket.destroyed;
  }

  /** Whether the response is complete, by its length or its last chunk. */
  get isComplete(): boolean {
    const headEnd = this.received.indexOf('\r\n\r\n');
    if (headEnd < 0) {
      return false;
    }
    const length = /content-length: (\d+)/i.exec(this.received)?.[1];
    return length === undefined
      ? this.received.endsWith('0\r\n\r\n')
      : this.received.length >= headEnd + 4 + Number(length);
  }

  /** Whether the response announces the end of the connection. */
  get isLast(): boolean {
    return /connection: close/i.test(this.received);
  }

  /** @param text - Bytes to send. */
  write(text: string): void {
    this.received = '';
    this.socket.write(text);
  }

  /**
   * Sends the rest of a request, which may have been answered already.
   * @param text - Bytes to send.
   */
  writeRest(text: string): void {
    this.socket.write(text);
  }

  /** Resolves with the status of the response, or undefined if the connection ends without one. */
  async waitForStatus(): Promise<number | undefined> {
    while (this.status === undefined && !this.isEnded) {
      await delay(CLOCK, CHECK_INTERVAL_MS);
    }
    return this.status;
  }

  /** Resolves when the response is complete or the connection has ended. */
  async waitForEnd(): Promise<void> {
    while (!this.isComplete && !this.isEnded) {
      await delay(CLOCK, CHECK_INTERVAL_MS);
    }
  }

  close(): void {
    this.socket.destroy();
  }
}

/** Returns the bytes of a request. */
export function formatRequest(requestId: string, path: string, headers: readonly string[] = []): string {
  const lines = [`POST ${path} HTTP/1.1`, 'Host: a.example', `Request-Id: ${requestId}`, ...headers];
  return `${lines.join('\r\n')}\r\nContent-Length: 1\r\n\r\nx`;
}
