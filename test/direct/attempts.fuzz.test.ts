import { expect } from 'chai';
import * as fc from 'fast-check';
import { PlatformHeaderCodec } from '../../platform/PlatformHeaderCodec.js';
import type { ResponseHeaders, HeaderCodec, Route } from '../../src/direct/index.js';
import { makeRoute, ORDERS } from './fleetFixtures.js';
import { RouterBench, stamped, type CallerGot, type Handler } from './RouterBench.js';

/** What a server may do with a request. */
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

/** Whether a server that behaves so has run the request, as far as a caller must assume. */
const RUNS: Readonly<Record<Behaviour, boolean>> = {
  answer: true,
  fail: true,
  refuse: false,
  cutBefore: true,
  cutWithin: true,
  silence: true,
  foreign: true,
  unsigned: true,
};

function handlerOf(behaviour: Behaviour, runs: string[], id: string): Handler {
  return (incoming, response) => {
    if (RUNS[behaviour]) {
      runs.push(id);
    }
    switch (behaviour) {
      case 'answer':
        response.writeHead(200, stamped(incoming)).end(`whole ${id}`);
        return;
      case 'fail':
        response.writeHead(500, stamped(incoming)).end(`failed ${id}`);
        return;
      case 'refuse':
        response.writeHead(503, { 'not-run': '1' }).end();
        return;
      case 'cutBefore':
        incoming.socket.destroy();
        return;
      case 'cutWithin':
        response.writeHead(200, { ...stamped(incoming), 'content-length': '100' }).write('half');
        setTimeout(() => incoming.socket.destroy(), 5);
        return;
      case 'silence':
        return;
      case 'foreign':
        response.writeHead(200, { ...stamped(incoming), 'request-id': 'other' }).end('of another');
        return;
      case 'unsigned':
        response.writeHead(200, { 'request-id': String(incoming.headers['request-id']) }).end('unsigned');
        return;
    }
  };
}

function routeOf(kind: 'idempotent' | 'nonIdempotent', maxAttempts: number): Route {
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

/** Checks what a caller was told against what the servers did. */
function checkPromises(
  kind: string,
  maxAttempts: number,
  got: CallerGot | undefined,
  runs: readonly string[],
): void {
  expect(runs.length).to.be.at.most(kind === 'nonIdempotent' ? 1 : maxAttempts);
  if (got === undefined) {
    return;
  }
  if (got.status === 503) {
    expect(runs).to.deep.equal([]);
    expect(Number(got.headers['retry-after'])).to.be.greaterThan(0);
  }
  if (got.status === 200) {
    expect(got.headers['response-stamp']).to.equal('s');
    expect(got.text).to.match(/^whole /);
  }
  if (got.status === 500) {
    expect(got.text).to.match(/^failed /);
  }
}

/** Draws servers of any behaviour behind a real router and checks what its caller is told. */
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
        await bench.addServer(id, handlerOf(behaviour, runs, id), ORDERS);
      }
      await bench.start([routeOf(kind, maxAttempts)]);
      try {
        const got = await bench.call('/plain/x').catch(() => undefined);
        checkPromises(kind, maxAttempts, got, runs);
      } finally {
        await bench.close();
      }
    }),
    { numRuns: 80, seed: 1, endOnFailure: true },
  );
}

/** Takes every failure for a statement that the request was not run. */
class FailureIsNotRun extends PlatformHeaderCodec {
  override decodeResponse(...args: Parameters<PlatformHeaderCodec['decodeResponse']>): ResponseHeaders {
    const answer = super.decodeResponse(...args);
    return { ...answer, isNotRun: answer.isNotRun || args[0] >= 500 };
  }
}

/** Believes answers that are unsigned or another request's. */
class BelievesAnyAnswer extends PlatformHeaderCodec {
  override decodeResponse(...args: Parameters<PlatformHeaderCodec['decodeResponse']>): ResponseHeaders {
    return { ...super.decodeResponse(...args), isAuthentic: true };
  }
}

/** Does not tell a caller when to come back. */
class SilentRefusals extends PlatformHeaderCodec {
  override encodeRefusal(requestId: string | undefined): ReturnType<PlatformHeaderCodec['encodeRefusal']> {
    return super.encodeRefusal(requestId, undefined);
  }
}

describe('attempts', function () {
  this.timeout(60_000);

  it('keep every promise to the caller, whatever three servers do', async () => {
    await checkAttempts(() => new PlatformHeaderCodec());
  });

  for (const Broken of [FailureIsNotRun, BelievesAnyAnswer, SilentRefusals]) {
    it(`are caught with ${Broken.name}`, async () => {
      const failure = await checkAttempts(() => new Broken()).catch((error: unknown) => error);
      expect(failure).to.be.instanceOf(Error);
    });
  }
});
