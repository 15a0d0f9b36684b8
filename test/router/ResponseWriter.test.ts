import { expect } from 'chai';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import type { ResponseChunk, Refusal } from '../../src/domain/index.js';
import { ResponseWriter } from '../../src/router/index.js';

const REFUSAL = {
  reason: 'serverFailed',
  detail: 'The server failed.',
  verdict: 'unknown',
} as unknown as Refusal;
const HEAD = { status: 200, contentType: 'text/event-stream' };

/** Delivers texts of a stream, refuses the rest, and returns the body that the caller received. */
async function receiveRefused(texts: readonly string[]): Promise<string> {
  const server = createServer((_request, response) => {
    const writer = new ResponseWriter(response, 'r1');
    for (const text of texts) {
      writer.deliver({ head: HEAD, text } as unknown as ResponseChunk);
    }
    writer.refuse(REFUSAL);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    return await new Promise((resolve) => {
      let received = '';
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1', () =>
        socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'),
      );
      socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(received));
    });
  } finally {
    server.close();
  }
}

describe('ResponseWriter', () => {
  describe('refuse', () => {
    for (const texts of [['data: a\n\n'], ['data: ', 'a\n', '\n'], ['data: a\r\n\r\n']]) {
      it(`ends a stream with an event that names the error: ${JSON.stringify(texts)}`, async () => {
        const received = await receiveRefused(texts);
        expect(received).to.include('The server failed.');
        expect(received.endsWith('0\r\n\r\n')).to.equal(false);
      });
    }

    for (const texts of [['data: a\n\n', 'data: {"tok'], ['data: a\n'], ['data: a']]) {
      // Issue 39, MIXED: the error's text was joined to the event in which the stream broke off.
      it(`adds nothing to a stream that broke off within an event: ${JSON.stringify(texts)}`, async () => {
        const received = await receiveRefused(texts);
        expect(received).to.include('data: a');
        expect(received).to.not.include('The server failed.');
        expect(received.endsWith('0\r\n\r\n')).to.equal(false);
      });
    }
  });
});
