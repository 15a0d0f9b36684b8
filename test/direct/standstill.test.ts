import { expect } from 'chai';
import { standStill } from '../standStill.js';
import { makeRoute, ORDERS } from './fleetFixtures.js';
import { makeResponseHeaders, RouterBench, type Handler } from './RouterBench.js';

const REQUEST_COUNT = 20;
/** Time in which a server responds, in milliseconds. */
const RESPONSE_MS = 100;
/** Timeout of the route, in milliseconds. */
const ROUTE_TIMEOUT_MS = 800;
/** Time for which the router's process stands still, in milliseconds. */
const STANDSTILL_MS = 1_200;

const route = makeRoute({
  pathPrefix: '/plain/',
  kind: 'idempotent',
  isResumable: false,
  targets: [{ serviceId: ORDERS, weight: 1 }],
  timeoutMs: ROUTE_TIMEOUT_MS,
  latencyTargetMs: 400,
});

describe('RequestForwarder in a process that stands still', function () {
  this.timeout(20_000);

  // Guards against requests that were lost although their responses had arrived: after a standstill the deadlines expired
  // before the responses were received (issue 30, first matter).
  it('passes on responses that arrived in time, and sends no request twice', async () => {
    const bench = new RouterBench();
    const respondAll: (() => void)[] = [];
    const respondAndStandStill = () => {
      for (const respond of respondAll) {
        respond();
      }
      // The responses are in the router's sockets now, and the timers run next.
      standStill(STANDSTILL_MS);
    };
    const handler: Handler = (incoming, response) => {
      respondAll.push(() => response.writeHead(200, makeResponseHeaders(incoming)).end('whole'));
      if (respondAll.length === REQUEST_COUNT) {
        setTimeout(() => setImmediate(respondAndStandStill), RESPONSE_MS);
      }
    };
    await bench.addServer('first', handler, ORDERS);
    await bench.addServer('second', handler, ORDERS);
    await bench.start([route]);
    const responses = await Promise.all(
      Array.from({ length: REQUEST_COUNT }, (_, index) =>
        bench.sendRequest('/plain/x', { 'request-id': `r${index}` }),
      ),
    );
    await bench.close();
    expect(responses.map(({ status }) => status)).to.deep.equal(Array(REQUEST_COUNT).fill(200));
    expect(bench.receivedRequests).to.have.length(REQUEST_COUNT);
  });
});
