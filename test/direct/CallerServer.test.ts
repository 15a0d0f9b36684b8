import { expect } from 'chai';
import { once } from 'node:events';
import { Agent, request } from 'node:http';
import { connect } from 'node:net';
import { delay } from '../../src/kernel/index.js';
import { makeConfiguration, makeEntry, makeRoute, ORDERS } from './fleetFixtures.js';
import { CLOCK, RouterBench, makeResponseHeaders, type Handler } from './RouterBench.js';

const STREAM = 'text/event-stream';
const respondWith =
  (text: string, status = 200): Handler =>
  (incoming, response) => {
    response.writeHead(status, makeResponseHeaders(incoming)).end(text);
  };
const refuseNotRun =
  (status: number): Handler =>
  (_incoming, response) => {
    response.writeHead(status, { 'not-run': '1' }).end();
  };
const neverRespond: Handler = () => undefined;

describe('CallerServer', function () {
  this.timeout(20_000);
  let bench: RouterBench;
  beforeEach(() => {
    bench = new RouterBench();
  });
  afterEach(() => bench.close());

  const plainRoute = makeRoute({
    pathPrefix: '/plain/',
    kind: 'idempotent',
    isResumable: false,
    targets: [{ serviceId: ORDERS, weight: 1 }],
    timeoutMs: 900,
    latencyTargetMs: 150,
  });
  const nonIdempotentRoute = {
    ...plainRoute,
    name: 'once',
    pathPrefix: '/once/',
    kind: 'nonIdempotent' as const,
    maxAttempts: 1,
  };

  describe('plain services', () => {
    it('forwards the response unchanged and sends the remaining time and the expected server', async () => {
      await bench.addServer('p', respondWith('{"ok":1}', 201), ORDERS);
      await bench.start([plainRoute]);
      const received = await bench.sendRequest(
        '/plain/x?y=1',
        { 'deadline-ms': '500', 'request-urgency': '0' },
        'body',
      );
      expect([received.status, received.text, received.headers['response-stamp']]).to.deep.equal([
        201,
        '{"ok":1}',
        's',
      ]);
      const [sent] = bench.receivedRequests;
      expect(sent?.body).to.equal('body');
      expect(Number(sent?.headers['deadline-ms'])).to.be.within(300, 500);
      expect(sent?.headers['expect-instance']).to.equal('p');
      expect(sent?.headers['request-urgency']).to.equal(undefined);
    });

    it('tries another server after an error response, and returns the error response if both fail', async () => {
      await bench.addServer('p', respondWith('one', 500), ORDERS);
      await bench.addServer('q', respondWith('two', 500), ORDERS);
      await bench.start([plainRoute]);
      const received = await bench.sendRequest('/plain/x');
      expect(received.status).to.equal(500);
      expect(bench.receivedRequests.map(({ server }) => server)).to.have.members(['p', 'q']);
    });

    it('does not retry a non-idempotent request that may have run', async () => {
      await bench.addServer('p', (incoming) => incoming.socket.destroy(), ORDERS);
      await bench.addServer('q', (incoming) => incoming.socket.destroy(), ORDERS);
      await bench.start([nonIdempotentRoute]);
      expect((await bench.sendRequest('/once/x')).status).to.equal(502);
      expect(bench.receivedRequests.length).to.equal(1);
    });

    it('retries a non-idempotent request after a server stated that it did not run', async () => {
      await bench.addServer('p', refuseNotRun(503), ORDERS);
      await bench.addServer('q', respondWith('done'), ORDERS);
      await bench.start([nonIdempotentRoute]);
      expect((await bench.sendRequest('/once/x')).text).to.equal('done');
    });

    it('responds with 503 and Retry-After if no server accepted the request', async () => {
      await bench.addServer('p', refuseNotRun(503), ORDERS);
      await bench.start([nonIdempotentRoute]);
      const received = await bench.sendRequest('/once/x');
      expect(received.status).to.equal(503);
      expect(Number(received.headers['retry-after'])).to.be.greaterThan(0);
    });

    it("ends a request at its route's timeout", async () => {
      await bench.addServer('p', neverRespond, ORDERS);
      await bench.start([nonIdempotentRoute]);
      const startedAtMs = CLOCK.nowMs();
      expect((await bench.sendRequest('/once/x', { 'deadline-ms': '5000' })).status).to.equal(504);
      expect(CLOCK.nowMs() - startedAtMs).to.be.within(800, 1_300);
    });

    it('closes the connection to the server when the caller disconnects', async () => {
      let isClosed = false;
      await bench.addServer('p', (incoming) => incoming.socket.on('close', () => (isClosed = true)), ORDERS);
      await bench.start([nonIdempotentRoute]);
      await bench.sendRequest('/once/x', {}, 'x', 100).catch(() => undefined);
      await delay(CLOCK, 200);
      expect(isClosed).to.equal(true);
    });
  });

  describe('routing', () => {
    it('responds with 503 while no configuration is known and with 404 if no route matches', async () => {
      await bench.start([plainRoute], false);
      expect((await bench.sendRequest('/plain/x')).status).to.equal(503);
      bench.view.applyConfiguration(makeConfiguration(1, [plainRoute]));
      expect((await bench.sendRequest('/other/x')).status).to.equal(404);
    });

    it('refuses a body that exceeds the limit', async () => {
      await bench.start([plainRoute]);
      expect((await bench.sendRequest('/plain/x', {}, 'x'.repeat(100_001))).status).to.equal(413);
    });
  });

  describe('streams', () => {
    const model = { model: 'a' };

    it('resumes at another server after the last complete event', async () => {
      await bench.addServer('e', (incoming, response) => {
        if (incoming.headers['last-event-id'] === undefined) {
          response.writeHead(200, makeResponseHeaders(incoming, STREAM));
          response.write('id: 1\ndata: x\n\nid: 2\nda');
          setTimeout(() => response.destroy(), 20);
        } else {
          response.writeHead(200, makeResponseHeaders(incoming, STREAM)).end('id: 2\ndata: y\n\n');
        }
      });
      await bench.addServer('ff', (incoming, response) => {
        response.writeHead(200, makeResponseHeaders(incoming, STREAM)).end('id: 2\ndata: y\n\n');
      });
      await bench.start([makeRoute()]);
      const received = await bench.sendRequest('/drafts/x', model);
      expect(received.isComplete).to.equal(true);
      expect(received.text).to.contain('id: 2\ndata: y\n\n');
    });

    it('closes the connection of an interrupted stream that must not be resumed', async () => {
      await bench.addServer('e', (incoming, response) => {
        response.writeHead(200, makeResponseHeaders(incoming, STREAM));
        response.write('id: 1\ndata: x\n\n');
        setTimeout(() => response.destroy(), 20);
      });
      await bench.start([makeRoute({ isResumable: false, maxAttempts: 1 })]);
      const received = await bench.sendRequest('/drafts/x', model);
      expect([received.text, received.isComplete]).to.deep.equal(['id: 1\ndata: x\n\n', false]);
    });

    it('retries at another server if a server does not hold the model', async () => {
      await bench.addServer('e', refuseNotRun(421));
      await bench.addServer('ff', (incoming, response) => {
        response.writeHead(200, makeResponseHeaders(incoming, STREAM)).end('id: 1\ndata: x\n\n');
      });
      await bench.start([makeRoute({ isResumable: false, maxAttempts: 1 })]);
      expect((await bench.sendRequest('/drafts/x', model)).text).to.equal('id: 1\ndata: x\n\n');
    });

    it('refuses a request at once if its model cannot be ready in time', async () => {
      await bench.start([makeRoute()]);
      const startedAtMs = CLOCK.nowMs();
      expect((await bench.sendRequest('/drafts/x', { model: 'unknown' })).status).to.equal(503);
      expect(CLOCK.nowMs() - startedAtMs).to.be.lessThan(300);
    });

    it('blocks a request that crashed two servers', async () => {
      const crash: Handler = (incoming) => incoming.socket.destroy();
      await bench.addServer('e', crash);
      await bench.addServer('ff', crash);
      await bench.addServer('ggg', crash);
      await bench.start([makeRoute()]);
      expect((await bench.sendRequest('/drafts/x', model)).status).to.equal(502);
      expect((await bench.sendRequest('/drafts/x', { ...model, 'request-id': 'r2' })).status).to.equal(502);
      expect(bench.receivedRequests.length).to.equal(2);
    });

    // Review, case 6, on streams: a server that ends later does not crash on a request that it has streamed for a while.
    it('does not block a stream that broke off after it had run for a while', async () => {
      const breakLate: Handler = (incoming, response) => {
        const next = Number(incoming.headers['last-event-id'] ?? 0) + 1;
        response.writeHead(200, makeResponseHeaders(incoming, STREAM)).write(`id: ${next}\ndata: 1\n\n`);
        setTimeout(() => incoming.socket.destroy(), 200);
      };
      for (const id of ['e', 'ff', 'ggg']) {
        await bench.addServer(id, breakLate);
      }
      await bench.start([makeRoute({ maxGapMs: 1_000 })]);
      await bench.sendRequest('/drafts/x', model);
      const sentCount = bench.receivedRequests.length;
      await bench.sendRequest('/drafts/x', { ...model, 'request-id': 'r2' });
      expect(sentCount).to.equal(2);
      expect(bench.receivedRequests.length).to.equal(2 * sentCount);
    });

    it('refuses a blocked request at once also if no server holds its model', async () => {
      const crash: Handler = (incoming) => incoming.socket.destroy();
      await bench.addServer('e', crash);
      await bench.addServer('ff', crash);
      await bench.start([makeRoute()]);
      await bench.sendRequest('/drafts/x', model);
      bench.view.applyEntry(makeEntry('e', { heldModels: [] }));
      bench.view.applyEntry(makeEntry('ff', { heldModels: [] }));
      const startedAtMs = CLOCK.nowMs();
      const received = await bench.sendRequest('/drafts/x', { ...model, 'request-id': 'r2' });
      expect(received.status).to.equal(502);
      expect(CLOCK.nowMs() - startedAtMs).to.be.lessThan(300);
    });
  });

  describe('responses without a length', () => {
    const head = (requestId: string) =>
      `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Stamp: s\r\nContent-Type: text/plain\r\n\r\nhalf`;
    const route = makeRoute({ isResumable: false, kind: 'nonIdempotent', maxAttempts: 1 });

    // Review, cases 3 and 7: without one, the end of the router completed them, and the connection could carry no other answer.
    it('are forwarded with their length, so that they are complete only if they arrive whole', async () => {
      await bench.addRawServer('e', head, false);
      await bench.start([route]);
      const received = await bench.sendRequest('/drafts/x', { model: 'a' });
      expect([received.status, received.text, received.isComplete]).to.deep.equal([200, 'half', true]);
      expect(received.headers['content-length']).to.equal('4');
      expect(received.headers['transfer-encoding']).to.equal(undefined);
    });

    // Soak seeds 502, 603, 606 and others: a router that was killed ended such a stream as if it was complete.
    it('are forwarded in chunks if they are a stream, so that the end of the router does not complete them', async () => {
      const events = 'id: 1\ndata: 1\n\n';
      const stream = (requestId: string) =>
        head(requestId).replace('text/plain', STREAM).replace('half', events);
      await bench.addRawServer('e', stream, false);
      await bench.start([route]);
      const received = await bench.sendRequest('/drafts/x', { model: 'a' });
      expect([received.status, received.text, received.isComplete]).to.deep.equal([200, events, true]);
      expect(received.headers['transfer-encoding']).to.equal('chunked');
    });

    it('are discarded if the connection was reset', async () => {
      await bench.addRawServer('e', head, true);
      await bench.start([route]);
      expect((await bench.sendRequest('/drafts/x', { model: 'a' })).status).to.equal(502);
    });

    for (const isReset of [true, false]) {
      it(`do not appear complete if they are a stream that ${isReset ? 'was reset' : 'ended inside an event'}`, async () => {
        const stream = (requestId: string) =>
          head(requestId).replace('text/plain', STREAM).replace('half', 'id: 1\ndata: 1\n\nid: 2');
        await bench.addRawServer('e', stream, isReset);
        await bench.start([route]);
        const received = await bench.sendRequest('/drafts/x', { model: 'a' });
        expect([received.status, received.text]).to.deep.equal([200, 'id: 1\ndata: 1\n\n']);
        expect(received.isComplete).to.equal(false);
      });
    }

    it('are discarded if they belong to another request or are unsigned', async () => {
      await bench.addRawServer('e', () => head('other'), false);
      await bench.start([route]);
      expect((await bench.sendRequest('/drafts/x', { model: 'a' })).status).to.equal(502);
    });
  });

  describe('applyLimits', () => {
    it('does not end a request in progress on a kept connection when the idle time becomes shorter', async () => {
      const respondLate: Handler = (incoming, response) => {
        setTimeout(() => response.writeHead(200, makeResponseHeaders(incoming)).end('late'), 1_800);
      };
      await bench.addServer('p', respondLate, ORDERS);
      const routes = [{ ...plainRoute, timeoutMs: 5_000 }];
      await bench.start(routes);
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      await bench.sendRequest('/none', {}, 'x', undefined, agent);
      const late = bench.sendRequest('/plain/x', {}, 'x', undefined, agent);
      await delay(CLOCK, 100);
      bench.applyCallerLimits(routes, { headerTimeoutMs: 50, idleTimeoutMs: 50 });
      expect((await late).text).to.equal('late');
      agent.destroy();
    });
  });

  describe('bytes after a request that are no request', () => {
    /** Sends a request and, while it runs, other bytes; resolves with what the router sends until it ends. */
    async function sendWithGarbage(path: string, headers = ''): Promise<string> {
      const socket = connect({ host: '127.0.0.1', port: bench.callerPort });
      let text = '';
      socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
      const closed = once(socket, 'close');
      socket.write(`GET ${path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n${headers}\r\n`);
      await delay(CLOCK, 100);
      socket.write('\0\r\n\r\n');
      await delay(CLOCK, 50);
      socket.write('\0\r\n\r\n');
      await closed;
      return text;
    }

    it('do not replace its response, after which the connection is closed', async () => {
      const respondLate: Handler = (incoming, response) => {
        setTimeout(() => response.writeHead(200, makeResponseHeaders(incoming)).end('late'), 300);
      };
      await bench.addServer('p', respondLate, ORDERS);
      await bench.start([plainRoute]);
      const text = await sendWithGarbage('/plain/x');
      expect(text).to.match(/^HTTP\/1.1 200 OK[^]*\r\n\r\nlate$/);
    });

    it('do not interrupt its stream', async () => {
      await bench.addServer('e', (incoming, response) => {
        response.writeHead(200, makeResponseHeaders(incoming, STREAM)).write('data: 1\n\n');
        setTimeout(() => response.end('data: 2\n\n'), 300);
      });
      await bench.start([makeRoute()]);
      const text = await sendWithGarbage('/drafts/x', 'Model: a\r\n');
      expect(text.slice(text.indexOf('\r\n\r\n') + 4)).to.equal(
        '9\r\ndata: 1\n\n\r\n9\r\ndata: 2\n\n\r\n0\r\n\r\n',
      );
    });

    it('do not keep the request alive after the caller has left', async () => {
      let isClosed = false;
      await bench.addServer('p', (incoming) => incoming.socket.on('close', () => (isClosed = true)), ORDERS);
      await bench.start([{ ...plainRoute, timeoutMs: 5_000 }]);
      const socket = connect({ host: '127.0.0.1', port: bench.callerPort });
      socket.write('GET /plain/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n\r\n');
      await delay(CLOCK, 100);
      socket.write('\0\r\n\r\n');
      await delay(CLOCK, 100);
      socket.destroy();
      await delay(CLOCK, 300);
      expect(isClosed).to.equal(true);
    });
  });

  describe('stop', () => {
    it('completes running requests and accepts callers until the balancer has detected the stop', async () => {
      await bench.addServer(
        'p',
        (incoming, response) => {
          setTimeout(() => response.writeHead(200, makeResponseHeaders(incoming)).end('slow'), 600);
        },
        ORDERS,
      );
      await bench.start([plainRoute]);
      const slow = bench.sendRequest('/plain/x');
      await delay(CLOCK, 50);
      const stopped = bench.stopRouter();
      const late = await bench.sendRequest('/plain/x');
      expect((await slow).text).to.equal('slow');
      expect([late.text, late.headers.connection]).to.deep.equal(['slow', 'close']);
      await stopped;
    });

    it('refuses new and waiting requests after the balancer has detected the stop', async () => {
      const slow: Handler = (incoming, response) => {
        response.writeHead(200, makeResponseHeaders(incoming, STREAM));
        response.write('data: x\n\n');
        setTimeout(() => response.end('data: y\n\n'), 3_400);
      };
      await bench.addServer('p', slow, ORDERS);
      bench.view.applyEntry(makeEntry('e'));
      const longTimeouts = { latencyTargetMs: 3_000, timeoutMs: 20_000 };
      await bench.start([{ ...plainRoute, ...longTimeouts, maxAttempts: 1 }, makeRoute(longTimeouts)]);
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      const slowResponse = bench.sendRequest('/plain/x', {}, 'x', undefined, agent);
      await delay(CLOCK, 100);
      const waiting = bench.sendRequest('/drafts/x', { model: 'a' });
      await delay(CLOCK, 100);
      const stopped = bench.stopRouter();
      expect((await waiting).status).to.equal(503);
      expect((await slowResponse).isComplete).to.equal(true);
      const late = await bench.sendRequest('/plain/x', { 'request-id': 'r2' }, 'x', undefined, agent);
      expect([late.status, late.headers.connection]).to.deep.equal([503, 'close']);
      expect(bench.receivedRequests.length).to.equal(1);
      await stopped;
      agent.destroy();
    });

    // The day deploy/days/cling.toml: callers keep using their connections until the process is gone.
    it('answers each request that it passes on for callers that keep sending on open connections', async () => {
      await bench.addServer(
        'p',
        (incoming, response) => {
          setTimeout(() => response.writeHead(200, makeResponseHeaders(incoming)).end('late'), 30);
        },
        ORDERS,
      );
      await bench.start([plainRoute]);
      const agent = new Agent({ keepAlive: true, maxSockets: 4 });
      const answeredIds = new Set<string>();
      let isStopped = false;
      const keepSending = async (caller: number) => {
        for (let count = 0; !isStopped; count++) {
          const id = `r${caller}-${count}`;
          const response = await bench
            .sendRequest('/plain/x', { 'request-id': id }, 'x', undefined, agent)
            .catch(() => delay(CLOCK, 5));
          if (response?.isComplete === true) {
            answeredIds.add(id);
          }
        }
      };
      const callers = [1, 2, 3, 4].map((caller) => keepSending(caller));
      await delay(CLOCK, 200);
      await bench.stopRouter();
      isStopped = true;
      await Promise.all(callers);
      agent.destroy();
      const passedOnIds = bench.receivedRequests.map(({ headers }) => String(headers['request-id']));
      expect(passedOnIds.length).to.be.greaterThan(100);
      expect(passedOnIds.filter((id) => !answeredIds.has(id))).to.deep.equal([]);
    });

    it('completes responses that their callers read slowly', async () => {
      const length = 7 * 1024 * 1024;
      await bench.addServer(
        'p',
        (incoming, response) => {
          response.writeHead(200, makeResponseHeaders(incoming)).end(Buffer.alloc(length));
        },
        ORDERS,
      );
      await bench.start([{ ...plainRoute, timeoutMs: 20_000 }]);
      const received = new Promise<number>((resolve, reject) => {
        const outgoing = request({
          port: bench.callerPort,
          path: '/plain/x',
          headers: { host: 'a.example', 'request-id': 'r1' },
          agent: false,
        });
        outgoing.on('error', reject);
        outgoing.on('response', (response) => {
          let receivedLength = 0;
          response.on('error', reject);
          response.on('end', () => resolve(receivedLength));
          // The caller reads only after the router has stopped accepting requests.
          setTimeout(() => response.on('data', (chunk: Buffer) => (receivedLength += chunk.length)), 3_500);
        });
        outgoing.end();
      });
      await delay(CLOCK, 300);
      const stopped = bench.stopRouter();
      expect(await received).to.equal(length);
      await stopped;
    });

    it('responds to requests without a server response before the process exits', async () => {
      await bench.addServer('p', neverRespond, ORDERS);
      await bench.start([{ ...nonIdempotentRoute, timeoutMs: 20_000 }]);
      const open = bench.sendRequest('/once/x');
      await delay(CLOCK, 100);
      const stopped = bench.stopRouter();
      expect((await open).status).to.equal(502);
      await stopped;
    });
  });
});
