import type { IncomingHttpHeaders } from 'node:http';
import { buildConnector, Client } from 'undici';
import { checkResetBeforeEnd } from '../transport/index.js';

/**
 * Connection for one request, which knows whether it was reset: undici takes a reset as the end of a response that has neither a
 * length nor chunks.
 */
export class SingleUseConnection {
  /** Sends the request. */
  readonly dispatcher: Client;
  private wasReset = false;

  /**
   * @param baseUrl - URL of the server.
   * @param options - Options of the client.
   */
  constructor(baseUrl: string, options: Client.Options) {
    const connect = buildConnector({});
    this.dispatcher = new Client(new URL(baseUrl).origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...[error, socket]) => {
          if (error) {
            callback(error, null);
            return;
          }
          const onReset = () => {
            this.wasReset = true;
          };
          socket.on('error', ({ syscall }: NodeJS.ErrnoException) => {
            // The client closes the connection with an error of its own when it has the response.
            if (syscall !== undefined) {
              onReset();
            }
          });
          callback(null, socket);
          // By then the client listens to the connection, on which nothing has been sent yet.
          setImmediate(() => checkResetBeforeEnd(socket, onReset));
        });
      },
    });
  }

  /**
   * Whether a response that was read to its end may be a part of one.
   * @param headers - Headers of the response.
   */
  mayBePartial(headers: IncomingHttpHeaders): boolean {
    const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
    return this.wasReset && !isFramed;
  }

  /** Closes the connection. */
  close(): Promise<void> {
    return this.dispatcher.destroy();
  }
}
