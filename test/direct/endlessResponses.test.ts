import { expect } from 'chai';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { sendHttpRequest } from '../../platform/sendHttpRequest.js';
import { ByteBudget, delay } from '../../src/kernel/index.js';
import { makeEntry, makeHeldModel, makeRoute, ORDERS } from './fleetFixtures.js';
import { CLOCK, makeResponseHeaders, RouterBench } from './RouterBench.js';

const MIB = 1024 * 1024;
/** Bytes that an abandoned response may have sent: the limit of a buffered body and what the sockets hold. */
const MAX_ENDLESS_BYTES = 16 * MIB;
/** Memory by which the process may grow while it reads endless responses, in bytes. */
const MAX_GROWTH_BYTES = 64 * MIB;
const TIMEOUT_MS = 900;
/** Time that an answer may take beyond its route's timeout, in milliseconds. */
const SLACK_MS = 500;

/** Part that is sent once, and part that is sent again and again until the other end closes. */
interface EndlessText {
  readonly start: (requestId: string) => string;
  readonly repeated: string;
  /** Pause between two repetitions, in milliseconds; without one, as fast as the other end reads. */
  readonly intervalMs?: number;
}

const HEAD = 'HTTP/1.1 200 OK\r\nresponse-stamp: s\r\n';
const makeHead = (fields: string) => (requestId: string) =>
  `${HEAD}request-id: ${requestId}\r\n${fields}\r\n\r\n`;
const CHUNKED = 'transfer-encoding: chunked';
const EVENTS = `content-type: text/event-stream\r\n${CHUNKED}`;
const FILLER = 'x'.repeat(4_096);

const ENDLESS_TEXTS: Readonly<Record<string, EndlessText>> = {
  'a head': { start: () => `${HEAD}a: b\r\n`, repeated: `c: ${'d'.repeat(50)}\r\n` },
  'one line of a head': { start: () => `${HEAD}a: `, repeated: FILLER },
  'a head, byte by byte': { start: () => HEAD, repeated: 'x', intervalMs: 5 },
  'interim responses': { start: () => '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'interim responses now and then': {
    start: () => '',
    repeated: 'HTTP/1.1 100 Continue\r\n\r\n',
    intervalMs: 20,
  },
  'bytes that are no answer': { start: () => 'junk ', repeated: FILLER },
  'a body in chunks': { start: makeHead(CHUNKED), repeated: `1000\r\n${FILLER}\r\n` },
  'a body with a huge length': { start: makeHead('content-length: 999999999999'), repeated: FILLER },
  'a body without a length': { start: makeHead('a: b'), repeated: FILLER },
  'a body, byte by byte': { start: makeHead('content-length: 100000'), repeated: 'x', intervalMs: 5 },
  'chunk extensions': { start: makeHead(CHUNKED), repeated: `1;e=${'e'.repeat(8_000)}\r\nx\r\n` },
  'one chunk extension': { start: (id) => `${makeHead(CHUNKED)(id)}1;e=`, repeated: FILLER },
  trailers: { start: (id) => `${makeHead(CHUNKED)(id)}0\r\n`, repeated: `t: ${'t'.repeat(50)}\r\n` },
  'an event': { start: makeHead(EVENTS), repeated: `1000\r\n${FILLER}\r\n` },
  'lines of an event': { start: makeHead(EVENTS), repeated: '8\r\ndata: x\n\r\n' },
  'an event, byte by byte': { start: makeHead(EVENTS), repeated: '1\r\nx\r\n', intervalMs: 5 },
  'chunk extensions of a stream': {
    start: makeHead(EVENTS),
    repeated: `1;e=${'e'.repeat(8_000)}\r\n:\r\n`,
  },
};

/** Server that answers each request with an endless text, and counts what it has sent. */
class EndlessServer {
  sentBytes = 0;
  requestCount = 0;
  readonly openSockets = new Set<Socket>();
  private readonly server: Server = createServer((socket) => this.accept(socket));

