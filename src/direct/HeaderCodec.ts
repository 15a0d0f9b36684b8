import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type { ServerId } from '../domain/index.js';
import type { CallerAccess } from '../organisations/index.js';

/** Part of a prompt; requests share all parts but the last. */
export interface PromptPart {
  readonly id: string;
  readonly tokenCount: number;
}

/** Decoded headers of a caller's request. */
export interface RequestHeaders {
  readonly requestId: string;
  /** Time for which the caller waits, in milliseconds. */
  readonly deadlineMs?: number;
  readonly model?: string;
  readonly adapter?: string;
  /** Number of tokens of the prompt. */
  readonly promptTokens: number;
  /** Maximum number of tokens of the response. */
  readonly maxOutputTokens: number;
  /** Parts of the prompt in order; empty if the caller does not list them. */
  readonly promptParts: readonly PromptPart[];
  /** ID of the last event of the stream that the caller has received. */
  readonly lastEventId?: string;
  /** ID of the caller's earlier request that brought the first event of the stream; absent if the stream is new. */
  readonly resumedRequestId?: string;
  /** Headers that are passed to the backend server unchanged. */
  readonly forwarded: OutgoingHttpHeaders;
}

/** Data about one attempt that is sent to the backend server. */
export interface AttemptHeaders {
  readonly serverId: ServerId;
  readonly remainingMs: number;
  /** Rank in the engine's queue, 0 first; absent for plain services. */
  readonly urgency?: number;
  /** What the request's key gives access to; the key itself is not sent. */
  readonly access: CallerAccess;
  /** ID of the event after which a stream is resumed. */
  readonly lastEventId?: string;
}

/** Statements of a backend server about itself, which it may add to any response. */
export interface ServerNotice {
  /** Whether the server is leaving and wants no further requests. */
  readonly isLeaving: boolean;
  /** Time for which the server wants no requests from this router, in milliseconds. */
  readonly pauseMs?: number;
  /**
   * Number of requests per second that the server accepts from all routers together, infinite if it names no limit; absent
   * if the response does not tell.
   */
  readonly maxRequestsPerSecond?: number;
}

/** Decoded headers of a backend server's response. */
export interface ResponseHeaders {
  /** Whether the server states that the request did not run and never will. */
  readonly isNotRun: boolean;
  /** Whether the response is from a server with another ID than expected. */
  readonly isFromOtherServer: boolean;
  /** Whether the response is signed by the server and belongs to the request. */
  readonly isAuthentic: boolean;
  /** What the server states about itself. */
  readonly serverNotice: ServerNotice;
  /** Headers that are passed to the caller unchanged. */
  readonly forwarded: OutgoingHttpHeaders;
}

/** Encodes and decodes the headers that callers and backend servers use. */
export abstract class HeaderCodec {
  /**
   * Returns the ID of a caller's request; undefined if there is none.
   * @param headers - Headers as received.
   */
  abstract getRequestId(headers: IncomingHttpHeaders): string | undefined;

  /**
   * Returns the key that a caller presents; undefined if there is none.
   * @param headers - Headers as received.
   */
  abstract getKey(headers: IncomingHttpHeaders): string | undefined;

  /**
   * Decodes a caller's headers; returns undefined if there is no request ID.
   * @param headers - Headers as received.
   */
  abstract decodeRequest(headers: IncomingHttpHeaders): RequestHeaders | undefined;

  /**
   * Encodes the headers of one attempt.
   * @param request - Headers of the caller's request.
   * @param attempt - Data about the attempt.
   */
  abstract encodeAttempt(request: RequestHeaders, attempt: AttemptHeaders): OutgoingHttpHeaders;

  /**
   * Decodes the headers of a response.
   * @param status - Status of the response.
   * @param headers - Headers as received.
   * @param requestId - ID of the request that was sent.
   * @param serverId - ID of the server to which it was sent.
   */
  abstract decodeResponse(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string,
    serverId: ServerId,
  ): ResponseHeaders;

  /**
   * Encodes the headers of a refusal.
   * @param requestId - ID of the refused request.
   * @param retryAfterMs - Delay after which the caller should retry, in milliseconds; absent if a retry cannot succeed.
   */
  abstract encodeRefusal(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): OutgoingHttpHeaders;
}

/**
 * Returns the IDs of the parts of a prompt that other requests may share: all but the last.
 * @param parts - Parts of the prompt in order.
 */
export function getSharedParts(parts: readonly PromptPart[]): readonly string[] {
  return parts.slice(0, -1).map(({ id }) => id);
}
