import type { OutgoingHttpHeaders } from 'node:http';

/** Head of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
}

/** Why an attempt ended without a complete response. */
export type BreakCause =
  /** The server closed the connection or sent something else than a complete response to the request. */
  | 'server'
  /** The server gave another response than the rest of a stream that has begun. */
  | 'answer'
  /** The server was silent and another one took the request over. */
  | 'silence'
  /** The router could not receive the response or pass it on. */
  | 'router';

/** Result of an attempt. */
export type AttemptEnd =
  /** The connection was not established, so nothing was sent. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The server states that it did not run the request. */
  | { readonly kind: 'notRun'; readonly status: number; readonly isOtherServer: boolean }
  /** A complete response that is not a stream; the receiver releases the body's part of the buffer budget. */
  | { readonly kind: 'answered'; readonly head: ResponseHead; readonly body: Buffer }
  /** The stream is complete; its events were passed to the listener as they arrived. */
  | { readonly kind: 'streamed' }
  /** The request may have run and there is no complete response. */
  | { readonly kind: 'broken'; readonly detail: string; readonly cause: BreakCause }
  | { readonly kind: 'cancelled' };

/** Whether the result of an attempt is a fault of the server rather than of the request. */
export function isServerFault(end: AttemptEnd): boolean {
  switch (end.kind) {
    case 'unreachable':
    case 'broken':
      return true;
    case 'answered':
      return end.head.status >= 500;
    case 'notRun':
      return end.status === 503;
    case 'streamed':
    case 'cancelled':
      return false;
  }
}

/** Describes the result of an attempt for the log. */
export function describeEnd(end: AttemptEnd): string {
  switch (end.kind) {
    case 'unreachable':
    case 'broken':
      return end.detail;
    case 'notRun':
      return `status ${end.status}${end.isOtherServer ? ', another server' : ''}`;
    case 'answered':
      return `status ${end.head.status}`;
    case 'streamed':
    case 'cancelled':
      return '';
  }
}
