import { expect } from 'chai';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { sendHttpRequest, type HttpResult } from '../../platform/sendHttpRequest.js';
import { SystemClock } from '../../src/kernel/index.js';
import { standStill } from '../standStill.js';

const LIMITS = { timeoutMs: 600, maxBodyBytes: 1024 };
/** Time for which the process stands still, in milliseconds: longer than the timeout. */
const STANDSTILL_MS = 1_000;

describe('sendHttpRequest', () => {
  let server: Server;

  /** Sends a request during whose processing the process stands still. */
  async function sendAndStandStill(isAnswered: boolean): Promise<HttpResult> {
    server = createServer((_incoming, response) => {
      setImmediate(() => {
        if (isAnswered) {
          response.end('whole');
        }
        // A response is in the client's socket now, and the timers run next.
        standStill(STANDSTILL_MS);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    return sendHttpRequest(new SystemClock(), { host: '127.0.0.1', port, path: '/' }, LIMITS);
  }

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  // Guards against responses of the store or the engine that were taken for lost although they had arrived: after a
  // standstill the timeout expired before the response was received (issue 30, first matter).
  it('receives a response that arrived while the process stood still', async () => {
    const result = await sendAndStandStill(true);
    expect(result).to.deep.include({ kind: 'answered', status: 200, text: 'whole' });
  });

  it('is lost after a standstill in which no response arrived', async () => {
    const result = await sendAndStandStill(false);
    expect(result).to.deep.equal({ kind: 'lost', detail: 'the request timed out' });
  });
});
