import { expect } from 'chai';
import { Agent } from 'node:http';
import { delay } from '../../src/kernel/index.js';
import { makeConfiguration, makeEntry, makeRoute, ORDERS } from './fleetFixtures.js';
import { CLOCK, RouterBench, stamped, type Handler } from './RouterBench.js';

const STREAM = 'text/event-stream';
const answer =
  (text: string, status = 200): Handler =>
  (incoming, response) => {
    response.writeHead(status, stamped(incoming)).end(text);
  };
const refuseNotRun =
  (status: number): Handler =>
  (_incoming, response) => {
    response.writeHead(status, { 'not-run': '1' }).end();
  };
const never: Handler = () => undefined;

describe('CallerServer', function () {
  this.timeout(20_000);
  let bench: RouterBench;
  beforeEach(() => {
    bench = new RouterBench();
  });
  afterEach(() => bench.close());

  const plain = makeRoute({
    pathPrefix: '/plain/',
    kind: 'idempotent',
    isResumable: false,
    targets: [{ serviceId: ORDERS, weight: 1 }],
    timeoutMs: 900,
    latencyTargetMs: 150,
  });
  const once = {
    ...plain,
    name: 'once',
    pathPrefix: '/once/',
    kind: 'nonIdempotent' as const,
    maxAttempts: 1,
  };

  describe('plain services', () => {
    it('passes the answer on unchanged, with the time left and the expected server', async () => {
      await bench.addServer('p', answer('{"ok":1}', 201), ORDERS);
      await bench.start([plain]);
      const got = await bench.call('/plain/x?y=1', { 'deadline-ms': '500', 'request-urgency': '0' }, 'body');
      expect([got.status, got.text, got.headers['response-stamp']]).to.deep.equal([201, '{"ok":1}', 's']);
      const [seen] = bench.seen;
      expect(seen?.body).to.equal('body');
      expect(Number(seen?.headers['deadline-ms'])).to.be.within(300, 500);
      expect(seen?.headers['expect-instance']).to.equal('p');
      expect(seen?.headers['request-urgency']).to.equal(undefined);
    });

    it('tries another server after a failure, and delivers the failure when both fail', async () => {
      await bench.addServer('p', answer('one', 500), ORDERS);
      await bench.addServer('q', answer('two', 500), ORDERS);
      await bench.start([plain]);
      const got = await bench.call('/plain/x');
      expect(got.status).to.equal(500);
      expect(bench.seen.map(({ server }) => server)).to.have.members(['p', 'q']);
    });

    it('never sends a request that may not be repeated after it may have run', async () => {
      await bench.addServer('p', (incoming) => incoming.socket.destroy(), ORDERS);
      await bench.addServer('q', (incoming) => incoming.socket.destroy(), ORDERS);
      await bench.start([once]);
      expect((await bench.call('/once/x')).status).to.equal(502);
      expect(bench.seen.length).to.equal(1);
    });

    it('sends it again after a server stated that it did not run', async () => {
      await bench.addServer('p', refuseNotRun(503), ORDERS);
      await bench.addServer('q', answer('done'), ORDERS);
      await bench.start([once]);
      expect((await bench.call('/once/x')).text).to.equal('done');
    });

    it('promises that a request did not run when no server took it', async () => {
      await bench.addServer('p', refuseNotRun(503), ORDERS);
      await bench.start([once]);
      const got = await bench.call('/once/x');
      expect(got.status).to.equal(503);
      expect(Number(got.headers['retry-after'])).to.be.greaterThan(0);
    });

    it("ends a request at its route's timeout", async () => {
      await bench.addServer('p', never, ORDERS);
      await bench.start([once]);
      const startedAtMs = CLOCK.nowMs();
      expect((await bench.call('/once/x', { 'deadline-ms': '5000' })).status).to.equal(504);
      expect(CLOCK.nowMs() - startedAtMs).to.be.within(800, 1_300);
    });

    it('stops the server when the caller leaves', async () => {
      let isClosed = false;
      await bench.addServer('p', (incoming) => incoming.socket.on('close', () => (isClosed = true)), ORDERS);
      await bench.start([once]);
      await bench.call('/once/x', {}, 'x', 100).catch(() => undefined);
      await delay(CLOCK, 200);
      expect(isClosed).to.equal(true);
    });
  });

  describe('routing', () => {
    it('answers 503 while no configuration is known and 404 when no route matches', async () => {
      await bench.start([plain], false);
      expect((await bench.call('/plain/x')).status).to.equal(503);
      bench.view.applyConfiguration(makeConfiguration(1, [plain]));
      expect((await bench.call('/other/x')).status).to.equal(404);
    });

    it('refuses a body beyond the limit', async () => {
      await bench.start([plain]);
      expect((await bench.call('/plain/x', {}, 'x'.repeat(100_001))).status).to.equal(413);
    });
  });

  describe('streams', () => {
    const model = { model: 'a' };

    it('goes on at another server after the last whole event', async () => {
      await bench.addServer('e', (incoming, response) => {
        if (incoming.headers['last-event-id'] === undefined) {
          response.writeHead(200, stamped(incoming, STREAM));
          response.write('id: 1\ndata: x\n\nid: 2\nda');
          setTimeout(() => response.destroy(), 20);
        } else {
          response.writeHead(200, stamped(incoming, STREAM)).end('id: 2\ndata: y\n\n');
        }
      });
      await bench.addServer('ff', (incoming, response) => {
        response.writeHead(200, stamped(incoming, STREAM)).end('id: 2\ndata: y\n\n');
      });
      await bench.start([makeRoute()]);
      const got = await bench.call('/drafts/x', model);
      expect(got.isWhole).to.equal(true);
      expect(got.text).to.contain('id: 2\ndata: y\n\n');
    });

    it('breaks off a stream that may not be resumed', async () => {
      await bench.addServer('e', (incoming, response) => {
        response.writeHead(200, stamped(incoming, STREAM));
        response.write('id: 1\ndata: x\n\n');
        setTimeout(() => response.destroy(), 20);
      });
      await bench.start([makeRoute({ isResumable: false, maxAttempts: 1 })]);
      const got = await bench.call('/drafts/x', model);
      expect([got.text, got.isWhole]).to.deep.equal(['id: 1\ndata: x\n\n', false]);
    });

    it('takes a server that lacks the model for one that did not run the request', async () => {
      await bench.addServer('e', refuseNotRun(421));
      await bench.addServer('ff', (incoming, response) => {
        response.writeHead(200, stamped(incoming, STREAM)).end('id: 1\ndata: x\n\n');
      });
      await bench.start([makeRoute({ isResumable: false, maxAttempts: 1 })]);
      expect((await bench.call('/drafts/x', model)).text).to.equal('id: 1\ndata: x\n\n');
    });

    it('refuses at once a model that can not be ready in time', async () => {
      await bench.start([makeRoute()]);
      const startedAtMs = CLOCK.nowMs();
      expect((await bench.call('/drafts/x', { model: 'unknown' })).status).to.equal(503);
      expect(CLOCK.nowMs() - startedAtMs).to.be.lessThan(300);
    });

    it('stops a request that broke off on two servers', async () => {
      const crash: Handler = (incoming) => incoming.socket.destroy();
      await bench.addServer('e', crash);
      await bench.addServer('ff', crash);
      await bench.addServer('ggg', crash);
      await bench.start([makeRoute()]);
      expect((await bench.call('/drafts/x', model)).status).to.equal(502);
      expect((await bench.call('/drafts/x', { ...model, 'request-id': 'r2' })).status).to.equal(502);
      expect(bench.seen.length).to.equal(2);
    });

    it('stops it at once also when no server holds its model', async () => {
      const crash: Handler = (incoming) => incoming.socket.destroy();
      await bench.addServer('e', crash);
      await bench.addServer('ff', crash);
      await bench.start([makeRoute()]);
      await bench.call('/drafts/x', model);
      bench.view.applyEntry(makeEntry('e', { heldModels: [] }));
      bench.view.applyEntry(makeEntry('ff', { heldModels: [] }));
      const startedAtMs = CLOCK.nowMs();
      const got = await bench.call('/drafts/x', { ...model, 'request-id': 'r2' });
      expect(got.status).to.equal(502);
      expect(CLOCK.nowMs() - startedAtMs).to.be.lessThan(300);
    });
  });

  describe('answers without a length', () => {
    const head = (requestId: string) =>
      `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Stamp: s\r\nContent-Type: text/plain\r\n\r\nhalf`;
    const route = makeRoute({ isResumable: false, kind: 'nonIdempotent', maxAttempts: 1 });

    it('are passed on without one, so that they do not look complete', async () => {
      await bench.addRawServer('e', head, false);
      await bench.start([route]);
      const got = await bench.call('/drafts/x', { model: 'a' });
      expect([got.status, got.text]).to.deep.equal([200, 'half']);
      expect(got.headers['content-length']).to.equal(undefined);
      expect(got.headers['transfer-encoding']).to.equal(undefined);
    });

    it('are no answer when the connection was reset', async () => {
      await bench.addRawServer('e', head, true);
      await bench.start([route]);
      expect((await bench.call('/drafts/x', { model: 'a' })).status).to.equal(502);
    });

    it('are no answer when they belong to another request or carry no signature', async () => {
      await bench.addRawServer('e', () => head('other'), false);
      await bench.start([route]);
      expect((await bench.call('/drafts/x', { model: 'a' })).status).to.equal(502);
    });
  });

  describe('stop', () => {
    it('cuts off nothing in progress and takes callers until the balancer has noticed', async () => {
      await bench.addServer(
        'p',
        (incoming, response) => {
          setTimeout(() => response.writeHead(200, stamped(incoming)).end('slow'), 600);
        },
        ORDERS,
      );
      await bench.start([plain]);
      const slow = bench.call('/plain/x');
      await delay(CLOCK, 50);
      const stopped = bench.stopRouter();
      const late = await bench.call('/plain/x');
      expect((await slow).text).to.equal('slow');
      expect([late.text, late.headers.connection]).to.deep.equal(['slow', 'close']);
      await stopped;
    });

    it('refuses at once what comes when the balancer has noticed, and what still waits then', async () => {
      const slow: Handler = (incoming, response) => {
        response.writeHead(200, stamped(incoming, STREAM));
        response.write('data: x\n\n');
        setTimeout(() => response.end('data: y\n\n'), 3_400);
      };
      await bench.addServer('p', slow, ORDERS);
      bench.view.applyEntry(makeEntry('e'));
      const unhurried = { latencyTargetMs: 3_000, timeoutMs: 20_000 };
      await bench.start([{ ...plain, ...unhurried, maxAttempts: 1 }, makeRoute(unhurried)]);
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      const kept = bench.call('/plain/x', {}, 'x', undefined, agent);
      await delay(CLOCK, 100);
      const waiting = bench.call('/drafts/x', { model: 'a' });
      await delay(CLOCK, 100);
      const stopped = bench.stopRouter();
      expect((await waiting).status).to.equal(503);
      expect((await kept).isWhole).to.equal(true);
      const late = await bench.call('/plain/x', { 'request-id': 'r2' }, 'x', undefined, agent);
      expect([late.status, late.headers.connection]).to.deep.equal([503, 'close']);
      expect(bench.seen.length).to.equal(1);
      await stopped;
      agent.destroy();
    });

    it('answers what no server has answered when the process must end', async () => {
      await bench.addServer('p', never, ORDERS);
      await bench.start([{ ...once, timeoutMs: 20_000 }]);
      const open = bench.call('/once/x');
      await delay(CLOCK, 100);
      const stopped = bench.stopRouter();
      expect((await open).status).to.equal(502);
      await stopped;
    });
  });
});
