import type { ServerResponse } from 'node:http';
import {
  getHttpStatus,
  type ResponseChunk,
  type ResponseHead,
  type RecordedOutcome,
  type Refusal,
} from '../domain/index.js';
import type { ResponseSink, RequestTiming } from './RequestHandler.js';

/** End of an event of a stream. */
const EVENT_END = /\n\r?\n$/;
/** Length of the longest end of an event. */
const MAX_EVENT_END_LENGTH = 3;

/** Writes a response to the caller: event streams chunk by chunk, all other responses when they are complete. */
export class ResponseWriter implements ResponseSink {
  private head: ResponseHead | undefined;
  private buffered: string[] = [];
  private delivered = false;
  /** Last characters of the stream so far. */
  private tail = '';

  /**
   * @param response - HTTP response to the caller.
   * @param requestId - Request id, sent as the `x-request-id` header.
   */
  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
  ) {}

  get hasDelivered(): boolean {
    return this.delivered;
  }

  deliver(chunk: ResponseChunk): void {
    this.head ??= chunk.head;
    if (chunk.text === '') {
      return;
    }
    if (!this.isEventStream()) {
      this.buffered.push(chunk.text);
      return;
    }
    if (!this.delivered) {
      this.delivered = true;
      this.writeHead({});
    }
    this.tail = (this.tail + chunk.text).slice(-MAX_EVENT_END_LENGTH);
    this.response.write(chunk.text);
  }

  reset(): void {
    this.head = undefined;
    this.buffered = [];
  }

  getOutcome(): RecordedOutcome | undefined {
    return this.head && !this.delivered ? { head: this.head, body: this.buffered.join('') } : undefined;
  }

  /** @param timing - Timing of the request, sent as the `server-timing` header. */
  complete(timing: RequestTiming): void {
    if (!this.delivered) {
      this.writeHead({ 'server-timing': `queue;dur=${timing.queuedMs}, load;dur=${timing.loadMs}` });
      this.response.write(this.buffered.join(''));
    }
    this.response.end();
  }

  /** @param outcome - Recorded outcome of an earlier request with the same idempotency key. */
  replay(outcome: RecordedOutcome): void {
    this.head = outcome.head;
    this.writeHead({ 'idempotent-replayed': 'true', 'x-verdict': 'ran' });
    this.response.end(outcome.body ?? '');
  }

  /**
   * @param refusal - Refusal to send; a partially sent response is aborted, so that the caller does not take it for
   * complete. The refusal is its last event, unless the stream broke off within an event, to which it would be joined.
   */
  refuse(refusal: Refusal): void {
    const body = toProblem(refusal);
    if (this.delivered) {
      const lastEvent = EVENT_END.test(this.tail) ? `data: ${JSON.stringify(body)}\n\n` : '';
      this.response.write(lastEvent, () => this.response.destroy());
      return;
    }
    const headers: Record<string, string> = {
      'content-type': 'application/problem+json',
      'x-request-id': this.requestId,
      'x-verdict': refusal.verdict,
    };
    if (refusal.retryAfterMs !== undefined) {
      headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / 1000));
    }
    this.response.writeHead(getHttpStatus(refusal.reason), headers);
    this.response.end(JSON.stringify(body));
  }

  private isEventStream(): boolean {
    return this.head?.status === 200 && this.head.contentType.startsWith('text/event-stream');
  }

  private writeHead(headers: Record<string, string>): void {
    const head = this.head ?? { status: 200, contentType: 'application/octet-stream' };
    this.response.writeHead(head.status, {
      'content-type': head.contentType,
      'x-request-id': this.requestId,
      ...headers,
    });
  }
}

/** Creates the problem document; its `error` field repeats the refusal in the OpenAI format. */
function toProblem(refusal: Refusal): unknown {
  return {
    type: `urn:monsoonglade:refusal:${refusal.reason}`,
    title: refusal.reason,
    status: getHttpStatus(refusal.reason),
    detail: refusal.detail,
    verdict: refusal.verdict,
    retryAfterMs: refusal.retryAfterMs,
    error: { message: refusal.detail, type: refusal.reason, code: refusal.verdict },
  };
}
