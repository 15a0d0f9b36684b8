import { expect } from 'chai';
import { toRouterId, type InstanceEntry } from '../../../src/domain/index.js';
import { Membership } from '../../../src/state/decisions/index.js';

function router(id: string, state: InstanceEntry['state'] = 'live'): InstanceEntry {
  return { id, role: 'router', dataCentre: 'd', peerAddress: '', pool: '', state };
}

const KEYS = Array.from({ length: 300 }, (_, index) => `svc/m${index}`);

describe('Membership', () => {
  describe('rankOwners', () => {
    it('reassigns only the keys of a removed router', () => {
      const membership = new Membership(toRouterId('r0'));
      const all = ['r0', 'r1', 'r2', 'r3'].map((id) => router(id));
      membership.applyList(all, 1);
      const before = KEYS.map((key) => membership.rankOwners(key, 0)[0]);
      membership.applyList(all.slice(0, 3), 2);
      const after = KEYS.map((key) => membership.rankOwners(key, 0)[0]);
      for (const [index, owner] of before.entries()) {
        expect(owner === 'r3' || after[index] === owner).to.equal(true);
      }
      expect(before.filter((owner) => owner === 'r3').length).to.be.within(45, 105);
    });

    it('returns the same owner on every router', () => {
      const list = ['r0', 'r1', 'r2'].map((id) => router(id));
      const memberships = list.map(({ id }) => new Membership(toRouterId(id)));
      memberships.forEach((membership) => membership.applyList(list, 1));
      for (const key of KEYS) {
        expect(new Set(memberships.map((membership) => membership.rankOwners(key, 0)[0])).size).to.equal(1);
      }
    });

    it('excludes leaving routers, and unreachable ones for a limited time', () => {
      const membership = new Membership(toRouterId('r0'));
      membership.applyList([router('r0'), router('r1'), router('r2', 'leaving')], 1);
      membership.markSuspect('r1', 0);
      expect(KEYS.every((key) => membership.rankOwners(key, 1)[0] === 'r0')).to.equal(true);
      expect(KEYS.some((key) => membership.rankOwners(key, 10_000)[0] === 'r1')).to.equal(true);
    });
  });
});
