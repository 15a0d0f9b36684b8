import { expect } from 'chai';
import { toOrganisationId } from '../../src/domain/index.js';
import { OrganisationCounters, QUOTA_METHODS, QuotaIssuer } from '../../src/organisations/index.js';
import { Metrics } from '../../src/telemetry/index.js';
import { ManualClock } from '../fakes/ManualClock.js';

describe('QuotaIssuer', () => {
  const issuer = new QuotaIssuer({
    clock: new ManualClock(),
    issuerId: 'i',
    getRouterCount: () => 1,
    getTolerance: () => ({ windowMs: 8_000, ratio: 0.1, slack: 0 }),
    metrics: new Metrics(),
  });
  const call = (method: string, params: object) =>
    (issuer.getMethods()[method] as unknown as (params: object) => unknown)(params);

  // A process of another version may send anything.
  it('survives parameters that cannot be read and grants nothing for them', () => {
    for (const group of [-1, 4, 1.5, 'x', undefined, 0]) {
      for (const value of [undefined, null, 'x', -1, Number.NaN, [], [[1]], [null]]) {
        call(QUOTA_METHODS.renew, {
          group,
          routerId: value,
          echo: value === undefined ? { issuerId: 'i', atMs: 0 } : value,
          routerCount: value,
          unsent: value,
          quotas: { version: value, limits: value },
        });
        const costs = Array.isArray(value) ? value : [value];
        const terms = { version: 1, ratePerSecond: value, burst: value, costs, unsent: value };
        expect(
          call(QUOTA_METHODS.take, { group, routerId: 'r', organisationId: 'o', ...terms }),
        ).to.deep.equal({});
        call(QUOTA_METHODS.giveBack, { group, routerId: 'r', organisationId: 'o', cost: value });
        call(QUOTA_METHODS.release, { group, routerId: value });
      }
    }
  });
});

describe('OrganisationCounters', () => {
  it('is bounded in number', () => {
    const metrics = new Metrics();
    const counters = new OrganisationCounters(metrics);
    for (let index = 0; index < 1_000; index++) {
      counters.count('quota_refused', toOrganisationId(`o-${index}`));
    }
    expect(metrics.toPrometheusText().split('\n').length).to.be.below(200);
  });
});
