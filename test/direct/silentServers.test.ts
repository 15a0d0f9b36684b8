import { expect } from 'chai';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { makeEntry, makeHeldModel, makeRoute, ORDERS } from './fleetFixtures.js';
import { RouterBench, makeResponseHeaders, type Handler } from './RouterBench.js';

/** Longest pause between the events of the test's streams, in milliseconds; servers are silent for longer. */
const MAX_GAP_MS = 60;
/** Time for which a server is silent, in milliseconds: longer than the timeouts of both routes. */
const SILENCE_MS = 1_000;
const FIRST_EVENT = 'id: 1\ndata: one\n\n';
const SECOND_EVENT = 'id: 2\ndata: two\n\n';
/** Retry budget that is exhausted from the start. */
const NO_RETRIES = { ratio: 0, slack: 0, windowMs: 10_000 };
/** Number of servers that are listed and cannot be reached. */
const UNREACHABLE_COUNT = 6;
/** Address at which no process listens. */
const UNREACHABLE_ADDRESS = '127.0.0.1:1';

const streamRoute = makeRoute({ timeoutMs: 5_000, latencyTargetMs: 150, maxGapMs: MAX_GAP_MS });
const plainRoute = makeRoute({
  pathPrefix: '/plain/',
  kind: 'idempotent',
  isResumable: false,
  targets: [{ serviceId: ORDERS, weight: 1 }],
  timeoutMs: 5_000,
  latencyTargetMs: 60,
});

function startStream(incoming: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, makeResponseHeaders(incoming, 'text/event-stream')).write(FIRST_EVENT);
}

/** Sends the first event, is silent for a while, and completes the stream. */
const pauseMidStream: Handler = (incoming, response) => {
  startStream(incoming, response);
  setTimeout(() => response.end(SECOND_EVENT), SILENCE_MS);
};

/** Is silent for a while and then responds. */
const pauseBeforeResponse: Handler = (incoming, response) => {
  setTimeout(() => response.writeHead(200, makeResponseHeaders(incoming)).end('whole'), SILENCE_MS);
};

// Guards against issue 24 (LOST): a router gave up the answer of a sound server that was silent for a second, although no
// other server took the request over.
describe('servers that fall silent and go on', function () {
  this.timeout(20_000);
  let bench: RouterBench;
  beforeEach(() => {
    bench = new RouterBench();
  });
  afterEach(() => bench.close());

  const addUnreachableEngine = () =>
    bench.view.applyEntry(
      makeEntry('unreachable', { address: UNREACHABLE_ADDRESS, heldModels: [makeHeldModel('a')] }),
    );

  it('complete their streams if the retry budget is exhausted', async () => {
    bench.retryLimits = NO_RETRIES;
    await bench.addServer('s', pauseMidStream);
    await bench.addServer('ss', pauseMidStream);
    await bench.start([streamRoute]);
    const received = await bench.sendRequest('/drafts/x', { model: 'a' });
    expect([received.text, received.isComplete]).to.deep.equal([FIRST_EVENT + SECOND_EVENT, true]);
    expect(bench.receivedRequests).to.have.length(1);
  });

  it('complete their streams if no other server can be reached', async () => {
    await bench.addServer('s', pauseMidStream);
    addUnreachableEngine();
    await bench.start([streamRoute]);
    const received = await bench.sendRequest('/drafts/x', { model: 'a' });
    expect([received.text, received.isComplete]).to.deep.equal([FIRST_EVENT + SECOND_EVENT, true]);
  });

  it('send their responses if the retry budget is exhausted', async () => {
    bench.retryLimits = NO_RETRIES;
    await bench.addServer('p', pauseBeforeResponse, ORDERS);
    await bench.addServer('pp', pauseBeforeResponse, ORDERS);
    await bench.start([plainRoute]);
    const received = await bench.sendRequest('/plain/x');
    expect([received.status, received.text]).to.deep.equal([200, 'whole']);
    expect(bench.receivedRequests).to.have.length(1);
  });

  it('pass their streams on to a server that takes them', async () => {
    const respond: Handler = (incoming, response) => {
      if (incoming.headers['last-event-id'] === '1') {
        response.writeHead(200, makeResponseHeaders(incoming, 'text/event-stream')).end(SECOND_EVENT);
      } else {
        startStream(incoming, response);
      }
    };
    await bench.addServer('s', respond);
    await bench.addServer('ss', respond);
    await bench.start([streamRoute]);
    const received = await bench.sendRequest('/drafts/x', { model: 'a' });
    expect([received.text, received.isComplete]).to.deep.equal([FIRST_EVENT + SECOND_EVENT, true]);
    expect(bench.receivedRequests.map(({ server }) => server)).to.have.members(['s', 'ss']);
  });

  it('continue a stream that the server which took it over refuses', async () => {
    let resumeCount = 0;
    const respond: Handler = (incoming, response) => {
      if (incoming.headers['last-event-id'] !== '1') {
        startStream(incoming, response);
      } else if (++resumeCount === 1) {
        response.writeHead(503, { 'not-run': '1' }).end();
      } else {
        response.writeHead(200, makeResponseHeaders(incoming, 'text/event-stream')).end(SECOND_EVENT);
      }
    };
    await bench.addServer('s', respond);
    await bench.addServer('ss', respond);
    await bench.start([streamRoute]);
    const received = await bench.sendRequest('/drafts/x', { model: 'a' });
    expect([received.text, received.isComplete]).to.deep.equal([FIRST_EVENT + SECOND_EVENT, true]);
  });

  it('leave the retry budget alone when a connection to another server fails', async () => {
    bench.retryLimits = { ratio: 0, slack: 1.25, windowMs: 10_000 };
    let requestCount = 0;
    const respond: Handler = (incoming, response) => {
      if (++requestCount === 1) {
        incoming.socket.destroy();
      } else {
        response.writeHead(200, makeResponseHeaders(incoming)).end('whole');
      }
    };
    await bench.addServer('first', respond, ORDERS);
    for (let port = 1; port <= UNREACHABLE_COUNT; port++) {
      bench.view.applyEntry(makeEntry(`second-${port}`, { address: `127.0.0.1:${port}`, serviceId: ORDERS }));
    }
    await bench.addServer('third', respond, ORDERS);
    await bench.start([plainRoute]);
    const received = await bench.sendRequest('/plain/x');
    expect([received.status, received.text]).to.deep.equal([200, 'whole']);
  });
});
