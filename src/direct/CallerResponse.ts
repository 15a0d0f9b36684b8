import type { ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import type { ResponseHead } from './attemptEnds.js';
import type { ResponseSink } from './RequestForwarder.js';

/** Statuses of responses that have no body, and no length. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** Progress of a response. */
type ResponseState =
  /** Nothing was sent. */
  | 'open'
  /** The head of a stream was sent. */
  | 'streaming'
  /** The response is complete or broken off. */
  | 'ended';

/** Response to one caller: either one whole response, or one stream that ends complete or is broken off. */
export class CallerResponse implements ResponseSink {
  private state: ResponseState = 'open';

  /**
   * @param response - HTTP response to the caller.
   * @param sendRefusal - Sends a refusal.
   */
  constructor(
    private readonly response: ServerResponse,
    private readonly sendRefusal: ResponseSink['refuse'],
  ) {}

  sendResponse(head: ResponseHead, body: Buffer): void {
    this.requireState('open');
    this.begin(head, body.length);
    this.response.end(body);
    this.state = 'ended';
  }

  beginStream(head: ResponseHead): void {
    this.requireState('open');
    this.begin(head, undefined);
    this.state = 'streaming';
  }

  sendEvents(bytes: Buffer): boolean {
    this.requireState('streaming');
    return this.response.write(bytes);
  }

  onceDrained(listener: () => void): void {
    this.response.once('drain', listener);
  }

  endStream(): void {
    this.requireState('streaming');
    this.response.end();
    this.state = 'ended';
  }

  /** Closes the connection so that the response does not appear complete: one that ends with its connection is reset. */
  closeConnection(): void {
    const { response } = this;
    this.state = 'ended';
    if (response.socket instanceof Socket && response.headersSent && !response.useChunkedEncodingByDefault) {
      response.socket.resetAndDestroy();
    } else {
      response.destroy();
    }
  }

  refuse(status: number, detail: string, retryAfterMs: number | undefined): void {
    this.requireState('open');
    this.sendRefusal(status, detail, retryAfterMs);
    this.state = 'ended';
  }

  /** Refuses the request after an unexpected error, or breaks the response off if a part of it was sent. */
  fail(status: number, detail: string): void {
    if (this.state === 'ended') {
      return;
    }
    if (this.response.headersSent) {
      this.closeConnection();
    } else {
      this.refuse(status, detail, undefined);
    }
  }

  /**
   * Sends the head, with the length of a whole response. Without one, the end of this process would complete the response, and
   * the connection could carry no other.
   */
  private begin({ status, headers }: ResponseHead, length: number | undefined): void {
    const { response } = this;
    const hasLength =
      length !== undefined && !STATUSES_WITHOUT_BODY.has(status) && response.req.method !== 'HEAD';
    response.writeHead(status, hasLength ? { ...headers, 'Content-Length': length } : headers);
  }

  /** Throws before anything is sent if the response is in another state than a call requires. */
  private requireState(required: ResponseState): void {
    if (this.state !== required) {
      throw new Error(`The response to the caller is ${this.state}, not ${required}.`);
    }
  }
}
