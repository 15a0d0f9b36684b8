import { expect } from 'chai';
import { PlatformHeaderCodec } from '../../platform/PlatformHeaderCodec.js';
import { type ResponseHeaders } from '../../src/direct/index.js';
import { ByteBudget, delay } from '../../src/kernel/index.js';
import { makeRoute, ORDERS } from './fleetFixtures.js';
import { CLOCK, RouterBench, makeResponseHeaders } from './RouterBench.js';

/** Time after which broken connections to one server count as another crash, in milliseconds. */
const SEPARATE_CRASHES_MS = 1_050;

const plainRoute = makeRoute({
  pathPrefix: '/plain/',
  kind: 'nonIdempotent',
  isResumable: false,
  targets: [{ serviceId: ORDERS, weight: 1 }],
});

/** Adds a header that cannot be sent. */
class AddsInvalidHeader extends PlatformHeaderCodec {
  override decodeResponse(...args: Parameters<PlatformHeaderCodec['decodeResponse']>): ResponseHeaders {
    const decoded = super.decodeResponse(...args);
    return { ...decoded, forwarded: { ...decoded.forwarded, 'x-note': 'a\nb' } };
  }
}

// Guards against accepted requests without an answer (issue 24, first matter): an exception while a response was passed on
// closed the caller's connection, or ended the process and with it all requests.
describe('CallerServer with responses that cannot be passed on', () => {
  let bench: RouterBench;
  beforeEach(() => {
    bench = new RouterBench(new AddsInvalidHeader());
  });
  afterEach(() => bench.close());

  it('answers with 502 in place of a body', async () => {
    await bench.addServer(
      'p',
      (incoming, response) => response.writeHead(200, makeResponseHeaders(incoming)).end('whole'),
      ORDERS,
    );
    await bench.start([plainRoute]);
    expect((await bench.sendRequest('/plain/x')).status).to.equal(502);
  });

  it('answers with 502 in place of a stream', async () => {
    await bench.addServer('s', (incoming, response) =>
      response.writeHead(200, makeResponseHeaders(incoming, 'text/event-stream')).end('data: 1\n\n'),
    );
    await bench.start([makeRoute({ isResumable: false, maxAttempts: 1 })]);
    expect((await bench.sendRequest('/drafts/x', { model: 'a' })).status).to.equal(502);
  });

  it('does not count a response for which it has no memory as a crash of the server', async () => {
    bench.bufferBudget = new ByteBudget(10);
    await bench.addServer(
      'p',
      (incoming, response) => response.writeHead(200, makeResponseHeaders(incoming)).end('longer than that'),
      ORDERS,
    );
    await bench.start([plainRoute]);
    for (let count = 0; count < 4; count++) {
      const received = await bench.sendRequest('/plain/x');
      expect(received.text).to.include('there is no memory left');
      await delay(CLOCK, SEPARATE_CRASHES_MS);
    }
  });
});
