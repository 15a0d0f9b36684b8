import { expect } from 'chai';
import * as fc from 'fast-check';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PlatformHeaderCodec } from '../../platform/PlatformHeaderCodec.js';
import { toServerId } from '../../src/domain/index.js';
import type { HeaderCodec, ResponseHeaders } from '../../src/direct/index.js';
import { delay } from '../../src/kernel/index.js';
import { ENGINES, makeEntry, makeHeldModel, makeReport, makeRoute, ORDERS } from './fleetFixtures.js';
import { CLOCK, makeResponseHeaders, RouterBench, type Handler } from './RouterBench.js';

/** Time that a request sent before a notice may take to arrive, in milliseconds. */
const IN_FLIGHT_MS = 60;
const LEAVING = { 'server-leaving': '1' };

const plainRoute = makeRoute({
  pathPrefix: '/plain/',
  kind: 'idempotent',
  isResumable: false,
  targets: [{ serviceId: ORDERS, weight: 1 }],
  timeoutMs: 3_000,
  latencyTargetMs: 300,
});
const streamRoute = makeRoute({ timeoutMs: 3_000 });

function answer(headers: Record<string, string> = {}): Handler {
  return (incoming, response) => {
    response.writeHead(200, { ...makeResponseHeaders(incoming), ...headers }).end('{}');
  };
}

function refuse(status: number, headers: Record<string, string>): Handler {
  return (incoming, response) => {
    response.writeHead(status, {
      'request-id': String(incoming.headers['request-id']),
      'not-run': '1',
      ...headers,
    });
    response.end();
  };
}

describe('CallerServer with servers that state that they are leaving', function () {
  this.timeout(20_000);
  let bench: RouterBench;
  beforeEach(() => {
    bench = new RouterBench();
  });
  afterEach(() => bench.close());

  function countRequests(server: string): number {
    return bench.receivedRequests.filter((received) => received.server === server).length;
  }

  /** Sends requests until a server has received one, then ten more. */
  async function sendBeyondFirst(
    server: string,
    path: string,
    headers?: Record<string, string>,
  ): Promise<void> {
    for (let count = 0; count < 60 && countRequests(server) === 0; count++) {
      await bench.sendRequest(path, headers);
    }
    for (let count = 0; count < 10; count++) {
      expect((await bench.sendRequest(path, headers)).status).to.equal(200);
    }
  }

  const notices: readonly [string, Handler][] = [
    ['a complete answer', answer(LEAVING)],
    ['a refusal', refuse(503, LEAVING)],
    [
      'an error',
      (incoming, response) => response.writeHead(500, { ...makeResponseHeaders(incoming), ...LEAVING }).end(),
    ],
  ];
  for (const [kind, handler] of notices) {
    it(`sends it nothing after ${kind}, whatever the list says`, async () => {
      await bench.addServer('p', handler, ORDERS);
      await bench.addServer('qq', answer(), ORDERS);
      await bench.start([plainRoute]);
      await sendBeyondFirst('p', '/plain/x');
      const entry = bench.view.getEntry(toServerId('p'));
      bench.view.applyList([...bench.view.getEntries()], CLOCK.nowMs());
      if (entry) {
        bench.view.applyEntry({ ...entry, slotCount: 500 });
      }
      await sendBeyondFirst('p', '/plain/x');
      expect(countRequests('p')).to.equal(1);
    });
  }

  it('completes the stream whose head says so', async () => {
    const text = 'id: 1\ndata: x\n\n';
    const stream: Handler = (incoming, response) => {
      response.writeHead(200, { ...makeResponseHeaders(incoming, 'text/event-stream'), ...LEAVING });
      response.write(text);
      setTimeout(() => response.end(text.replace('1', '2')), 300);
    };
    await bench.addServer('e', stream);
    await bench.start([streamRoute]);
    const received = await bench.sendRequest('/drafts/x', { model: 'a' });
    expect([received.status, received.text, received.isComplete]).to.deep.equal([
      200,
      text + text.replace('1', '2'),
      true,
    ]);
    expect(bench.view.acceptsRequests([...bench.view.getEntries()][0]!, CLOCK.nowMs())).to.equal(false);
  });

  it('uses the next incarnation under the same id', async () => {
    await bench.addServer('p', answer(LEAVING), ORDERS);
    await bench.start([plainRoute]);
    await bench.sendRequest('/plain/x');
    const entry = bench.view.getEntry(toServerId('p'))!;
    bench.view.applyEntry({ ...entry, bornAtMs: entry.bornAtMs + 1 });
    expect((await bench.sendRequest('/plain/x')).status).to.equal(200);
  });

  it('ignores the statement of another server at the address', async () => {
    await bench.addServer('p', refuse(421, { ...LEAVING, 'instance-id': 'other' }), ORDERS);
    await bench.start([{ ...plainRoute, timeoutMs: 400 }]);
    await bench.sendRequest('/plain/x');
    expect(bench.view.acceptsRequests(bench.view.getEntry(toServerId('p'))!, CLOCK.nowMs())).to.equal(true);
  });

  it('learns it from the reports of agents, about their own engine and about any server', () => {
    const { view } = bench;
    const [first, second] = [makeEntry('x', { heldModels: [makeHeldModel('a')] }), makeEntry('yy')];
    view.applyList([first, second], 0);
    view.applyReport(makeReport(first, { isLeaving: true }), 10);
    expect([...view.getReadyServers(ENGINES, 20)].map(({ entry }) => entry.serverId)).to.deep.equal(['yy']);
    view.applyReport(makeReport(first, { leavingServers: { yy: second.bornAtMs } }), 30);
    expect([...view.getReadyServers(ENGINES, 40)]).to.have.length(0);
  });
});

