import { expect } from 'chai';
import { ByteBudget, delay } from '../../src/kernel/index.js';
import { waitUntil } from '../waiting.js';
import { CallerConnection } from './CallerConnection.js';
import { ONCE_ROUTE, ORDERS } from './fleetFixtures.js';
import { CLOCK, makeResponseHeaders, RouterBench } from './RouterBench.js';

const MIB = 1024 * 1024;
/** Share of the budget that only small bodies may take. */
const SMALL_BODIES_SHARE = 1 / 6;
/** Room for the heads of a few requests, in bytes. */
const HEADS_BYTES = 64 * 1024;
const BUDGET_BYTES = (2 * MIB + HEADS_BYTES) / (1 - SMALL_BODIES_SHARE);
/** Part of the budget that only small bodies may take, in bytes. */
const SMALL_BODIES_BYTES = BUDGET_BYTES * SMALL_BODIES_SHARE;
const LARGE_BODY = 'x'.repeat(1.5 * MIB);
const WAIT_MS = 5_000;

describe('bodies of requests', function () {
  this.timeout(20_000);
  let bench: RouterBench;
  let connections: CallerConnection[];
  let isHolding: boolean;

  beforeEach(async () => {
    bench = new RouterBench();
    bench.bodyBudget = new ByteBudget(BUDGET_BYTES);
    connections = [];
    isHolding = false;
    await bench.addServer(
      'p',
      (incoming, response) => {
        if (!isHolding) {
          response.writeHead(200, makeResponseHeaders(incoming)).end('ok');
        }
      },
      ORDERS,
    );
    await bench.start([{ ...ONCE_ROUTE, timeoutMs: 1_500 }]);
    bench.applyCallerLimits([{ ...ONCE_ROUTE, timeoutMs: 1_500 }], { maxBodyBytes: 4 * MIB });
  });
  afterEach(async () => {
    for (const connection of connections) {
      connection.close();
    }
    await bench.close();
  });

  const getRunIds = () => bench.receivedRequests.map(({ headers }) => headers['request-id']);

  /** Sends the head of a request and a part of its body on a new connection. */
  function send(requestId: string, part: string, headers: readonly string[]): CallerConnection {
    const connection = new CallerConnection(bench.callerPort);
    connections.push(connection);
    const lines = ['POST /once/x HTTP/1.1', 'Host: a.example', `Request-Id: ${requestId}`, ...headers];
    connection.write(`${lines.join('\r\n')}\r\n\r\n${part}`);
    return connection;
  }

  const sendPart = (requestId: string, part: string, length = LARGE_BODY.length, headers: string[] = []) =>
    send(requestId, part, [`Content-Length: ${length}`, ...headers]);
  const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

  /** Whether the whole budget is free again. */
  async function expectReleased(): Promise<void> {
    const isFree = () => {
      const isTaken = bench.bodyBudget.tryTake(BUDGET_BYTES);
      if (isTaken) {
        bench.bodyBudget.release(BUDGET_BYTES);
      }
      return isTaken;
    };
    await waitUntil(isFree, WAIT_MS);
    expect(isFree()).to.equal(true);
  }

  describe('that exceed the budget together', () => {
    beforeEach(async () => {
      sendPart('held', LARGE_BODY.slice(1));
      await delay(CLOCK, 100);
    });

    it('are refused at once with status 503, and their connections end', async () => {
      const connection = sendPart('refused', 'x');
      expect(await connection.waitForStatus()).to.equal(503);
      expect(connection.received)
        .to.match(/Retry-After: 1\.000/i)
        .and.match(/Request-Id: refused/i);
      await waitUntil(() => connection.isEnded, WAIT_MS);
      expect([connection.isLast, connection.isEnded]).to.deep.equal([true, true]);
      expect(getRunIds()).to.deep.equal([]);
    });

    it('are refused once their unknown length exceeds it', async () => {
      const connection = send('refused', '', ['Transfer-Encoding: chunked']);
      connection.write(toChunk('x'.repeat(MIB / 2)));
      await delay(CLOCK, 100);
      expect(connection.status).to.equal(undefined);
      connection.write(toChunk(LARGE_BODY));
      expect(await connection.waitForStatus()).to.equal(503);
    });

    it('are refused legibly to a caller that sends all of its body first', async () => {
      const connection = sendPart('refused', LARGE_BODY);
      await connection.waitForEnd();
      expect([connection.status, connection.isComplete]).to.deep.equal([503, true]);
    });

    it('are refused once, though bytes that are no chunk follow', async () => {
      const connection = send('refused', toChunk(LARGE_BODY), ['Transfer-Encoding: chunked']);
      expect(await connection.waitForStatus()).to.equal(503);
      const { received } = connection;
      connection.write('no chunk\r\n');
      await waitUntil(() => connection.isEnded, WAIT_MS);
      expect([received.includes('503'), connection.received]).to.deep.equal([true, '']);
    });

    it('leave room for small ones', async () => {
      expect((await bench.sendRequest('/once/x', {}, 'x'.repeat(60_000))).status).to.equal(200);
    });
  });

  describe('that declare a large size', () => {
    // Issue 39, FAULT: twelve callers that sent little of the bodies they declared kept out all other large ones until the deadline.
    it('do not keep out others before they arrive', async () => {
      const stalled = Array.from({ length: 4 }, (_, index) => sendPart(`stalled${index}`, 'x'));
      await delay(CLOCK, 100);
      expect((await bench.sendRequest('/once/x', {}, LARGE_BODY)).status).to.equal(200);
      expect(stalled.map(({ status }) => status)).to.deep.equal(Array(4).fill(undefined));
    });

    it('are refused at once if they find no room midway, so that others become complete', async () => {
      const [first, second] = [LARGE_BODY.slice(0, MIB / 2), LARGE_BODY.slice(MIB / 2)];
      const callers = Array.from({ length: 6 }, (_, index) => sendPart(`r${index}`, 'x'));
      await delay(CLOCK, 100);
      for (const part of [first.slice(1), second]) {
        for (const caller of callers) {
          caller.writeRest(part);
        }
        await delay(CLOCK, 100);
      }
      const statuses = await Promise.all(callers.map((caller) => caller.waitForStatus()));
      expect([...new Set(statuses)].sort()).to.deep.equal([200, 503]);
      await expectReleased();
    });

    it('take no room that is left for small ones', async () => {
      for (let index = 0; index < 3; index++) {
        sendPart(`stalled${index}`, 'x'.repeat(16 * 1024));
      }
      await delay(CLOCK, 100);
      expect(bench.bodyBudget.tryTake(SMALL_BODIES_BYTES + MIB)).to.equal(true);
      expect(await sendPart('refused', 'x').waitForStatus()).to.equal(503);
      expect((await bench.sendRequest('/once/x', {}, 'x'.repeat(60_000))).status).to.equal(200);
      bench.bodyBudget.release(SMALL_BODIES_BYTES + MIB);
    });
  });

  describe('release their part of the budget', () => {
    it('when the response is complete', async () => {
      expect((await bench.sendRequest('/once/x', {}, LARGE_BODY)).status).to.equal(200);
      await expectReleased();
    });

    it('when the caller leaves while its request runs', async () => {
      isHolding = true;
      await bench.sendRequest('/once/x', {}, LARGE_BODY, 300).catch(() => undefined);
      expect(getRunIds()).to.have.length(1);
      await expectReleased();
    });

    it('when the caller leaves in the middle of the body', async () => {
      const connection = sendPart('left', 'x');
      await delay(CLOCK, 50);
      expect(bench.bodyBudget.tryTake(BUDGET_BYTES)).to.equal(false);
      connection.close();
      await expectReleased();
    });

    it('when the body is refused', async () => {
      const connection = sendPart('large', 'x', 5 * MIB);
      expect(await connection.waitForStatus()).to.equal(413);
      await expectReleased();
    });
  });

  describe('that are late', () => {
    // Issue 39, FAULT: a body that stalled was kept for ever.
    it('are refused with status 408 at the timeout of the route', async () => {
      const connection = sendPart('late', 'x');
      await delay(CLOCK, 1_200);
      expect(connection.status).to.equal(undefined);
      expect(await connection.waitForStatus()).to.equal(408);
      expect(connection.isLast).to.equal(true);
      await expectReleased();
      await waitUntil(() => connection.isEnded, WAIT_MS);
      expect([connection.isEnded, getRunIds()]).to.deep.equal([true, []]);
    });

    it("are refused at their caller's deadline, though bytes still arrive", async () => {
      const connection = sendPart('late', 'x', LARGE_BODY.length, ['Deadline-Ms: 500']);
      for (let sent = 0; sent < 10 && connection.status === undefined; sent++) {
        connection.write('x');
        await delay(CLOCK, 100);
      }
      expect(connection.status).to.equal(408);
    });

    it('do not include slow ones that are complete before', async () => {
      const connection = sendPart('slow', '', 10);
      for (let sent = 0; sent < 10; sent++) {
        connection.write('x');
        await delay(CLOCK, 100);
      }
      expect(await connection.waitForStatus()).to.equal(200);
    });
  });

  it('arrive unchanged, with their length and in chunks', async () => {
    const [first, second] = ['a'.repeat(200_000), 'b'.repeat(100_000)];
    await sendPart('whole', first + second, 300_000).waitForStatus();
    const chunked = send('chunked', toChunk(first), ['Transfer-Encoding: chunked']);
    await delay(CLOCK, 50);
    chunked.write(`${toChunk(second)}0\r\n\r\n`);
    expect(await chunked.waitForStatus()).to.equal(200);
    expect(bench.receivedRequests.map(({ body }) => body === first + second)).to.deep.equal([true, true]);
  });
});
