import { expect } from 'chai';
import {
  chooseCostliest,
  chooseLargestHead,
  chooseQuietest,
  type ConnectionStage,
  type ConnectionUse,
} from '../../src/ingress/chooseVictim.js';

const NOW_MS = 100_000;

function makeUse(changes: Partial<ConnectionUse> & { readonly debtMs?: number } = {}): ConnectionUse {
  const { debtMs = 0, ...fields } = changes;
  return {
    stage: 'unused',
    quietSinceMs: 0,
    unfinishedBytes: 0,
    keptHeadBytes: 0,
    unfinishedSinceMs: 0,
    waitingBytes: 0,
    getDebtMs: () => debtMs,
    ...fields,
  };
}

describe('chooseQuietest', () => {
  it('takes unused connections first, then incomplete bodies, then idle ones, and none that is served', () => {
    const stages: ConnectionStage[] = ['serving', 'idle', 'receiving', 'unused'];
    const uses = stages.map((stage, index) => makeUse({ stage, quietSinceMs: index }));
    for (const expected of ['unused', 'receiving', 'idle', undefined]) {
      const chosen = chooseQuietest(uses, NOW_MS);
      expect(chosen?.stage).to.equal(expected);
      uses.splice(chosen ? uses.indexOf(chosen) : 0, 1);
    }
  });

  it('takes the one that is quiet for longest, but none that has just sent', () => {
    const uses = [makeUse({ quietSinceMs: 50 }), makeUse({ quietSinceMs: 20 })];
    expect(chooseQuietest(uses, NOW_MS)).to.equal(uses[1]);
    expect(chooseQuietest([makeUse({ quietSinceMs: NOW_MS - 500 })], NOW_MS)).to.equal(undefined);
  });
});

describe('chooseLargestHead', () => {
  // Guards against a crowd of small heads that stall, under which each larger head that has just begun would be closed.
  it('takes a smaller head that stalls before a larger one that has just begun', () => {
    const uses = [
      makeUse({ unfinishedBytes: 16_000, unfinishedSinceMs: NOW_MS - 10 }),
      makeUse({ unfinishedBytes: 4_000, unfinishedSinceMs: NOW_MS - 3_000 }),
    ];
    expect(chooseLargestHead(uses, NOW_MS)).to.equal(uses[1]);
    expect(chooseLargestHead([makeUse()], NOW_MS)).to.equal(undefined);
    expect(chooseLargestHead([makeUse({ stage: 'serving', keptHeadBytes: 9 })], NOW_MS)).to.equal(undefined);
  });
});

describe('chooseCostliest', () => {
  it('takes the one that has used most processor time of those with waiting bytes', () => {
    const uses = [
      makeUse({ debtMs: 9 }),
      makeUse({ debtMs: 5, waitingBytes: 1 }),
      makeUse({ debtMs: 1, waitingBytes: 9 }),
    ];
    expect(chooseCostliest(uses, NOW_MS)).to.equal(uses[1]);
    expect(chooseCostliest([makeUse()], NOW_MS)).to.equal(undefined);
  });
});
