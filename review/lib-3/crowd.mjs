// Clients that each send a chunked body in chunks of one byte, stop short of its end and stay open. A process of its own, so that
// its load does not delay the other stand-ins: node crowd.mjs HOST PORT CONNECTIONS CHUNKS
import { connect } from 'node:net';

const [host, port, connectionCount, chunkCount] = process.argv.slice(2);
const chunks = Buffer.from('1\r\nx\r\n'.repeat(Number(chunkCount)));

for (let index = 0; index < Number(connectionCount); index++) {
  const socket = connect({ host, port: Number(port) });
  socket.on('error', () => undefined);
  socket.resume();
  const lines = ['POST /measure-read/2f HTTP/1.1', 'Host: a.example', `Request-Id: crowd${index}`];
  socket.write(`${lines.join('\r\n')}\r\nDeadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n`);
  socket.write(chunks);
}
