import { expect } from 'chai';
import { toOrganisationId } from '../../src/domain/index.js';
import { onBackgroundError } from '../../src/kernel/index.js';
import {
  digestKey,
  OrganisationDirectory,
  type Organisation,
  type QuotaDecision,
} from '../../src/organisations/index.js';
import { sleepMs, waitUntil } from '../waiting.js';
import { makeConfiguration, makeRoute, ORDERS } from './fleetFixtures.js';
import { makeResponseHeaders, RouterBench } from './RouterBench.js';

const ROUTE = makeRoute({
  pathPrefix: '/once/',
  kind: 'nonIdempotent',
  isResumable: false,
  maxAttempts: 1,
  targets: [{ serviceId: ORDERS, weight: 1 }],
});
const ACME: Organisation = {
  organisationId: toOrganisationId('acme'),
  keyDigests: [digestKey('k1')],
  quota: { unit: 'tokens', ratePerSecond: 10, burst: 10, plainTokens: 7 },
};
const HEADERS = { authorization: 'Bearer k1' };
const WAIT_MS = 100;

describe('CallerServer with quotas', function () {
  this.timeout(20_000);
  let bench: RouterBench;
  let status = 200;
  const taken: number[] = [];
  let returned = 0;
  let unsent = 0;
  let isExcessive = false;
  let decide: (decision: QuotaDecision) => void;

  beforeEach(async () => {
    taken.length = 0;
    returned = 0;
    unsent = 0;
    status = 200;
    isExcessive = false;
    bench = new RouterBench();
    bench.quotas = {
      take: (_organisation, cost) => {
        taken.push(cost);
        return new Promise((resolve) => (decide = resolve));
      },
      giveBack: (_organisation, cost) => (returned += cost),
      changeUnsent: (_organisation, change) => (unsent += change),
      isUnsentExcessive: () => isExcessive,
    };
    await bench.start([ROUTE]);
    bench.applyConfiguration({
      ...makeConfiguration(2, [ROUTE]),
      organisations: new OrganisationDirectory([ACME]),
    });
    await bench.addServer(
      'plain',
      (incoming, response) => {
        const refusal = status === 503 ? { 'not-run': '1' } : {};
        response.writeHead(status, { ...makeResponseHeaders(incoming), ...refusal }).end('done');
      },
      ORDERS,
    );
  });

  afterEach(() => bench.close());

  async function send(disconnectAfterMs?: number) {
    const response = bench.sendRequest('/once/x', HEADERS, 'x', disconnectAfterMs);
    response.catch(() => undefined);
    await waitUntil(() => taken.length > 0, 1_000);
    return { response };
  }

  it('answers 429 with the time at which the credit is back, and sends nothing', async () => {
    const { response } = await send();
    decide({ isGranted: false, retryInMs: 750 });
    const { status: answered, headers } = await response;
    expect([answered, Number(headers['retry-after'])]).to.deep.equal([429, 0.75]);
    expect(bench.receivedRequests).to.deep.equal([]);
    expect(taken).to.deep.equal([7]);
  });

  it('keeps the credit of a request that ran', async () => {
    const { response } = await send();
    decide({ isGranted: true });
    expect((await response).status).to.equal(200);
    await sleepMs(WAIT_MS);
    expect([returned, unsent]).to.deep.equal([0, -7]);
  });

  it('returns the credit of a request that no server has run', async () => {
    status = 503;
    const { response } = await send();
    decide({ isGranted: true });
    expect((await response).status).to.equal(503);
    await sleepMs(WAIT_MS);
    expect([returned, unsent]).to.deep.equal([7, 0]);
  });

  // A send after the caller has left is work that nobody wants.
  it('does not send the request of a caller that has left in the meantime, and returns its credit', async () => {
    await send(WAIT_MS);
    await sleepMs(2 * WAIT_MS);
    decide({ isGranted: true });
    await sleepMs(WAIT_MS);
    expect(bench.receivedRequests).to.deep.equal([]);
    expect(returned).to.equal(7);
  });

  // The forwarder does not exist yet when the key is revoked, so it is not refused there.
  it('refuses a request whose key is revoked in the meantime', async () => {
    const { response } = await send();
    bench.applyConfiguration({
      ...makeConfiguration(3, [ROUTE]),
      organisations: new OrganisationDirectory([{ ...ACME, keyDigests: [] }]),
    });
    decide({ isGranted: true });
    expect((await response).status).to.equal(401);
    expect(returned).to.equal(7);
  });

  // An error in the background would leave the caller without an answer.
  it('answers a request whose quota cannot be checked', async () => {
    const source = bench.quotas;
    if (source) {
      source.take = () => Promise.reject(new Error('faulty'));
    }
    const errors: unknown[] = [];
    onBackgroundError((error) => errors.push(error));
    expect((await bench.sendRequest('/once/x', HEADERS)).status).to.equal(503);
    onBackgroundError(undefined);
    expect(errors.length).to.equal(1);
  });

  // Fuzz seed 4042: credit of the former limit was used at once after the lower limit was in force.
  it('refuses requests that wait for a server when the limit is lowered below their credit', async () => {
    const { response } = await send();
    decide({ isGranted: true });
    isExcessive = true;
    bench.applyConfiguration({
      ...makeConfiguration(3, [ROUTE]),
      organisations: new OrganisationDirectory([ACME]),
    });
    expect((await response).status).to.equal(429);
    expect(returned).to.equal(7);
  });

  it('answers a request that waits for its credit at a planned stop', async () => {
    const { response } = await send();
    const stopped = bench.stopRouter();
    await sleepMs(3_000);
    decide({ isGranted: true });
    expect((await response).status).to.equal(503);
    await stopped;
    expect(bench.receivedRequests).to.deep.equal([]);
    expect(returned).to.equal(7);
  });
});
