import { expect } from 'chai';
import { fuzz } from './Simulation.js';
import { PROPERTIES } from './properties.js';

/** Seeds that CI runs; `npm run fuzz` accepts any other. */
const SEEDS = [1, 2, 3];
const RUNS_PER_SEED = 1_500;
const RUNS_PER_MUTANT = 6_000;

for (const property of PROPERTIES) {
  describe(property.name, () => {
    for (const seed of SEEDS) {
      it(`holds with seed ${seed}`, () => {
        const result = fuzz(property, property.create, seed, RUNS_PER_SEED);
        expect(result.failed, `${String(result.counterexample)} ${String(result.errorInstance)}`).to.equal(
          false,
        );
      });
    }

    for (const [mutant, create] of Object.entries(property.mutants)) {
      it(`detects the mutant: ${mutant}`, () => {
        expect(fuzz(property, create, 1, RUNS_PER_MUTANT).failed).to.equal(true);
      });
    }
  });
}
