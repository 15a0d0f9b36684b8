import { expect } from 'chai';
import { decodeOrganisations } from '../../platform/organisationCodec.js';

const ACME = {
  Name: 'acme',
  ApiKeys: ['k1', 'k2'],
  Priority: 1,
  Unit: 'token_stream',
  PlainTokens: 200,
  RatePerS: 5_000,
  Burst: 9_000,
};

describe('decodeOrganisations', () => {
  it('decodes keys, priority and quota', () => {
    const directory = decodeOrganisations([ACME, { Name: 'open', ApiKeys: ['k3'], RatePerS: 0 }]);
    expect(directory.problems).to.deep.equal([]);
    const [acme, open] = directory.organisations;
    expect(acme).to.deep.include({
      organisationId: 'acme',
      priority: 1,
      quota: { unit: 'tokens', ratePerSecond: 5_000, burst: 9_000, plainTokens: 200 },
    });
    expect(open?.quota).to.equal(undefined);
    expect(directory.authorize(false, 'k2')).to.include({ kind: 'organisation', organisation: acme });
  });

  it('gives a key of two organisations to neither of them, and names no key', () => {
    const directory = decodeOrganisations([ACME, { Name: 'other', ApiKeys: ['k2', 'k4'] }]);
    expect(directory.authorize(false, 'k2').kind).to.equal('denied');
    expect(directory.authorize(false, 'k1').kind).to.equal('organisation');
    expect(directory.authorize(false, 'k4').kind).to.equal('organisation');
    expect(directory.problems.join()).to.include('several organisations').and.not.include('k2');
  });

  it('keeps the rest in force if an entry or a limit cannot be read', () => {
    const directory = decodeOrganisations([
      null,
      { Name: 'none' },
      { Name: 'bad name', ApiKeys: ['k5'] },
      { ...ACME, Name: 'negative', ApiKeys: ['k6'], RatePerS: -1 },
      { ...ACME, Name: 'odd', ApiKeys: ['k7'], Priority: 'high', Extra: true },
      ACME,
      { ...ACME, ApiKeys: ['k8'] },
    ]);
    expect(directory.problems.length).to.equal(6);
    expect(directory.authorize(false, 'k5').kind).to.equal('denied');
    expect(directory.authorize(false, 'k8').kind).to.equal('denied');
    expect(directory.organisations.map(({ organisationId }) => organisationId)).to.deep.equal([
      'negative',
      'odd',
      'acme',
    ]);
    expect(directory.organisations[0]?.quota).to.equal(undefined);
    expect(directory.organisations[1]?.priority).to.equal(undefined);
  });

  it('lets nobody in if the organisations are no list', () => {
    const directory = decodeOrganisations({ acme: ACME });
    expect(directory.problems.length).to.equal(1);
    expect(directory.authorize(false, 'k1').kind).to.equal('denied');
    expect(directory.authorize(true, undefined).kind).to.equal('public');
  });
});