  constructor(private readonly text: EndlessText) {}

  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    for (const socket of this.openSockets) {
      socket.destroy();
    }
    this.server.close();
  }

  private accept(socket: Socket): void {
    this.openSockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.openSockets.delete(socket));
    socket.once('data', (chunk) => {
      this.requestCount++;
      const requestId = /request-id: (\S+)/i.exec(chunk.toString())?.[1] ?? '';
      socket.write(this.text.start(requestId));
      void this.sendWithoutEnd(socket);
    });
  }

  private async sendWithoutEnd(socket: Socket): Promise<void> {
    const { repeated, intervalMs } = this.text;
    const part = intervalMs === undefined ? repeated.repeat(Math.ceil(16_384 / repeated.length)) : repeated;
    while (!socket.destroyed) {
      this.sentBytes += part.length;
      if (!socket.write(part)) {
        await new Promise<void>((resolve) => socket.once('drain', resolve).once('close', resolve));
      }
      await new Promise<void>((resolve) => {
        if (intervalMs === undefined) {
          setImmediate(resolve);
        } else {
          setTimeout(resolve, intervalMs);
        }
      });
    }
  }
}

describe('responses without end', function () {
  this.timeout(20_000);
  const plainRoute = makeRoute({
    pathPrefix: '/plain/',
    kind: 'idempotent',
    isResumable: false,
    targets: [{ serviceId: ORDERS, weight: 1 }],
    timeoutMs: TIMEOUT_MS,
    latencyTargetMs: 100,
  });
  const onceRoute = {
    ...plainRoute,
    name: 'once',
    pathPrefix: '/once/',
    kind: 'nonIdempotent' as const,
    maxAttempts: 1,
  };
  const streamRoute = makeRoute({
    timeoutMs: TIMEOUT_MS,
    latencyTargetMs: 100,
    isResumable: false,
    maxAttempts: 1,
  });

  for (const [name, text] of Object.entries(ENDLESS_TEXTS)) {
    describe(name, () => {
      let server: EndlessServer;
      let bench: RouterBench;
      let address: string;

      beforeEach(async () => {
        server = new EndlessServer(text);
        address = await server.start();
        bench = new RouterBench();
      });

      afterEach(async () => {
        server.stop();
        await bench.close();
      });

      async function expectClosed(): Promise<void> {
        await delay(CLOCK, 50);
        expect(server.openSockets.size, 'the connection is closed').to.equal(0);
        expect(server.sentBytes).to.be.below(MAX_ENDLESS_BYTES);
      }

      it('ends a request that may have run with 502 or 504, in bounded time and memory', async () => {
        bench.view.applyEntry(makeEntry('p', { address, serviceId: ORDERS }));
        bench.view.applyEntry(makeEntry('e', { address, heldModels: [makeHeldModel('a')] }));
        await bench.start([onceRoute, streamRoute]);
        const startedAtMs = CLOCK.nowMs();
        const memoryBefore = process.memoryUsage.rss();
        const isStream = text.start('').includes('event-stream');
        const path = isStream ? '/drafts/x' : '/once/x';
        const received = await bench.sendRequest(path, isStream ? { model: 'a' } : {});
        expect(received.status).to.be.oneOf([502, 504]);
        expect(CLOCK.nowMs() - startedAtMs).to.be.below(TIMEOUT_MS + SLACK_MS);
        expect(process.memoryUsage.rss() - memoryBefore).to.be.below(MAX_GROWTH_BYTES);
        await expectClosed();
        expect(server.requestCount).to.equal(1);
      });

      it('is followed by another server where the request may be repeated, and counts as a failure', async () => {
        bench.view.applyEntry(makeEntry('p', { address, serviceId: ORDERS }));
        await bench.addServer(
          'qq',
          (incoming, response) => response.writeHead(200, makeResponseHeaders(incoming)).end('{}'),
          ORDERS,
        );
        await bench.start([plainRoute]);
        for (let count = 0; count < 6; count++) {
          expect((await bench.sendRequest('/plain/x')).status).to.equal(200);
        }
        // The server is avoided once it has failed, so it gets fewer than half of the requests.
        expect(server.requestCount).to.be.within(0, 2);
        await expectClosed();
      });

      it('ends a call of the store or the engine as lost, in bounded time', async () => {
        const [host, port] = address.split(':');
        const startedAtMs = CLOCK.nowMs();
        const limits = { timeoutMs: 500, maxBodyBytes: MIB };
        const result = await sendHttpRequest(CLOCK, { host, port, path: '/' }, limits);
        expect(result.kind).to.equal('lost');
        expect(CLOCK.nowMs() - startedAtMs).to.be.below(500 + SLACK_MS);
        await expectClosed();
      });
    });
  }

  it('are abandoned together when they would take more than the memory for buffered responses', async () => {
    const server = new EndlessServer(ENDLESS_TEXTS['a body in chunks']!);
    const address = await server.start();
    const bench = new RouterBench();
    bench.bufferBudget = new ByteBudget(10 * MIB);
    bench.view.applyEntry(makeEntry('p', { address, serviceId: ORDERS }));
    await bench.start([onceRoute]);
    const received = await Promise.all(Array.from({ length: 6 }, () => bench.sendRequest('/once/x')));
    expect(received.map(({ status }) => status)).to.satisfy((statuses: number[]) =>
      statuses.every((status) => status === 502 || status === 504),
    );
    expect(server.sentBytes).to.be.below(10 * MIB + 6 * 4 * MIB);
    // The whole budget is available again.
    await delay(CLOCK, 50);
    expect(bench.bufferBudget.tryTake(10 * MIB)).to.equal(true);
    server.stop();
    await bench.close();
  });

  it('are read no faster than the caller reads, and not taken for silence meanwhile', async () => {
    const event = `id: 1\ndata: ${'x'.repeat(1_000)}\n\n`;
    const server = new EndlessServer({ start: makeHead('content-type: text/event-stream'), repeated: event });
    const address = await server.start();
    const bench = new RouterBench();
    bench.view.applyEntry(makeEntry('e', { address, heldModels: [makeHeldModel('a')] }));
    await bench.addServer('ff', () => undefined);
    await bench.start([makeRoute({ timeoutMs: 5_000, latencyTargetMs: 100, maxGapMs: 20 })]);
    const caller = connect(bench.callerPort, '127.0.0.1');
    caller.write(
      'POST /drafts/x HTTP/1.1\r\nhost: a.example\r\nrequest-id: r1\r\nmodel: a\r\ncontent-length: 0\r\n\r\n',
    );
    caller.pause();
    await delay(CLOCK, 1_000);
    const sentBytes = server.sentBytes;
    expect(sentBytes).to.be.within(1, MAX_ENDLESS_BYTES);
    await delay(CLOCK, 500);
    expect(server.sentBytes - sentBytes).to.be.below(MIB);
    expect(server.openSockets.size, 'the stream goes on').to.equal(1);
    caller.resume();
    await delay(CLOCK, 300);
    expect(server.sentBytes - sentBytes, 'the rest is read').to.be.above(MIB);
    expect(bench.receivedRequests, 'no other server gets the request').to.have.length(0);
    caller.destroy();
    await delay(CLOCK, 50);
    expect(server.openSockets.size).to.equal(0);
    server.stop();
    await bench.close();
  });

  it('are told apart from sound slow ones, which are not cut although another server could serve', async () => {
    const bench = new RouterBench();
    const part = 'x'.repeat(1_024);
    let slowCount = 0;
    await bench.addServer(
      'p',
      (incoming, response) => {
        slowCount++;
        response.writeHead(200, {
          ...makeResponseHeaders(incoming),
          'content-length': String(8 * part.length),
        });
        let sentCount = 0;
        const timer = setInterval(() => {
          response.write(part);
          if (++sentCount === 8) {
            clearInterval(timer);
            response.end();
          }
        }, 80);
      },
      ORDERS,
    );
    await bench.addServer('qq', (incoming) => incoming.socket.destroy(), ORDERS);
    await bench.start([{ ...plainRoute, timeoutMs: 3_000, maxGapMs: undefined }]);
    while (slowCount === 0) {
      const received = await bench.sendRequest('/plain/x');
      expect(received.text).to.equal(slowCount === 0 ? received.text : part.repeat(8));
    }
    expect(slowCount).to.equal(1);
    await bench.close();
  });
});
