import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type { ServerId } from '../domain/index.js';

/** What the headers of a caller's request say. */
export interface RequestHeaders {
  readonly requestId: string;
  /** Time that the caller waits, in milliseconds. */
  readonly deadlineMs?: number;
  readonly model?: string;
  readonly adapter?: string;
  /** Tokens of the prompt and most tokens of the answer. */
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Last event of the stream that the caller already has. */
  readonly lastEventId?: string;
  /** Headers that go to the backend server unchanged. */
  readonly forwarded: OutgoingHttpHeaders;
}

/** What this system tells the backend server about one attempt. */
export interface AttemptHeaders {
  readonly serverId: ServerId;
  readonly remainingMs: number;
  /** Rank in the engine's queue, 0 first; absent for plain services. */
  readonly urgency?: number;
  /** Event after which a stream goes on. */
  readonly lastEventId?: string;
}

/** What the headers of a backend server's answer say. */
export interface ResponseHeaders {
  /** Whether the server states that the request did not run and never will. */
  readonly isNotRun: boolean;
  /** Whether the answer came from a server with another id than expected. */
  readonly isFromOtherServer: boolean;
  /** Whether the answer carries the server's signature and belongs to the request. */
  readonly isAuthentic: boolean;
  /** Headers that go to the caller unchanged. */
  readonly forwarded: OutgoingHttpHeaders;
}

/** Reads and writes the headers that callers and backend servers use. */
export abstract class HeaderCodec {
  /**
   * Reads a caller's headers; undefined when there is no request id.
   * @param headers - Headers as received.
   */
  abstract decodeRequest(headers: IncomingHttpHeaders): RequestHeaders | undefined;

  /**
   * Writes the headers of one attempt.
   * @param call - The caller's headers.
   * @param attempt - What is told about the attempt.
   */
  abstract encodeAttempt(call: RequestHeaders, attempt: AttemptHeaders): OutgoingHttpHeaders;

  /**
   * Reads the headers of an answer.
   * @param status - Status of the answer.
   * @param headers - Headers as received.
   * @param requestId - Request that was sent.
   * @param serverId - Server that it was sent to.
   */
  abstract decodeResponse(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string,
    serverId: ServerId,
  ): ResponseHeaders;

  /**
   * Writes the headers of a refusal.
   * @param requestId - Request that is refused.
   * @param retryAfterMs - When asking again makes sense, in milliseconds; absent where it never does.
   */
  abstract encodeRefusal(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): OutgoingHttpHeaders;
}
