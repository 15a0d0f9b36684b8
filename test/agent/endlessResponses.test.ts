import { expect } from 'chai';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { HttpBackendClient } from '../../src/agent/index.js';
import type { RunRequest } from '../../src/domain/index.js';
import { PlatformHttp } from '../../src/platform/index.js';

const MIB = 1024 * 1024;
/** Bytes that an abandoned response may have sent: the largest limit and what the sockets hold. */
const MAX_ENDLESS_BYTES = 32 * MIB;
/** Bytes after which the server stops, so that the test ends also if the client reads without end. */
const STOP_BYTES = 128 * MIB;
const FILLER = `1000\r\n${'x'.repeat(4_096)}\r\n`.repeat(16);
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n';

// Issue 50, FAULT: responses of the platform and of backend servers were kept whatever their size.
describe('responses that do not end', () => {
  let server: Server;
  let sentBytes: number;
  let url: string;

  beforeEach(async () => {
    sentBytes = 0;
    server = createServer((socket: Socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(HEAD);
        const send = () => {
          while (!socket.destroyed && sentBytes < STOP_BYTES && socket.write(FILLER)) {
            sentBytes += FILLER.length;
          }
          sentBytes += FILLER.length;
        };
        socket.on('drain', send);
        send();
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => server.close());

  it('are abandoned by the client of the platform', async () => {
    const platform = new PlatformHttp(url, 't');
    expect(await platform.send('GET', '/objects')).to.deep.equal({ status: 0, body: undefined });
    expect(sentBytes).to.be.below(MAX_ENDLESS_BYTES);
    await platform.close();
  });

  it('are abandoned by the client of a backend server, as state and as the response of a run', async () => {
    const backend = new HttpBackendClient(url, undefined);
    expect(await backend.readState()).to.equal(undefined);
    expect(sentBytes).to.be.below(MAX_ENDLESS_BYTES);
    sentBytes = 0;
    const runRequest = { method: 'POST', path: '/x', body: '{}' } as RunRequest;
    const result = await backend.run(runRequest, () => undefined, AbortSignal.timeout(20_000));
    expect(result.kind).to.equal('failed');
    expect(sentBytes).to.be.below(MAX_ENDLESS_BYTES);
    await backend.close();
  });
});
