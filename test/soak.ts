/** Runs the soak with fault injection: `npm run soak -- --seeds N --seed S --minutes M [--seconds T] [--plant NAME]`. */
import { parseArgs } from 'node:util';
import { INJECTED_VIOLATIONS, runSoak } from './soak/soak.js';

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '1' },
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '0' },
    seconds: { type: 'string', default: '10' },
    plant: { type: 'string' },
  },
});

const injectedViolation = INJECTED_VIOLATIONS.find((name) => name === values.plant);
const deadlineMs = Number(values.minutes) > 0 ? Date.now() + Number(values.minutes) * 60_000 : Infinity;
const firstSeed = Number(values.seed);
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds) && Date.now() < deadlineMs; seed++) {
  const result = await runSoak({
    seed,
    durationMs: Number(values.seconds) * 1_000,
    injectedViolation,
  });
  const label = result.violations.length > 0 ? 'BROKEN' : 'holds ';
  process.stdout.write(
    `${label} seed ${seed}: ${result.completedCount} of ${result.requestCount} completed, ${result.faults.length} faults\n`,
  );
  if (result.violations.length > 0) {
    process.exitCode = 1;
    const outputs = Object.entries(result.outputs).map(([name, output]) => `--- ${name}\n${output}`);
    process.stdout.write(`${[...result.violations.slice(0, 20), ...result.faults, ...outputs].join('\n')}\n`);
  }
}
process.exit();
