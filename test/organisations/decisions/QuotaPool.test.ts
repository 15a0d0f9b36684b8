import { expect } from 'chai';
import { toOrganisationId } from '../../../src/domain/index.js';
import { QUOTA_LEASE_MS, QuotaPool } from '../../../src/organisations/index.js';

const ACME = toOrganisationId('acme');
const TERMS = { version: 1, ratePerSecond: 100, burst: 100 };
const START_MS = 1_000;

describe('QuotaPool', () => {
  let pool: QuotaPool;
  beforeEach(() => {
    pool = new QuotaPool(START_MS, START_MS, () => ({ windowMs: 8_000, ratio: 0.1, slack: 0 }));
    pool.applyQuotas(1, new Map([[ACME, TERMS]]), START_MS);
  });

  function takeMany(routerId: string, nowMs: number, terms = TERMS, unsent = 0): number {
    const costs = new Array<number>(500).fill(1);
    const taken = pool.take(routerId, ACME, terms, costs, unsent, nowMs);
    return taken?.decisions.filter(({ isGranted }) => isGranted).length ?? -1;
  }

  // A frozen issuer reads old messages when it continues, while the shares are elsewhere.
  it('does not count a router whose stamp is older than the lease', () => {
    const nowMs = START_MS + 2 * QUOTA_LEASE_MS;
    pool.renew('r1', nowMs - QUOTA_LEASE_MS, 1, new Map(), nowMs);
    expect(takeMany('r1', nowMs)).to.equal(-1);
  });

  it('grants the shares of its routers only', () => {
    pool.renew('r1', START_MS, 4, new Map(), START_MS);
    expect(takeMany('r1', START_MS + 1_000)).to.equal(25);
  });

  it('loses the credit of a router that leaves', () => {
    pool.renew('r1', START_MS, 2, new Map(), START_MS);
    pool.renew('r2', START_MS, 2, new Map(), START_MS);
    pool.release('r2', START_MS + 1_000);
    expect(takeMany('r1', START_MS + 1_000)).to.equal(50);
  });

  it('applies the newest version of a limit, whichever router asks', () => {
    pool.renew('r1', START_MS, 1, new Map(), START_MS);
    const lower = { version: 2, ratePerSecond: 10, burst: 10 };
    takeMany('r1', START_MS + 100, lower);
    expect(takeMany('r1', START_MS + 1_100, TERMS)).to.be.at.most(10);
  });

  // Requests that wait for a server may all be sent in the same moment.
  it('grants nothing while the credit of unsent requests exceeds what a window allows', () => {
    pool.renew('r1', START_MS, 1, new Map([[ACME, 200]]), START_MS);
    expect(takeMany('r1', START_MS + 1_000, TERMS, 200)).to.equal(0);
  });

  it('returns no more credit than the unsent requests of the router have', () => {
    pool.renew('r1', START_MS, 1, new Map(), START_MS);
    pool.giveBack('r1', ACME, 1_000, START_MS);
    expect(takeMany('r1', START_MS)).to.equal(0);
  });

  it('grants nothing before it is ready', () => {
    pool = new QuotaPool(START_MS, START_MS + 1_000, () => ({ windowMs: 8_000, ratio: 0.1, slack: 0 }));
    pool.applyQuotas(1, new Map([[ACME, TERMS]]), START_MS);
    pool.renew('r1', START_MS, 1, new Map(), START_MS);
    expect(takeMany('r1', START_MS + 999)).to.equal(0);
  });
});
