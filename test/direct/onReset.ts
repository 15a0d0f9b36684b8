import type { ClientRequest } from 'node:http';

/**
 * Calls a listener when the connection of a request was reset, also if the reset arrived together with the last bytes: that
 * is reported as the end of the connection, and only a write shows it.
 * @param outgoing - Request of a caller.
 * @param listener - Called once or more.
 */
export function onReset(outgoing: ClientRequest, listener: () => void): void {
  outgoing.on('error', listener);
  outgoing.on('socket', (socket) => {
    socket.prependOnceListener('end', () => {
      socket.write(Buffer.alloc(0), (error) => {
        if (error) {
          listener();
        }
      });
    });
  });
}
