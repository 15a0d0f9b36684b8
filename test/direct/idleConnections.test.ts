import { expect } from 'chai';
import { delay } from '../../src/kernel/index.js';
import type { CallerLimits } from '../../src/direct/index.js';
import { CallerConnection, formatRequest } from './CallerConnection.js';
import { ONCE_ROUTE, ORDERS } from './fleetFixtures.js';
import { CLOCK, makeResponseHeaders, RouterBench } from './RouterBench.js';

/** Time after which Node.js closes a connection with an idle limit of 100 ms, in milliseconds. */
const BEYOND_SHORT_LIMIT_MS = 1_400;
/** Time after which a connection with an idle limit of 100 ms is closed, in milliseconds. */
const BEYOND_CLOSE_DELAY_MS = 3_600;
/** Time after which a header timeout of 100 ms has ended a connection, in milliseconds. */
const BEYOND_HEADER_CHECK_MS = 2_500;

const makeRequest = (requestId: string) => formatRequest(requestId, '/once/x');

/** Blocks the process. */
function standStill(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

describe('idle connections of callers', function () {
  this.timeout(20_000);
  let bench: RouterBench;
  let connection: CallerConnection;

  beforeEach(async () => {
    bench = new RouterBench();
    await bench.addServer(
      'p',
      (incoming, response) => response.writeHead(200, makeResponseHeaders(incoming)).end('ok'),
      ORDERS,
    );
    await bench.start([ONCE_ROUTE]);
  });
  afterEach(async () => {
    connection.close();
    await bench.close();
  });

  const applyLimits = (limits: Partial<CallerLimits>) => bench.applyCallerLimits([ONCE_ROUTE], limits);

  /** Sends a request on the connection; resolves with the status of its response, or undefined if there is none. */
  function sendRequest(requestId: string): Promise<number | undefined> {
    connection.write(makeRequest(requestId));
    return connection.waitForStatus();
  }

  /** Connects and sends a first request, after which the connection is idle. */
  async function openIdle(): Promise<void> {
    connection = new CallerConnection(bench.callerPort);
    expect(await sendRequest('first')).to.equal(200);
  }

  // Issue 30, LOST beside a configuration: connections were closed at the old limit under requests of callers that already
  // went by the new one.
  it('are not closed at an old limit after the limit was raised', async () => {
    applyLimits({ idleTimeoutMs: 100 });
    await openIdle();
    applyLimits({ idleTimeoutMs: 5_000 });
    await delay(CLOCK, BEYOND_SHORT_LIMIT_MS);
    expect(await sendRequest('next')).to.equal(200);
  });

  it('stay open for the longest limit in force while they were idle', async () => {
    applyLimits({ idleTimeoutMs: 100 });
    await openIdle();
    for (const idleTimeoutMs of [200, 5_000, 50, 100]) {
      applyLimits({ idleTimeoutMs });
      await delay(CLOCK, 20);
    }
    await delay(CLOCK, BEYOND_CLOSE_DELAY_MS);
    expect(await sendRequest('next')).to.equal(200);
  });

  it('stay open for the limit that their last response announced', async () => {
    applyLimits({ idleTimeoutMs: 5_000 });
    await openIdle();
    expect(connection.received).to.contain('Keep-Alive: timeout=5\r\n');
    applyLimits({ idleTimeoutMs: 100 });
    await delay(CLOCK, BEYOND_CLOSE_DELAY_MS);
    expect(await sendRequest('next')).to.equal(200);
  });

  it('are closed some time after the limit of their last request', async () => {
    applyLimits({ idleTimeoutMs: 5_000 });
    await openIdle();
    applyLimits({ idleTimeoutMs: 100 });
    expect(await sendRequest('next')).to.equal(200);
    await delay(CLOCK, BEYOND_CLOSE_DELAY_MS);
    expect(connection.isEnded).to.equal(true);
  });

  it('are closed if they never had a request', async () => {
    applyLimits({ idleTimeoutMs: 100 });
    connection = new CallerConnection(bench.callerPort);
    await delay(CLOCK, BEYOND_SHORT_LIMIT_MS);
    expect(connection.isEnded).to.equal(false);
    await delay(CLOCK, BEYOND_CLOSE_DELAY_MS);
    expect([connection.isEnded, connection.received]).to.deep.equal([true, '']);
  });

  it('do not include those whose request is being received or served', async () => {
    applyLimits({ idleTimeoutMs: 100 });
    connection = new CallerConnection(bench.callerPort);
    const text = makeRequest('slow');
    for (let sent = 0; sent < text.length; sent += 15) {
      connection.write(text.slice(sent, sent + 15));
      await delay(CLOCK, 500);
    }
    expect(await connection.waitForStatus()).to.equal(200);
  });

  // Issue 30, LOST: a router that had stood still closed idle connections before it read the requests that had arrived.
  it('are not closed under a request that arrived while the process stood still', async () => {
    applyLimits({ idleTimeoutMs: 100 });
    await openIdle();
    connection.write(makeRequest('next'));
    standStill(BEYOND_CLOSE_DELAY_MS);
    expect(await connection.waitForStatus()).to.equal(200);
  });

  // The same before a stopping router closes all idle connections, 2.8 s after the signal.
  it('are not closed by a stopping router under a request that arrived while the process stood still', async () => {
    await openIdle();
    const stopped = bench.stopRouter();
    await delay(CLOCK, 2_500);
    connection.write(makeRequest('next'));
    standStill(600);
    // Read before or after the router began to refuse requests.
    expect(await connection.waitForStatus()).to.be.oneOf([200, 503]);
    await stopped;
  });

  // Issue 30, LOST: at the check of the header timeout, connections without a request were answered 400 and ended, but
  // requests that arrived then were still read and run.
  it('are not ended by the header timeout if they never had a request', async () => {
    applyLimits({ headerTimeoutMs: 100 });
    connection = new CallerConnection(bench.callerPort);
    await delay(CLOCK, BEYOND_HEADER_CHECK_MS);
    expect([connection.isEnded, connection.received]).to.deep.equal([false, '']);
    expect(await sendRequest('first')).to.equal(200);
  });

  it('are ended with 408 if a head exceeds the header timeout, and its request is never run', async () => {
    applyLimits({ headerTimeoutMs: 100 });
    await openIdle();
    const text = makeRequest('late');
    connection.write(text.slice(0, 30));
    await delay(CLOCK, BEYOND_HEADER_CHECK_MS);
    expect([connection.status, connection.isEnded]).to.deep.equal([408, true]);
    connection.write(text.slice(30));
    await delay(CLOCK, 200);
    expect(bench.receivedRequests.map(({ headers }) => headers['request-id'])).to.deep.equal(['first']);
  });

  // Issue 30, review: after a refusal, a caller that went on to send held the connection open for ever.
  it('are closed after a refusal although their callers go on sending', async () => {
    applyLimits({ headerTimeoutMs: 100, idleTimeoutMs: 100 });
    await openIdle();
    connection.write(makeRequest('late').slice(0, 30));
    await delay(CLOCK, BEYOND_HEADER_CHECK_MS);
    expect(connection.status).to.equal(408);
    for (let sentMs = 0; sentMs < BEYOND_CLOSE_DELAY_MS; sentMs += 200) {
      connection.write('x');
      await delay(CLOCK, 200);
    }
    expect(connection.isClosed).to.equal(true);
  });

  it('are not ended if the rest of a late head arrived while the process stood still', async () => {
    applyLimits({ headerTimeoutMs: 1_000 });
    await openIdle();
    const text = makeRequest('next');
    connection.write(text.slice(0, 30));
    await delay(CLOCK, 100);
    connection.write(text.slice(30));
    standStill(BEYOND_HEADER_CHECK_MS);
    expect(await connection.waitForStatus()).to.equal(200);
  });
});
