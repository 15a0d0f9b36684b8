import { expect } from 'chai';
import { EngineIdentity } from '../../../src/direct/index.js';

const FIRST_BORN_AT_MS = 1_700_000_000_000;
const SECOND_BORN_AT_MS = FIRST_BORN_AT_MS + 3_500;

describe('EngineIdentity', () => {
  let identity: EngineIdentity;

  function answer(instanceId: string | undefined, bornAtMs = FIRST_BORN_AT_MS, nowMs = 0): void {
    const askedBornAtMs = identity.beginAsking();
    identity.endAsking(bornAtMs, instanceId, askedBornAtMs, nowMs);
  }

  beforeEach(() => {
    identity = new EngineIdentity();
    identity.applyReport(FIRST_BORN_AT_MS);
  });

  describe('shouldAsk', () => {
    it('is true once for an incarnation that answers', () => {
      expect(identity.shouldAsk(0)).to.equal(true);
      answer('i-1');
      expect(identity.shouldAsk(5_000)).to.equal(false);
      identity.applyReport(SECOND_BORN_AT_MS);
      expect(identity.shouldAsk(5_000)).to.equal(true);
    });

    it('is true at most three times for an incarnation that does not tell, for which orders wait once', () => {
      const awaited: boolean[] = [];
      for (let nowMs = 0; nowMs <= 10_000; nowMs += 100) {
        if (identity.shouldAsk(nowMs)) {
          identity.beginAsking();
          awaited.push(identity.isAwaited);
          identity.endAsking(undefined, undefined, FIRST_BORN_AT_MS, nowMs);
        }
      }
      expect(awaited).to.deep.equal([true, false, false]);
    });

    it('is true again after the engine rejected the ID, and not for ever', () => {
      let askCount = 0;
      for (let nowMs = 0; nowMs <= 10_000 && identity.shouldAsk(nowMs); nowMs += 100) {
        askCount++;
        answer('i-1', FIRST_BORN_AT_MS, nowMs);
        identity.onOtherInstance();
      }
      expect(askCount).to.equal(3);
    });
  });

  describe('getConditions', () => {
    it('names the ID for orders based on its incarnation only', () => {
      answer('i-1');
      expect(identity.getConditions(FIRST_BORN_AT_MS)).to.deep.equal({
        instanceId: 'i-1',
        fenceNumber: 1_700_000_000,
      });
      identity.applyReport(SECOND_BORN_AT_MS);
      expect(identity.getConditions(SECOND_BORN_AT_MS).instanceId).to.equal(undefined);
      expect(identity.getConditions(FIRST_BORN_AT_MS).instanceId).to.equal(undefined);
    });

    // The next incarnation may answer a request that was meant for the one before.
    it('names no ID if the report after the answer shows another incarnation', () => {
      answer('i-2', SECOND_BORN_AT_MS);
      expect(identity.getConditions(FIRST_BORN_AT_MS).instanceId).to.equal(undefined);
    });

    // An order that was meant for an earlier incarnation under the same ID would be carried out late.
    it('has a higher fencing number for a later incarnation under the same ID', () => {
      answer('i-1');
      identity.applyReport(SECOND_BORN_AT_MS);
      answer('i-1', SECOND_BORN_AT_MS);
      expect(identity.getConditions(SECOND_BORN_AT_MS).fenceNumber).to.equal(1_700_000_003);
    });

    // Review, case 9: an agent that starts again remembers neither IDs nor what the engine has rejected.
    it('has the same fencing number whatever the agent has seen of the incarnation', () => {
      const restarted = new EngineIdentity();
      expect(restarted.getConditions(SECOND_BORN_AT_MS).fenceNumber).to.equal(1_700_000_003);
      restarted.applyReport(SECOND_BORN_AT_MS);
      expect(restarted.getConditions(SECOND_BORN_AT_MS).fenceNumber).to.equal(1_700_000_003);
      restarted.onOtherInstance();
      expect(restarted.getConditions(SECOND_BORN_AT_MS).fenceNumber).to.equal(1_700_000_003);
    });
  });
});
