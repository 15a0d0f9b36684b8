import { expect } from 'chai';
import { fuzz } from './Action.js';
import { PROMISES } from './promises.js';

/** Seeds that CI runs; `npm run fuzz` runs others. */
const SEEDS = [1, 2, 3];
const RUNS_PER_SEED = 1_500;
const RUNS_PER_MUTANT = 6_000;

for (const promise of PROMISES) {
  describe(promise.name, () => {
    for (const seed of SEEDS) {
      it(`holds with seed ${seed}`, () => {
        const result = fuzz(promise, promise.create, seed, RUNS_PER_SEED);
        expect(result.failed, `${String(result.counterexample)} ${String(result.errorInstance)}`).to.equal(
          false,
        );
      });
    }

    for (const [mutation, create] of Object.entries(promise.mutants)) {
      it(`is seen broken by: ${mutation}`, () => {
        expect(fuzz(promise, create, 1, RUNS_PER_MUTANT).failed).to.equal(true);
      });
    }
  });
}
