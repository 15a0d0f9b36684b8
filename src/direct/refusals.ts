import type { IncomingMessage } from 'node:http';
import type { BodyFailure } from './RequestBody.js';
import type { RequestRefusal } from './RequestResolver.js';

/**
 * Delay after which a caller refused by a stopping router should retry, in milliseconds: other routers accept it at
 * once.
 */
const STOPPING_RETRY_MS = 100;
/** Delay after which a caller should retry a request whose body found no room, in milliseconds. */
const NO_ROOM_RETRY_MS = 1_000;
/** Size up to which the body of a refused request is read so that its connection stays open, in bytes. */
const KEPT_BODY_BYTES = 64 * 1024;

/** Refusal of a request by a stopping router. */
export const STOPPING: RequestRefusal = {
  kind: 'refused',
  status: 503,
  detail: 'the router is stopping',
  retryAfterMs: STOPPING_RETRY_MS,
};
/** Refusal of a request whose key is no longer valid. */
export const REVOKED: RequestRefusal = {
  kind: 'refused',
  status: 401,
  detail: 'the key is no longer valid',
};
/** Refusals of requests whose body was not received. */
export const BODY_REFUSALS: Readonly<Record<BodyFailure, RequestRefusal>> = {
  tooLarge: { kind: 'refused', status: 413, detail: 'the body is too large' },
  noRoom: {
    kind: 'refused',
    status: 503,
    detail: 'there is no memory left for the request',
    retryAfterMs: NO_ROOM_RETRY_MS,
  },
  late: { kind: 'refused', status: 408, detail: 'the body did not arrive in time' },
  stopping: STOPPING,
};

/**
 * Whether the head of a request declares a body.
 * @param request - The request.
 */
export function declaresBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/**
 * Whether the connection of a refused request stays open although its body has not been read: it is of a declared, small size.
 * @param request - The request.
 */
export function isBodySkipped({ headers }: IncomingMessage): boolean {
  return (
    headers['transfer-encoding'] === undefined && Number(headers['content-length'] ?? 0) <= KEPT_BODY_BYTES
  );
}
