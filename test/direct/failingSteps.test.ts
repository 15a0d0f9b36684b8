import { expect } from 'chai';
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import { PlatformHeaderCodec } from '../../platform/PlatformHeaderCodec.js';
import type { RequestHeaders } from '../../src/direct/index.js';
import { ByteBudget } from '../../src/kernel/index.js';
import { Log } from '../../src/telemetry/index.js';
import { waitUntil } from '../waiting.js';
import { CallerConnection } from './CallerConnection.js';
import { ONCE_ROUTE, ORDERS } from './fleetFixtures.js';
import { makeResponseHeaders, RouterBench } from './RouterBench.js';

const BUDGET_BYTES = 10 * 1024 * 1024;
const WAIT_MS = 3_000;

/** Log that keeps the IDs of failed requests. */
class FailureLog extends Log {
  readonly failedIds: unknown[] = [];

  constructor() {
    super('test', () => undefined);
  }

  override warn(change: string, fields: Readonly<Record<string, string | number | boolean>> = {}): void {
    if (change === 'request failed') {
      this.failedIds.push(fields.requestId);
    }
  }
}

/** Codec that fails for requests with certain IDs. */
class FaultyCodec extends PlatformHeaderCodec {
  /** Number of decodings that succeed for a request whose ID is `faulty`. */
  soundCount = 0;
  failsToRefuse = false;

  override decodeRequest(headers: IncomingHttpHeaders): RequestHeaders | undefined {
    if (headers['request-id'] === 'faulty' && this.soundCount-- <= 0) {
      throw new Error('faulty decoding');
    }
    return super.decodeRequest(headers);
  }

  override encodeRefusal(
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ): OutgoingHttpHeaders {
    if (this.failsToRefuse) {
      throw new Error('faulty refusal');
    }
    return super.encodeRefusal(requestId, retryAfterMs);
  }
}

describe('CallerServer handle', function () {
  this.timeout(10_000);
  let bench: RouterBench;
  let codec: FaultyCodec;
  let connection: CallerConnection;
  let log: FailureLog;

  beforeEach(async () => {
    codec = new FaultyCodec();
    bench = new RouterBench(codec);
    log = new FailureLog();
    bench.log = log;
    bench.bodyBudget = new ByteBudget(BUDGET_BYTES);
    await bench.addServer(
      'p',
      (incoming, response) => response.writeHead(200, makeResponseHeaders(incoming)).end('ok'),
      ORDERS,
    );
    await bench.start([ONCE_ROUTE]);
    connection = new CallerConnection(bench.callerPort);
  });
  afterEach(async () => {
    connection.close();
    await bench.close();
  });

  function send(length: number): void {
    const head = [
      'POST /once/x HTTP/1.1',
      'Host: a.example',
      'Request-Id: faulty',
      `Content-Length: ${length}`,
    ];
    connection.write(`${head.join('\r\n')}\r\n\r\nx`);
  }

  /** Checks that the error was logged, that the budget is free and that other requests are served. */
  async function expectContained(): Promise<void> {
    expect(log.failedIds).to.deep.equal(['faulty']);
    await waitUntil(() => bench.bodyBudget.hasRoom(BUDGET_BYTES), WAIT_MS);
    expect(bench.bodyBudget.hasRoom(BUDGET_BYTES)).to.equal(true);
    codec.failsToRefuse = false;
    expect((await bench.sendRequest('/once/x')).status).to.equal(200);
  }

  const STEPS = [
    { step: 'begins', soundCount: 0, length: 1 },
    { step: 'is routed', soundCount: 1, length: 1 },
    { step: 'is refused for its body', soundCount: 1, length: 50_000_000 },
  ];
  for (const { step, soundCount, length } of STEPS) {
    // Issue 39, FAULT: an error in the listener was logged, and the caller stayed without an answer.
    it(`answers a request with 502 that fails when it ${step}`, async () => {
      codec.soundCount = soundCount;
      send(length);
      await waitUntil(() => connection.isComplete, WAIT_MS);
      expect([connection.status, connection.isLast]).to.deep.equal([502, true]);
      expect(connection.received).to.match(/Request-Id: faulty/i);
      await expectContained();
    });
  }

  // Issue 39, FAULT: an error in the listener was logged, and the connection stayed open.
  it('closes the connection of a request that fails and cannot be refused', async () => {
    codec.failsToRefuse = true;
    send(1);
    await waitUntil(() => connection.isEnded, WAIT_MS);
    expect([connection.isEnded, connection.status]).to.deep.equal([true, undefined]);
    await expectContained();
  });
});
