import { expect } from 'chai';
import type { ClaimParams, OutcomeParams } from '../../src/domain/index.js';
import { ClaimsService } from '../../src/home/index.js';
import { SystemClock } from '../../src/kernel/index.js';
import { PeerDialer, TrafficMeter } from '../../src/transport/index.js';
import { MemoryObjectStore } from '../fakes/MemoryObjectStore.js';
import { flushPromises } from '../waiting.js';

const CLOCK = new SystemClock();
const TARGET = { serverId: 's1', incarnation: 'i1', peerAddress: '127.0.0.1:1' };
const CLAIM = {
  claimShard: 'orders-1',
  key: 'k1',
  fingerprint: 'f1',
  requestId: 'r1',
  attemptId: 'a1',
  target: TARGET,
  earlierAttemptDidNotRun: false,
} as unknown as ClaimParams;
const OUTCOME = {
  claimShard: 'orders-1',
  key: 'k1',
  requestId: 'r1',
  outcome: { head: { status: 201, contentType: 'application/json' }, body: '{}' },
} as OutcomeParams;

/** Values of each field that no router sends. */
const ODD_VALUES: readonly unknown[] = [null, undefined, 1, [], {}, { head: null }];

describe('ClaimsService', () => {
  let claims: ClaimsService;

  beforeEach(() => {
    const dialer = new PeerDialer('router-1', 's', CLOCK, new TrafficMeter());
    claims = new ClaimsService(CLOCK, new MemoryObjectStore(), dialer, 'w1');
  });

  // Issue 39, FAULT: a malformed outcome of a peer ended the router that kept its claim.
  it('refuses malformed claims and outcomes, and serves the same shard afterwards', async () => {
    expect(await claims.claim(CLAIM)).to.deep.equal({ kind: 'claimed' });
    const accepted: string[] = [];
    const expectRefused = (description: string, send: () => Promise<unknown>) => {
      try {
        send().catch(() => undefined);
        accepted.push(description);
      } catch (error) {
        expect(error).to.be.instanceOf(TypeError);
      }
    };
    for (const value of ODD_VALUES) {
      for (const field of ['claimShard', 'key', 'fingerprint', 'requestId', 'attemptId', 'target']) {
        expectRefused(`claim ${field}`, () => claims.claim({ ...CLAIM, [field]: value }));
      }
      for (const field of ['claimShard', 'key', 'requestId', 'outcome']) {
        expectRefused(`outcome ${field}`, () => claims.recordOutcome({ ...OUTCOME, [field]: value }));
      }
    }
    await flushPromises();
    expect(accepted).to.deep.equal([]);
    expect(await claims.recordOutcome(OUTCOME)).to.equal(true);
    const retry = await claims.claim({
      ...CLAIM,
      requestId: 'r2',
      attemptId: 'a2',
    } as unknown as ClaimParams);
    expect(retry).to.deep.equal({ kind: 'recorded', outcome: OUTCOME.outcome });
  });
});
