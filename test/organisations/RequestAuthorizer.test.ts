import { expect } from 'chai';
import { toOrganisationId } from '../../src/domain/index.js';
import {
  digestKey,
  OrganisationDirectory,
  RequestAuthorizer,
  type ConfigurationKnowledge,
} from '../../src/organisations/index.js';
import { ManualClock } from '../fakes/ManualClock.js';

const ACME = { organisationId: toOrganisationId('acme'), keyDigests: [digestKey('k1'), digestKey('k2')] };
const OTHER = { organisationId: toOrganisationId('other'), keyDigests: [digestKey('k3')] };

describe('RequestAuthorizer', () => {
  let clock: ManualClock;
  let knowledge: ConfigurationKnowledge | undefined;
  let limits = { isStrict: false, revocationLimitMs: 5_000 };
  let authorizer: RequestAuthorizer;

  beforeEach(() => {
    clock = new ManualClock();
    limits = { isStrict: false, revocationLimitMs: 5_000 };
    knowledge = know(1, [ACME, OTHER]);
    authorizer = new RequestAuthorizer(
      clock,
      () => knowledge,
      () => limits,
    );
  });

  function know(
    version: number,
    organisations: readonly (typeof ACME)[],
    reportedVersion = -Infinity,
  ): ConfigurationKnowledge {
    const directory = new OrganisationDirectory(organisations);
    return { version, organisations: directory, confirmedAtMs: clock.nowMs(), reportedVersion };
  }

  const kindOf = (key: string | undefined, isPublic = false) => authorizer.authorize(isPublic, key).kind;

  describe('authorize', () => {
    it('finds the organisation of a key', () => {
      expect(authorizer.authorize(false, 'k2')).to.deep.include({ kind: 'organisation', organisation: ACME });
      expect(kindOf('k4')).to.equal('denied');
      expect(kindOf(undefined)).to.equal('denied');
    });

    it('needs no key on a public route, but uses a valid one', () => {
      expect(kindOf(undefined, true)).to.equal('public');
      expect(kindOf('k4', true)).to.equal('public');
      expect(kindOf('k3', true)).to.equal('organisation');
    });

    it('needs no keys where the configuration has no organisations', () => {
      knowledge = { version: 1, confirmedAtMs: 0, reportedVersion: 5 };
      expect(kindOf(undefined)).to.equal('unmanaged');
    });

    // A router restarted after a restore of the store would accept keys that were revoked since the copy.
    it('accepts no keys of an older configuration than agents report, until it has caught up', () => {
      knowledge = know(1, [ACME], 3);
      expect(kindOf('k1')).to.equal('uncertain');
      expect(kindOf(undefined, true)).to.equal('public');
      knowledge = know(3, [OTHER], 3);
      expect(kindOf('k1')).to.equal('denied');
      expect(kindOf('k3')).to.equal('organisation');
    });

    it('goes on while other routers have a newer configuration already', () => {
      knowledge = know(3, [ACME], 3);
      expect(kindOf('k1')).to.equal('organisation');
      knowledge = know(3, [ACME], 4);
      expect(kindOf('k1')).to.equal('organisation');
    });

    it('accepts keys that the store does not confirm in time unless revocation is strict', () => {
      clock.advance(5_001);
      expect(kindOf('k1')).to.equal('organisation');
      limits = { isStrict: true, revocationLimitMs: 5_000 };
      expect(kindOf('k1')).to.equal('uncertain');
      knowledge = know(1, [ACME]);
      expect(kindOf('k1')).to.equal('organisation');
    });
  });

  describe('isRevoked', () => {
    it('tells whether the key of an earlier request is still that of its organisation', () => {
      const access = authorizer.authorize(false, 'k1');
      expect(authorizer.isRevoked(access)).to.equal(false);
      knowledge = know(2, [{ ...ACME, keyDigests: [digestKey('k2')] }]);
      expect(authorizer.isRevoked(access)).to.equal(true);
      knowledge = know(3, [{ ...OTHER, keyDigests: [digestKey('k1')] }]);
      expect(authorizer.isRevoked(access)).to.equal(true);
      expect(authorizer.isRevoked({ kind: 'public' })).to.equal(false);
    });
  });
});
