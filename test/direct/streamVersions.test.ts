import { expect } from 'chai';
import { delay } from '../../src/kernel/index.js';
import { EngineFleet } from './EngineFleet.js';
import { ENGINES, makeReport, makeRoute } from './fleetFixtures.js';
import { CLOCK, makeResponseHeaders, RouterBench, type Handler } from './RouterBench.js';

const FIRST_EVENT = 'id: 1\ndata: x\n\n';
const SECOND_EVENT = 'id: 2\ndata: y\n\n';
/** Time after which a report of an agent is outdated, in milliseconds. */
const OUTDATED_REPORT_MS = 2_600;
const STREAM_COUNT = 6;
const RETURN_COUNT = 4;
/** Time in which a request that cannot be served must be refused, in milliseconds. */
const REFUSAL_LIMIT_MS = 500;

/** Sends the first event of a new stream and then the given end; completes a stream that continues. */
function beginAnd(end: 'breaks off' | 'is silent'): Handler {
  return (incoming, response) => {
    response.writeHead(200, makeResponseHeaders(incoming, 'text/event-stream'));
    if (incoming.headers['last-event-id'] !== undefined) {
      response.end(SECOND_EVENT);
      return;
    }
    response.write(FIRST_EVENT);
    if (end === 'breaks off') {
      setTimeout(() => incoming.socket.destroy(), 20);
    }
  };
}

describe('a stream that continues at another server', function () {
  this.timeout(20_000);
  let bench: RouterBench;
  beforeEach(() => {
    bench = new RouterBench();
  });
  afterEach(() => bench.close());

  const versionsByServer = new Map<string, string>();

  // Issue 30, BUDGET: routers that no agent had told their number took the whole slack each.
  it('does so nowhere while no agent has reported the number of routers', async () => {
    bench.isAgentKnown = false;
    await addServers('breaks off', ['v1', 'v1']);
    const received = await bench.sendRequest('/drafts/x', { model: 'a' });
    expect([received.text, received.isComplete]).to.deep.equal([FIRST_EVENT, false]);
    expect(getVersions()).to.have.length(1);
  });

  async function addServers(end: 'breaks off' | 'is silent', versions: readonly string[]): Promise<void> {
    for (const [index, softwareVersion] of versions.entries()) {
      versionsByServer.set('s'.repeat(index + 1), softwareVersion);
      await bench.addServer('s'.repeat(index + 1), beginAnd(end), ENGINES, { softwareVersion });
    }
    await bench.start([makeRoute({ timeoutMs: 1_500, latencyTargetMs: 150 })]);
  }

  /** Returns the versions of the servers that received the request, in order. */
  function getVersions(): (string | undefined)[] {
    return bench.receivedRequests.map(({ server }) => versionsByServer.get(server));
  }

  for (const end of ['breaks off', 'is silent'] as const) {
    // Issue 27, ORDER: the stream went on at whichever server had the least load.
    it(`does so only at the software version that began it, when its server ${end}`, async () => {
      await addServers(end, ['v1', 'v1.1', 'v1', 'v1.1']);
      const received = await bench.sendRequest('/drafts/x', { model: 'a' });
      expect([received.text, received.isComplete]).to.deep.equal([FIRST_EVENT + SECOND_EVENT, true]);
      const [first, second] = getVersions();
      expect([first, getVersions().length]).to.deep.equal([second, 2]);
    });

    it(`does so nowhere if no server of that version is left, when its server ${end}`, async () => {
      await addServers(end, ['v1', 'v1.1', 'v1.2']);
      const received = await bench.sendRequest('/drafts/x', { model: 'a' });
      expect([received.text, received.isComplete]).to.deep.equal([FIRST_EVENT, false]);
      expect(getVersions()).to.have.length(1);
    });
  }
});

