import { expect } from 'chai';
import { delay } from '../../src/kernel/index.js';
import { EngineFleet } from './EngineFleet.js';
import { CLOCK, type ReceivedResponse, type RouterBench } from './RouterBench.js';

/** Limit that the servers name, in requests per second. */
const MAX_REQUESTS_PER_SECOND = 2;
/** Interval of the requests at each router, in milliseconds; together the routers send many times the limits. */
const REQUEST_INTERVAL_MS = 50;
/** Time from the first answer with a limit until it must be kept, in milliseconds. */
const STABLE_WINDOW_MS = 3_000;
/** Window in which requests are counted, in milliseconds. */
const COUNT_WINDOW_MS = 4_000;
/** Largest number of requests that a server may receive in a window. */
const MAX_ARRIVALS = 1.5 * MAX_REQUESTS_PER_SECOND * (COUNT_WINDOW_MS / 1_000) + 5;
/** Smallest share of the limit that must be used while requests are refused for it. */
const MIN_USED_SHARE = 0.7;
/** Time in which a request that cannot be served within the limits must be refused, in milliseconds. */
const REFUSAL_LIMIT_MS = 500;

describe('servers that limit their requests', function () {
  this.timeout(60_000);
  const fleet = new EngineFleet('none');
  const refusals: { readonly tookMs: number; readonly response: ReceivedResponse }[] = [];
  let plainAddress = '';
  let startedAtMs = 0;
  let requestCount = 0;

  before(async () => {
    await fleet.start(2, 3);
    plainAddress = await fleet.addPlainServer('plain', MAX_REQUESTS_PER_SECOND);
    fleet.limitEngines(MAX_REQUESTS_PER_SECOND);
    startedAtMs = CLOCK.nowMs();
    await sendTraffic(fleet.routers, STABLE_WINDOW_MS + COUNT_WINDOW_MS);
  });

  after(() => fleet.close());

  async function send(router: RouterBench, path: string, headers: Record<string, string>): Promise<void> {
    const sentAtMs = CLOCK.nowMs();
    const allHeaders = { ...headers, 'request-id': `r${++requestCount}` };
    const response = await router.sendRequest(path, allHeaders, `${requestCount}`).catch(() => undefined);
    if (response?.status === 503) {
      refusals.push({ tookMs: CLOCK.nowMs() - sentAtMs, response });
    }
  }

  async function sendTraffic(routers: readonly RouterBench[], durationMs: number): Promise<void> {
    const running: Promise<void>[] = [];
    const endsAtMs = CLOCK.nowMs() + durationMs;
    while (CLOCK.nowMs() < endsAtMs) {
      for (const router of routers) {
        running.push(send(router, '/drafts/x', { model: 'a' }), send(router, '/plain/x', {}));
      }
      await delay(CLOCK, REQUEST_INTERVAL_MS);
    }
    await Promise.all(running);
  }

  /** Returns the largest number of requests that a server received in a window since its limit had to be kept. */
  function countMostArrivals(address: string): number {
    const fromMs = startedAtMs + STABLE_WINDOW_MS;
    const times = fleet.arrivals.filter((arrival) => arrival.address === address).map(({ atMs }) => atMs);
    let most = 0;
    for (const start of times) {
      const isCounted = (atMs: number) => atMs >= start && atMs < start + COUNT_WINDOW_MS;
      most = Math.max(most, start < fromMs ? 0 : times.filter(isCounted).length);
    }
    return most;
  }

  function expectWithinLimits(): void {
    for (const address of [...fleet.engineAddresses, plainAddress]) {
      expect(countMostArrivals(address), address).to.be.at.most(MAX_ARRIVALS);
    }
  }

  // Issue 27, LIMIT: each router sent requests as if the server had named no limit.
  it('receive no more than that from all routers together', () => {
    expectWithinLimits();
  });

  it('receive most of what they accept', () => {
    const fromMs = CLOCK.nowMs() - COUNT_WINDOW_MS;
    for (const address of [...fleet.engineAddresses, plainAddress]) {
      const count = fleet.arrivals.filter(
        (arrival) => arrival.address === address && arrival.atMs >= fromMs,
      ).length;
      const accepted = (MAX_REQUESTS_PER_SECOND * COUNT_WINDOW_MS) / 1_000;
      expect(count, address).to.be.at.least(MIN_USED_SHARE * accepted);
    }
  });

  it('leave the other requests refused at once, with a time', () => {
    expect(refusals.length).to.be.greaterThan(100);
    const times = refusals.map(({ response }) => Number(response.headers['retry-after']));
    expect(times.filter((time) => !(time > 0))).to.deep.equal([]);
    expect(Math.max(...refusals.map(({ tookMs }) => tookMs))).to.be.lessThan(REFUSAL_LIMIT_MS);
  });

  it('receive no more than that when the agent beside one of them is lost', async () => {
    const [address = ''] = fleet.engineAddresses;
    await fleet.stopAgent(address);
    await sendTraffic(fleet.routers, COUNT_WINDOW_MS);
    expectWithinLimits();
  });

  it('receive no more than that when a router is lost and another one starts', async () => {
    await fleet.routers[0]?.close();
    const router = await fleet.addRouter();
    await sendTraffic([...fleet.routers.slice(1, -1), router], COUNT_WINDOW_MS);
    expectWithinLimits();
  });
});
