import { connect } from 'node:net';

/** Port on which Node.js opens its debugger on SIGUSR1. */
export const DEBUGGER_PORT = 9_229;

/** Returns whether connections to a port of this machine are refused. */
export function isRefused(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: '127.0.0.1', port });
    socket.on('connect', () => {
      socket.destroy();
      resolve(false);
    });
    socket.on('error', () => resolve(true));
  });
}
