/** Fuzzes every property with more runs than CI: `npm run fuzz -- --runs N --seed S [--only TEXT] [--mutants]`. */
import { parseArgs } from 'node:util';
import { fuzz, type FuzzedProperty, type Simulation } from './fuzz/Simulation.js';
import { PROPERTIES } from './fuzz/properties.js';

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: '20000' },
    seed: { type: 'string', default: '1' },
    only: { type: 'string', default: '' },
    mutants: { type: 'boolean', default: false },
  },
});

function checkProperty(
  property: FuzzedProperty<Simulation>,
  title: string,
  create: () => Simulation,
): boolean {
  const result = fuzz(property, create, Number(values.seed), Number(values.runs));
  process.stdout.write(
    `${result.failed ? 'BROKEN' : 'holds '} ${title} (seed ${result.seed}, ${result.numRuns} runs)\n`,
  );
  if (result.failed) {
    const trace = (result.counterexample?.[0] ?? []) as unknown as readonly unknown[];
    process.stdout.write(`  ${String(result.errorInstance)}\n  ${trace.map(String).join('\n  ')}\n`);
  }
  return result.failed;
}

for (const property of PROPERTIES.filter((candidate) => candidate.name.includes(values.only))) {
  if (checkProperty(property, property.name, property.create)) {
    process.exitCode = 1;
  }
  for (const [mutant, create] of values.mutants ? Object.entries(property.mutants) : []) {
    checkProperty(property, `  mutant: ${mutant}`, create);
  }
}