describe('CallerServer with servers that ask for a pause', function () {
  this.timeout(20_000);
  let bench: RouterBench;
  beforeEach(() => {
    bench = new RouterBench();
  });
  afterEach(() => bench.close());

  it('serves from others, and sends the paused server nothing', async () => {
    await bench.addServer('p', refuse(503, { 'retry-after': '2' }), ORDERS);
    await bench.addServer('qq', answer(), ORDERS);
    await bench.start([plainRoute]);
    for (let count = 0; count < 60; count++) {
      expect((await bench.sendRequest('/plain/x')).status).to.equal(200);
    }
    expect(bench.receivedRequests.filter(({ server }) => server === 'p').length).to.be.at.most(1);
  });

  it('refuses at once with the remaining time if nobody else can serve, and sends again after it', async () => {
    let isPausing = true;
    await bench.addServer(
      'p',
      (incoming, response, body) =>
        (isPausing ? refuse(503, { 'retry-after': '1.2' }) : answer())(incoming, response, body),
      ORDERS,
    );
    await bench.start([plainRoute]);
    const startedAtMs = CLOCK.nowMs();
    for (let count = 0; count < 20; count++) {
      const sentAtMs = CLOCK.nowMs();
      const received = await bench.sendRequest('/plain/x');
      expect(received.status).to.equal(503);
      expect(CLOCK.nowMs() - sentAtMs).to.be.below(150);
      const remainingMs = 1_200 - (CLOCK.nowMs() - startedAtMs);
      expect(Number(received.headers['retry-after']) * 1_000).to.be.within(
        remainingMs - 150,
        remainingMs + 150,
      );
    }
    expect(bench.receivedRequests.length).to.equal(1);
    isPausing = false;
    await delay(CLOCK, 1_300);
    expect((await bench.sendRequest('/plain/x')).status).to.equal(200);
  });

  it('refuses at once a request for a model whose only server asked for a pause', async () => {
    await bench.addServer('e', refuse(503, { 'retry-after': '2' }));
    await bench.start([streamRoute]);
    const sentAtMs = CLOCK.nowMs();
    const received = await bench.sendRequest('/drafts/x', { model: 'a' });
    expect(received.status).to.equal(503);
    expect(Number(received.headers['retry-after'])).to.be.within(1.5, 2);
    expect(CLOCK.nowMs() - sentAtMs).to.be.below(300);
    await bench.sendRequest('/drafts/x', { model: 'a' });
    expect(bench.receivedRequests.length).to.equal(1);
  });
});

