import { connect, type Socket } from 'node:net';
import { sleepMs } from '../waiting.js';

/** Number of connections of a crowd. */
const CONNECTION_COUNT = 40;
/** Body in chunks of one byte, which stops short of its end. */
const UNFINISHED_BODY = '1\r\nx\r\n'.repeat(5_000);
/** Time for which the connections stay open, in milliseconds. */
const OPEN_MS = 1_500;

/**
 * Opens connections to a router that send bodies in small chunks and never end them.
 * @param host - Address of the router.
 * @param port - Port on which it accepts callers.
 * @param key - Valid key of an organisation.
 */
export async function sendUnfinishedBodies(host: string, port: number, key: string): Promise<void> {
  const sockets: Socket[] = [];
  for (let index = 0; index < CONNECTION_COUNT; index++) {
    const socket = connect({ host, port });
    socket.on('error', () => undefined);
    socket.resume();
    const lines = ['POST /read/x HTTP/1.1', 'Host: a.example', `Request-Id: crowd-${index}`];
    const framing = [`Authorization: Bearer ${key}`, 'Transfer-Encoding: chunked', '', UNFINISHED_BODY];
    socket.write([...lines, ...framing].join('\r\n'));
    sockets.push(socket);
  }
  await sleepMs(OPEN_MS);
  for (const socket of sockets) {
    socket.destroy();
  }
}
