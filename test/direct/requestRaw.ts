import { connect } from 'node:net';
import { formatRequest } from './CallerConnection.js';

/** Response as received on a connection of its own. */
export interface RawResponse {
  /** Status; 0 if the connection ended without a response. */
  readonly status: number;
  /** Lines of the head in lower case. */
  readonly headLines: readonly string[];
  /** Body without the marks of its chunks. */
  readonly text: string;
  /** Whether the response is complete, by its length, its last chunk, or else the regular end of the connection. */
  readonly isComplete: boolean;
}

/**
 * Sends a request with the ID r1 and resolves with the response once the router has closed the connection.
 * @param port - Port on which the router accepts callers.
 * @param version - HTTP version of the caller; 1.0 knows no chunks.
 * @param headers - Further header lines.
 */
export function requestRaw(
  port: number,
  version: '1.0' | '1.1',
  headers: readonly string[] = [],
): Promise<RawResponse> {
  return new Promise((resolve) => {
    const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
    let received = '';
    const end = (isReset: boolean) => {
      socket.destroy();
      resolve(parseResponse(received, isReset));
    };
    socket.on('data', (chunk: Buffer) => (received += chunk.toString('latin1')));
    socket.on('error', () => end(true));
    // A reset that arrives together with the last bytes is reported as the end, and only a write shows it.
    socket.on('end', () => socket.write(Buffer.alloc(0), (error) => end(error != null)));
    const text = formatRequest('r1', '/drafts/x', ['Model: a', 'Connection: close', ...headers]);
    socket.write(text.replace('HTTP/1.1', `HTTP/${version}`));
  });
}

function parseResponse(received: string, isReset: boolean): RawResponse {
  const headEnd = received.indexOf('\r\n\r\n');
  const head = received.slice(0, Math.max(0, headEnd)).toLowerCase();
  const headLines = head.split('\r\n');
  const status = Number(/^http\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0);
  const body = received.slice(headEnd + 4);
  if (headLines.includes('transfer-encoding: chunked')) {
    return { status, headLines, ...joinChunks(body) };
  }
  const length = /content-length: (\d+)/.exec(head)?.[1];
  const isWhole = length === undefined ? !isReset : body.length === Number(length);
  return { status, headLines, text: body, isComplete: status > 0 && isWhole };
}

function joinChunks(body: string): { text: string; isComplete: boolean } {
  let text = '';
  let offset = 0;
  for (;;) {
    const lineEnd = body.indexOf('\r\n', offset);
    const length = lineEnd < 0 ? NaN : parseInt(body.slice(offset, lineEnd), 16);
    if (Number.isNaN(length)) {
      return { text, isComplete: false };
    }
    if (length === 0) {
      return { text, isComplete: body.slice(lineEnd) === '\r\n\r\n' };
    }
    text += body.slice(lineEnd + 2, lineEnd + 2 + length);
    offset = lineEnd + 2 + length + 2;
  }
}
