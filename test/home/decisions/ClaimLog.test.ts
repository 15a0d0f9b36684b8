import { expect } from 'chai';
import { toAttemptId, toRequestId, toServerId, type ClaimParams } from '../../../src/domain/index.js';
import { CLAIM_RETENTION_MS, ClaimLog, type ClaimCommand } from '../../../src/home/decisions/index.js';

function createClaim(key: string): ClaimParams {
  const requestId = toRequestId(`r-${key}`);
  return {
    claimShard: 's',
    key,
    fingerprint: key,
    requestId,
    attemptId: toAttemptId(requestId, 1),
    target: { serverId: toServerId('s1'), incarnation: 'i', peerAddress: '' },
    earlierAttemptDidNotRun: false,
  };
}

/** Claims a key on a log whose platform always replies, and returns all commands of the log. */
function claim(log: ClaimLog, key: string, nowMs: number): ClaimCommand[] {
  const commandsSoFar: ClaimCommand[] = [];
  log.claim(createClaim(key), nowMs);
  for (let commands = log.takeCommands(); commands.length > 0; commands = log.takeCommands()) {
    commandsSoFar.push(...commands);
    for (const command of commands) {
      if (command.kind === 'list') {
        log.onSegmentsListed([], nowMs);
      }
      if (command.kind === 'write') {
        log.onSegmentWritten({ kind: 'written', version: command.ifVersion + 1 }, nowMs);
      }
    }
  }
  return commandsSoFar;
}

describe('ClaimLog', () => {
  describe('claim', () => {
    it('seals a full segment and opens the next', () => {
      const log = new ClaimLog('w', 10);
      claim(log, 'a', 0);
      const write = claim(log, 'b', 0).find((command) => command.kind === 'write');
      expect(write).to.include({ segmentNumber: 2, ifVersion: 0 });
    });

    it('removes a sealed segment a day after its last claim, and never the newest', () => {
      const log = new ClaimLog('w', 10);
      claim(log, 'a', 0);
      claim(log, 'b', 0);
      const commands = claim(log, 'c', CLAIM_RETENTION_MS + 1);
      const removed = commands
        .filter((command) => command.kind === 'remove')
        .map((command) => command.segmentNumber);
      expect(removed).to.deep.equal([1, 2]);
    });

    it('groups the claims that arrive while a write is in progress into the next one', () => {
      const log = new ClaimLog('w');
      log.claim(createClaim('a'), 0);
      log.takeCommands();
      log.onSegmentsListed([], 0);
      log.takeCommands();
      log.claim(createClaim('b'), 0);
      log.claim(createClaim('c'), 0);
      expect(log.takeCommands()).to.deep.equal([]);
      log.onSegmentWritten({ kind: 'written', version: 1 }, 0);
      const write = log.takeCommands().find((command) => command.kind === 'write');
      expect(write?.kind === 'write' && Object.keys(write.value.claims)).to.deep.equal(['a', 'b', 'c']);
    });
  });
});
