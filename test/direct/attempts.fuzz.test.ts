import { expect } from 'chai';
import * as fc from 'fast-check';
import { PlatformHeaderCodec } from '../../platform/PlatformHeaderCodec.js';
import type { ResponseHeaders, HeaderCodec, Route } from '../../src/direct/index.js';
import { makeRoute, ORDERS } from './fleetFixtures.js';
import { RouterBench, makeResponseHeaders, type ReceivedResponse, type Handler } from './RouterBench.js';

/** Behaviours of a server that receives a request. */
const BEHAVIOURS = [
  'answer',
  'fail',
  'refuse',
  'cutBefore',
  'cutWithin',
  'silence',
  'foreign',
  'unsigned',
] as const;
type Behaviour = (typeof BEHAVIOURS)[number];

/** Whether a caller must assume that a server with this behaviour has run the request. */
const MAY_HAVE_RUN: Readonly<Record<Behaviour, boolean>> = {
  answer: true,
  fail: true,
  refuse: false,
  cutBefore: true,
  cutWithin: true,
  silence: true,
  foreign: true,
  unsigned: true,
};

function makeHandler(behaviour: Behaviour, runs: string[], id: string): Handler {
  return (incoming, response) => {
    if (MAY_HAVE_RUN[behaviour]) {
      runs.push(id);
    }
    switch (behaviour) {
      case 'answer':
        response.writeHead(200, makeResponseHeaders(incoming)).end(`whole ${id}`);
        return;
      case 'fail':
        response.writeHead(500, makeResponseHeaders(incoming)).end(`failed ${id}`);
        return;
      case 'refuse':
        response.writeHead(503, { 'not-run': '1' }).end();
        return;
      case 'cutBefore':
        incoming.socket.destroy();
        return;
      case 'cutWithin':
        response.writeHead(200, { ...makeResponseHeaders(incoming), 'content-length': '100' }).write('half');
        setTimeout(() => incoming.socket.destroy(), 5);
        return;
      case 'silence':
        return;
      case 'foreign':
        response
          .writeHead(200, { ...makeResponseHeaders(incoming), 'request-id': 'other' })
          .end('of another');
        return;
      case 'unsigned':
        response.writeHead(200, { 'request-id': String(incoming.headers['request-id']) }).end('unsigned');
        return;
    }
  };
}

function makePlainRoute(kind: 'idempotent' | 'nonIdempotent', maxAttempts: number): Route {
  return makeRoute({
    kind,
    isResumable: false,
    pathPrefix: '/plain/',
    targets: [{ serviceId: ORDERS, weight: 1 }],
    timeoutMs: 700,
    latencyTargetMs: 60,
    maxAttempts,
  });
}

/** Checks the response that a caller received against the servers that may have run the request. */
function checkResponse(
  kind: string,
  maxAttempts: number,
  received: ReceivedResponse | undefined,
  runs: readonly string[],
): void {
  expect(runs.length).to.be.at.most(kind === 'nonIdempotent' ? 1 : maxAttempts);
  if (received === undefined) {
    return;
  }
  if (received.status === 503) {
    expect(runs).to.deep.equal([]);
    expect(Number(received.headers['retry-after'])).to.be.greaterThan(0);
  }
  if (received.status === 200) {
    expect(received.headers['response-stamp']).to.equal('s');
    expect(received.text).to.match(/^whole /);
  }
  if (received.status === 500) {
    expect(received.text).to.match(/^failed /);
  }
}

/** Generates servers of any behaviour behind a real router and checks the response that the caller receives. */
function checkAttempts(makeCodec: () => HeaderCodec): Promise<void> {
  const scenario = fc.record({
    kind: fc.constantFrom('idempotent' as const, 'nonIdempotent' as const),
    behaviours: fc.array(fc.constantFrom(...BEHAVIOURS), { minLength: 1, maxLength: 3 }),
  });
  return fc.assert(
    fc.asyncProperty(scenario, async ({ kind, behaviours }) => {
      const maxAttempts = kind === 'idempotent' ? 2 : 1;
      const bench = new RouterBench(makeCodec());
      const runs: string[] = [];
      for (const [index, behaviour] of behaviours.entries()) {
        const id = 'p'.repeat(index + 1);
        await bench.addServer(id, makeHandler(behaviour, runs, id), ORDERS);
      }
      await bench.start([makePlainRoute(kind, maxAttempts)]);
      try {
        const received = await bench.sendRequest('/plain/x').catch(() => undefined);
        checkResponse(kind, maxAttempts, received, runs);
      } finally {
        await bench.close();
      }
    }),
    { numRuns: 80, seed: 1, endOnFailure: true },
  );
}

/** Injected fault: treats every error response as a statement that the request did not run. */
class TreatsFailureAsNotRun extends PlatformHeaderCodec {
  override decodeResponse(...args: Parameters<PlatformHeaderCodec['decodeResponse']>): ResponseHeaders {
    const decoded = super.decodeResponse(...args);
    return { ...decoded, isNotRun: decoded.isNotRun || args[0] >= 500 };
  }
}

/** Injected fault: accepts responses that are unsigned or belong to another request. */
class AcceptsAnyResponse extends PlatformHeaderCodec {
  override decodeResponse(...args: Parameters<PlatformHeaderCodec['decodeResponse']>): ResponseHeaders {
    return { ...super.decodeResponse(...args), isAuthentic: true };
  }
}

/** Injected fault: leaves out the time after which the caller should retry. */
class OmitsRetryAfter extends PlatformHeaderCodec {
  override encodeRefusal(requestId: string | undefined): ReturnType<PlatformHeaderCodec['encodeRefusal']> {
    return super.encodeRefusal(requestId, undefined);
  }
}

describe('attempts', function () {
  this.timeout(60_000);

  it('meet the guarantees to the caller with up to three servers of any behaviour', async () => {
    await checkAttempts(() => new PlatformHeaderCodec());
  });

  for (const FaultyCodec of [TreatsFailureAsNotRun, AcceptsAnyResponse, OmitsRetryAfter]) {
    it(`are detected as faulty with ${FaultyCodec.name}`, async () => {
      const failure = await checkAttempts(() => new FaultyCodec()).catch((error: unknown) => error);
      expect(failure).to.be.instanceOf(Error);
    });
  }
});