describe('a stream that its caller takes up again at a router that is out of step', function () {
  this.timeout(20_000);
  let bench: RouterBench;
  beforeEach(async () => {
    bench = new RouterBench();
    for (const id of ['s', 'ss']) {
      await bench.addServer(id, beginAnd('breaks off'), ENGINES, { softwareVersion: 'v1' });
    }
    await bench.start([makeRoute({ timeoutMs: 1_500, latencyTargetMs: 150 })]);
    reportAll();
  });
  afterEach(() => bench.close());

  function reportAll(): void {
    for (const entry of [...bench.view.getEntries()]) {
      bench.view.applyReport(makeReport(entry), CLOCK.nowMs());
    }
  }

  // Issue 36, ORDER: a server that starts again under its ID, with other software, takes a stream that a router sends it by an old list.
  it('is refused while the agents have not been heard for seconds, and continues when they are', async () => {
    await bench.sendRequest('/drafts/x', { model: 'a' }, 'x', 'first event');
    const takeUp = { model: 'a', resumes: 'r1', 'last-event-id': '1' };
    await delay(CLOCK, OUTDATED_REPORT_MS);
    const sentCount = bench.receivedRequests.length;
    const refused = await bench.sendRequest('/drafts/x', { ...takeUp, 'request-id': 'r2' });
    expect([refused.status, bench.receivedRequests.length]).to.deep.equal([503, sentCount]);
    reportAll();
    const continued = await bench.sendRequest('/drafts/x', { ...takeUp, 'request-id': 'r3' });
    expect([continued.status, continued.text]).to.deep.equal([200, SECOND_EVENT]);
  });
});

describe('a stream that its caller takes up again at another router', function () {
  this.timeout(60_000);
  const fleet = new EngineFleet('none');
  let requestCount = 0;

  before(() => fleet.start(6, 3, ['v1', 'v1.1']));
  after(() => fleet.close());

  async function send(
    router: RouterBench | undefined,
    headers: Record<string, string>,
    leavesAfter?: 'first event',
  ): Promise<{ requestId: string; status: number; tookMs: number }> {
    const requestId = `r${++requestCount}`;
    const sentAtMs = CLOCK.nowMs();
    const allHeaders = { model: 'a', 'request-id': requestId, ...headers };
    const response = await router?.sendRequest('/drafts/x', allHeaders, requestId, leavesAfter);
    return { requestId, status: response?.status ?? 0, tookMs: CLOCK.nowMs() - sentAtMs };
  }

  function getVersions(requestId: string): string[] {
    const arrivals = fleet.arrivals.filter((arrival) => arrival.requestId === requestId);
    return arrivals.map(({ softwareVersion }) => softwareVersion);
  }

  /** Begins streams at one router and takes each of them up several times at another one. */
  async function expectSameVersions(
    begins: RouterBench | undefined,
    continues: RouterBench | undefined,
    beforeReturn: () => Promise<void> = () => Promise.resolve(),
  ): Promise<void> {
    const begun: string[] = [];
    for (let count = 0; count < STREAM_COUNT; count++) {
      begun.push((await send(begins, {}, 'first event')).requestId);
    }
    await beforeReturn();
    for (const first of begun) {
      for (let count = 0; count < RETURN_COUNT; count++) {
        const headers = { resumes: first, 'last-event-id': '2' };
        const { requestId, status } = await send(continues, headers, 'first event');
        expect(status).to.equal(200);
        expect(getVersions(requestId)).to.deep.equal(getVersions(first));
      }
    }
  }

  // Issue 27, ORDER: a router that had not seen the stream begin sent it to servers of any version.
  it('continues at the software version that began it', () =>
    expectSameVersions(fleet.routers[0], fleet.routers[1]));

  it('continues at that version when the router that began it is lost', () =>
    expectSameVersions(fleet.routers[0], fleet.routers[1], async () => {
      await fleet.routers[0]?.close();
    }));

  it('continues at that version when the agents of two engines are lost', () =>
    expectSameVersions(fleet.routers[1], fleet.routers[2], async () => {
      const [first = '', second = ''] = fleet.engineAddresses;
      await fleet.stopAgent(first);
      await fleet.stopAgent(second);
      await delay(CLOCK, 100);
    }));

  it('is refused at once if nobody knows the version that began it and there are several', async () => {
    const headers = { resumes: 'unknown', 'last-event-id': '2' };
    const { requestId, status, tookMs } = await send(fleet.routers[2], headers);
    expect([status, getVersions(requestId)]).to.deep.equal([503, []]);
    expect(tookMs).to.be.lessThan(REFUSAL_LIMIT_MS);
  });
});
