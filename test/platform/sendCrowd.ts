import { connect, type Socket } from 'node:net';

/** What the connections of a crowd send: as many bytes as they can before they fall silent, without the end of anything. */
export type CrowdKind =
  | 'smallChunks'
  | 'largeChunks'
  | 'head'
  | 'extension'
  | 'trailers'
  | 'pipelined'
  | 'unreadResponses'
  | 'silent'
  | 'upgrade';

/** Crowd of connections that are all opened at once and stay open. */
export interface Crowd {
  readonly kind: CrowdKind;
  readonly host: string;
  readonly port: number;
  readonly connectionCount: number;
  /** Number of bytes of a body or of what stands in its place. */
  readonly byteCount: number;
}

const LARGE_CHUNK_BYTES = 1_000_000;
const CHUNKED_HEAD =
  'POST /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n';
const SMALL_REQUEST = 'GET /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: c\r\n\r\n';
const LARGE_REQUEST = 'GET /x/large HTTP/1.1\r\nHost: a.example\r\nRequest-Id: c\r\n\r\n';
const UPGRADE_HEAD =
  'GET /x/1 HTTP/1.1\r\nHost: a.example\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nRequest-Id: c\r\n\r\n';

function makeBytes({ kind, byteCount }: Crowd): Buffer {
  switch (kind) {
    case 'smallChunks':
      return Buffer.from(CHUNKED_HEAD + '1\r\nx\r\n'.repeat(byteCount));
    case 'largeChunks': {
      const size = Math.min(byteCount, LARGE_CHUNK_BYTES);
      const chunk = `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
      return Buffer.from(CHUNKED_HEAD + chunk.repeat(Math.ceil(byteCount / size)));
    }
    case 'head':
      return Buffer.from(`GET /x/1 HTTP/1.1\r\nHost: a.example\r\nPadding: ${'x'.repeat(byteCount)}`);
    case 'extension':
      return Buffer.from(`${CHUNKED_HEAD}1;${'x'.repeat(byteCount)}`);
    case 'trailers':
      return Buffer.from(`${CHUNKED_HEAD}1\r\nx\r\n0\r\nPadding: ${'x'.repeat(byteCount)}`);
    case 'pipelined':
      return Buffer.from(SMALL_REQUEST.repeat(Math.ceil(byteCount / SMALL_REQUEST.length)));
    case 'unreadResponses':
      return Buffer.from(LARGE_REQUEST.repeat(Math.ceil(byteCount / LARGE_REQUEST.length)));
    case 'silent':
      return Buffer.alloc(0);
    case 'upgrade':
      return Buffer.from(UPGRADE_HEAD + 'x'.repeat(byteCount));
  }
}

function openConnection({ kind, host, port }: Crowd, bytes: Buffer): Socket {
  const socket = connect({ host, port }).on('error', () => undefined);
  if (kind === 'unreadResponses' || kind === 'pipelined') {
    socket.pause();
  } else {
    socket.resume();
  }
  if (bytes.length > 0) {
    socket.write(bytes);
  }
  return socket;
}

// Started as a program of its own, so that the crowd stays as it is whatever the test's process does.
const crowd = JSON.parse(process.argv[2] ?? '{}') as Crowd;
const bytes = makeBytes(crowd);
const sockets: Socket[] = [];
for (let index = 0; index < crowd.connectionCount; index++) {
  sockets.push(openConnection(crowd, bytes));
}
process.on('SIGTERM', () => process.exit(0));
process.stdin.resume().on('end', () => process.exit(0));
