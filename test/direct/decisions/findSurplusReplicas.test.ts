import { expect } from 'chai';
import { FleetView, findSurplusReplicas, type ModelUse } from '../../../src/direct/index.js';
import { ENGINES, makeConfiguration, makeEntry, makeHeldModel, makeReport } from '../fleetFixtures.js';

const PROTECTED: ModelUse = { runningCount: 2, idleForMs: 0, isProtected: true };

/** Returns the models that each of the given servers may evict. */
function find(heldModels: readonly string[], use = PROTECTED): string[][] {
  const view = new FleetView();
  view.applyConfiguration(makeConfiguration(1));
  const entries = heldModels.map((models, index) =>
    makeEntry('x'.repeat(index + 1), { heldModels: [...models].map((model) => makeHeldModel(model)) }),
  );
  view.applyList(entries, 0);
  for (const entry of entries) {
    const uses = Object.fromEntries(entry.heldModels.map(({ name }) => [name, use]));
    const runningCount = entry.heldModels.length * use.runningCount;
    view.applyReport(makeReport(entry, { uses, runningCount }), 0);
  }
  const surplus = findSurplusReplicas([...view.getReadyServers(ENGINES, 0)]);
  return entries.map(({ address }) => [...(surplus.get(address) ?? [])]);
}

describe('findSurplusReplicas', () => {
  it('finds nothing where each model has one replica', () => {
    expect(find(['ab', 'c'])).to.deep.equal([[], []]);
  });

  it('keeps each replica where the others would have too much load', () => {
    expect(find(['a', 'a', 'a'], { ...PROTECTED, runningCount: 20 })).to.deep.equal([[], [], []]);
  });

  it('finds nothing on servers without interactive use', () => {
    expect(find(['a', 'a', 'a'], { ...PROTECTED, isProtected: false })).to.deep.equal([[], [], []]);
  });

  it('keeps two replicas of each model', () => {
    expect(find(['a', 'a'])).to.deep.equal([[], []]);
    expect(find(['a', 'a', 'a']).flat()).to.deep.equal(['a']);
  });

  // Guards against models whose weights only servers have that keep all of their models (issue 30).
  it('spreads the replicas that stay over the servers', () => {
    for (const models of ['ab', 'ac', 'ad', 'bc', 'bd', 'cd']) {
      const found = find([models, models, models]);
      expect(found.flat().sort()).to.deep.equal([...models]);
      expect(found.map(({ length }) => length).sort()).to.deep.equal([0, 1, 1]);
    }
  });
});
