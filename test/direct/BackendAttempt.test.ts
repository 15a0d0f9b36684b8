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
  });
});
