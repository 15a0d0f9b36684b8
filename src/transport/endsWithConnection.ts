import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Statuses of responses that have no body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number | undefined> = new Set([204, 304]);

/**
 * Whether a response to a request other than HEAD ends with its connection, as it has neither a length nor chunks
 * (RFC 9112, section 6.3).
 * @param response - Response of which the head was received.
 */
export function endsWithConnection({ headers, statusCode }: IncomingMessage): boolean {
  const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  return !isFramed && !STATUSES_WITHOUT_BODY.has(statusCode);
}

/**
 * Has the HTTP client learn of the end of a connection only after a check that it was not reset, since the client takes the end
 * as that of a response that ends with its connection. A reset that arrives together with the last bytes is reported as the
 * end of the connection, and only a write shows it. Nothing is sent, since the write is empty, but it waits for the rest of
 * the request, which a server may still read after it has closed its end.
 * @param socket - Connection to which the client listens.
 * @param onReset - Called when the connection was reset; the client does not learn of its end then.
 */
export function checkResetBeforeEnd(socket: Socket, onReset: () => void): void {
  const listeners = socket.listeners('end');
  socket.removeAllListeners('end');
  socket.once('end', () => {
    socket.write(Buffer.alloc(0), (error) => {
      if (error) {
        onReset();
        return;
      }
      for (const listener of listeners) {
        listener.call(socket);
      }
    });
  });
}