/** Arrival of a request at a server, and what the server stated in its answer. */
interface Arrival {
  readonly server: string;
  readonly atMs: number;
  readonly isLeaving: boolean;
  readonly pauseMs: number;
}

/** Sends concurrent requests to servers that leave and ask for pauses at random, and checks what arrives afterwards. */
async function checkNotices(makeCodec: () => HeaderCodec): Promise<void> {
  const plan = fc.array(
    fc.record({
      leavesAt: fc.oneof(fc.constant(Infinity), fc.nat(30)),
      pausesEvery: fc.integer({ min: 2, max: 12 }),
      pauseMs: fc.integer({ min: 100, max: 600 }),
      latencyMs: fc.nat(20),
    }),
    { minLength: 1, maxLength: 4 },
  );
  await fc.assert(
    fc.asyncProperty(plan, async (servers) => {
      const bench = new RouterBench(makeCodec());
      const arrivals: Arrival[] = [];
      for (const [index, { leavesAt, pausesEvery, pauseMs, latencyMs }] of servers.entries()) {
        let count = 0;
        const server = 's'.repeat(index + 1);
        const handle = (incoming: IncomingMessage, response: ServerResponse) => {
          const isLeaving = ++count > leavesAt;
          const isPausing = count % pausesEvery === 0;
          const headers = { ...(isLeaving ? LEAVING : {}) };
          setTimeout(() => {
            arrivals.push({ server, atMs: CLOCK.nowMs(), isLeaving, pauseMs: isPausing ? pauseMs : 0 });
            const handler = isPausing
              ? refuse(503, { ...headers, 'retry-after': String(pauseMs / 1_000) })
              : answer(headers);
            handler(incoming, response, '');
          }, latencyMs);
        };
        await bench.addServer(server, handle, ORDERS);
      }
      await bench.start([plainRoute]);
      try {
        for (let round = 0; round < 25; round++) {
          const requests = Array.from({ length: 3 }, () => bench.sendRequest('/plain/x'));
          await Promise.all([...requests, delay(CLOCK, 20)]);
        }
        checkArrivals(arrivals);
      } finally {
        await bench.close();
      }
    }),
    { numRuns: 12, seed: 1, endOnFailure: true },
  );
}

function checkArrivals(arrivals: readonly Arrival[]): void {
  for (const notice of arrivals) {
    const later = arrivals.filter(
      ({ server, atMs }) => server === notice.server && atMs > notice.atMs + IN_FLIGHT_MS,
    );
    if (notice.isLeaving) {
      expect(later, `requests at ${notice.server} after it said that it is leaving`).to.have.length(0);
    }
    const inPause = later.filter(({ atMs }) => atMs < notice.atMs + notice.pauseMs);
    expect(inPause, `requests at ${notice.server} during a pause`).to.have.length(0);
  }
}

/** Faulty codec that overlooks that a server is leaving. */
class OverlooksLeaving extends PlatformHeaderCodec {
  override decodeResponse(...args: Parameters<PlatformHeaderCodec['decodeResponse']>): ResponseHeaders {
    const decoded = super.decodeResponse(...args);
    return { ...decoded, serverNotice: { ...decoded.serverNotice, isLeaving: false } };
  }
}

/** Faulty codec that overlooks that a server asks for a pause. */
class OverlooksPause extends PlatformHeaderCodec {
  override decodeResponse(...args: Parameters<PlatformHeaderCodec['decodeResponse']>): ResponseHeaders {
    const decoded = super.decodeResponse(...args);
    return { ...decoded, serverNotice: { ...decoded.serverNotice, pauseMs: undefined } };
  }
}

describe('notices of servers under concurrent requests', function () {
  this.timeout(60_000);

  it('are obeyed by all requests that are sent after them', () =>
    checkNotices(() => new PlatformHeaderCodec()));

  for (const FaultyCodec of [OverlooksLeaving, OverlooksPause]) {
    it(`are found to be disobeyed with ${FaultyCodec.name}`, async () => {
      const failure = await checkNotices(() => new FaultyCodec()).catch((error: unknown) => error);
      expect(failure).to.be.instanceOf(Error);
    });
  }
});
