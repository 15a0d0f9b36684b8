import { expect } from 'chai';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { ConnectionGuard, DEFAULT_INGRESS_LIMITS, type IngressLimits } from '../../src/ingress/index.js';
import { SystemClock } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { sleepMs, waitUntil } from '../waiting.js';

const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
const CHUNK_COUNT = 100_000;
const WAIT_MS = 10_000;

describe('ConnectionGuard', function () {
  this.timeout(20_000);
  let server: Server;
  let metrics: Metrics;
  let sockets: Socket[];

  afterEach(() => {
    for (const socket of sockets) {
      socket.destroy();
    }
    server.closeAllConnections();
    server.close();
  });

  async function start(limits: Partial<IngressLimits> = {}): Promise<void> {
    sockets = [];
    metrics = new Metrics();
    server = createServer((request, response) => {
      let byteCount = 0;
      request.on('data', (chunk: Buffer) => (byteCount += chunk.length));
      request.on('error', () => undefined);
      request.on('end', () => response.end(`${request.url} ${byteCount}`));
    });
    const deps = { clock: new SystemClock(), log: new Log('test', () => undefined), metrics };
    new ConnectionGuard(server, 'entry', { ...DEFAULT_INGRESS_LIMITS, ...limits }, deps);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  }

  /** Sends a text on a new connection; returns what is received. */
  function send(text: string): { text: string; isClosed: boolean } {
    const received = { text: '', isClosed: false };
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('data', (bytes: Buffer) => (received.text += bytes.toString()));
    socket.on('error', () => undefined).on('close', () => (received.isClosed = true));
    socket.write(text);
    sockets.push(socket);
    return received;
  }

  it('passes on a body in one-byte chunks, the request behind it, and the end of the connection', async () => {
    await start();
    const received = send(
      `${HEAD}${'1\r\nx\r\n'.repeat(CHUNK_COUNT)}0\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\n\r\n`,
    );
    sockets[0]?.end();
    await waitUntil(() => received.isClosed, WAIT_MS);
    expect(received.text).to.match(/\r\n\/ 100000(\r\n.*)?HTTP\/1.1 200 OK.*\/next 0/s);
  });

  it('serves all pipelined requests in their order while each connection may have only one', async () => {
    await start({ pipelinedCount: 1 });
    const received = send(
      Array.from({ length: 50 }, (_, index) => `GET /${index} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''),
    );
    await waitUntil(() => received.text.includes('/49 0'), WAIT_MS);
    const paths = [...received.text.matchAll(/\r\n\/(\d+) 0/g)].map(([, path]) => Number(path));
    expect(paths).to.deep.equal(Array.from({ length: 50 }, (_, index) => index));
  });

  it('closes a quiet connection without a request for a new one, and none that is served', async () => {
    await start({ connectionCount: 2 });
    const quiet = send('G');
    const receiving = send(HEAD);
    await sleepMs(1_200);
    const next = send('GET /next HTTP/1.1\r\nHost: a\r\n\r\n');
    await waitUntil(() => next.text.includes('/next 0'), WAIT_MS);
    expect([quiet.isClosed, receiving.isClosed]).to.deep.equal([true, false]);
    expect(metrics.toPrometheusText()).to.include('entry_connections_closed_connections_total 1');
  });

  it('closes the largest head that does not end', async () => {
    await start({ unfinishedBytes: 20_000 });
    const large = send(`GET / HTTP/1.1\r\nA: ${'x'.repeat(15_000)}`);
    await sleepMs(100);
    const small = send(`GET / HTTP/1.1\r\nA: ${'x'.repeat(6_000)}`);
    await waitUntil(() => large.isClosed, WAIT_MS);
    expect(small.isClosed).to.equal(false);
  });
});
