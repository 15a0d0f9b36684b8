/** Fuzzes every promise for longer than CI does: `npm run fuzz -- --runs N --seed S [--only TEXT] [--mutants]`. */
import { parseArgs } from 'node:util';
import { fuzz, type FuzzedPromise, type World } from './fuzz/Action.js';
import { PROMISES } from './fuzz/promises.js';

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: '20000' },
    seed: { type: 'string', default: '1' },
    only: { type: 'string', default: '' },
    mutants: { type: 'boolean', default: false },
  },
});

function runOne(promise: FuzzedPromise<World>, title: string, create: () => World): boolean {
  const result = fuzz(promise, create, Number(values.seed), Number(values.runs));
  process.stdout.write(
    `${result.failed ? 'BROKEN' : 'holds '} ${title} (seed ${result.seed}, ${result.numRuns} runs)\n`,
  );
  if (result.failed) {
    const trace = (result.counterexample?.[0] ?? []) as unknown as readonly unknown[];
    process.stdout.write(`  ${String(result.errorInstance)}\n  ${trace.map(String).join('\n  ')}\n`);
  }
  return result.failed;
}

for (const promise of PROMISES.filter((candidate) => candidate.name.includes(values.only))) {
  if (runOne(promise, promise.name, promise.create)) {
    process.exitCode = 1;
  }
  for (const [mutation, create] of values.mutants ? Object.entries(promise.mutants) : []) {
    runOne(promise, `  broken on purpose: ${mutation}`, create);
  }
}
