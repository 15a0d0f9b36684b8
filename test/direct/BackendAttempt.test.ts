import { expect } from 'chai';
import type { Socket } from 'node:net';
import { makeRoute } from './fleetFixtures.js';
import { RouterBench } from './RouterBench.js';

describe('BackendAttempt', function () {
  this.timeout(20_000);
  let bench: RouterBench;
  beforeEach(() => {
    bench = new RouterBench();
  });
  afterEach(() => bench.close());

  /** Sends a request to a router whose only server writes the given text after the head of a signed answer. */
  async function requestFrom(statusLine: string, rest: string, end?: (socket: Socket) => void) {
    await bench.addSocketServer('p', (socket) => {
      socket.once('data', () => {
        socket.write(`HTTP/1.1 ${statusLine}\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n${rest}`);
        setTimeout(() => end?.(socket), 20);
      });
    });
    await bench.start([makeRoute({ isResumable: false, maxAttempts: 1 })]);
    return bench.sendRequest('/drafts/x');
  }

  const STREAM = 'Content-Type: text/event-stream\r\n';

  describe('run', () => {
    for (const statusLine of ['000 None', '099 None', '101 Switching Protocols']) {
      for (const type of [STREAM, '']) {
        it(`is broken by the status ${statusLine}${type === '' ? '' : ' of a stream'}`, async () => {
          const received = await requestFrom(
            statusLine,
            `${type}Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n`,
          );
          expect(received.status).to.equal(502);
        });
      }
    }

    it('is broken by a change of the protocol', async () => {
      const received = await requestFrom(
        '101 Switching Protocols',
        'Connection: upgrade\r\nUpgrade: other\r\n\r\n',
      );
      expect(received.status).to.equal(502);
    });

    it('does not start a stream without a length that is reset before its first event', async () => {
      const received = await requestFrom('200 OK', `${STREAM}\r\n`, (socket) => socket.resetAndDestroy());
      expect(received.status).to.equal(502);
    });

    it('is broken by a reset that arrives together with the end of a response without a length', async () => {
      await bench.addSocketServer('p', (socket) => {
        socket.once('data', () => {
          socket.write('HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n\r\nhalf');
          socket.resetAndDestroy();
        });
      });
      await bench.start([makeRoute({ isResumable: false, maxAttempts: 1, kind: 'idempotent' })]);
      for (let index = 0; index < 20; index++) {
        const received = await bench.sendRequest(`/drafts/${index}`);
        expect(received.status).to.equal(502);
      }
    });

    const extras = {
      garbage: '\0garbage\r\n\r\n',
      'another answer': 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx',
    };
    for (const [name, extra] of Object.entries(extras)) {
      it(`reads a whole answer although ${name} follows in the same packet`, async () => {
        const received = await requestFrom('200 OK', `Content-Length: 2\r\n\r\nhi${extra}`);
        expect([received.status, received.text]).to.deep.equal([200, 'hi']);
      });

      it(`reads a whole stream although ${name} follows in the same packet`, async () => {
        const received = await requestFrom(
          '200 OK',
          `${STREAM}Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n${extra}`,
        );
        expect([received.status, received.text, received.isComplete]).to.deep.equal([
          200,
          'data: 1\n\n',
          true,
        ]);
      });
    }

    it('reads a whole answer without a body although garbage follows in the same packet', async () => {
      const received = await requestFrom('204 No Content', `${STREAM}\r\n\0garbage\r\n\r\n`);
      expect(received.status).to.equal(204);
    });
  });
});
