/** Runs the fault soak: `npm run soak -- --seeds N --seed S --minutes M [--seconds T] [--plant NAME]`. */
import { parseArgs } from 'node:util';
import { PLANTS, soak } from './soak/soak.js';

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '1' },
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '0' },
    seconds: { type: 'string', default: '10' },
    plant: { type: 'string' },
    subnet: { type: 'string', default: '90' },
  },
});

const plant = PLANTS.find((name) => name === values.plant);
const endsAtMs = Number(values.minutes) > 0 ? Date.now() + Number(values.minutes) * 60_000 : Infinity;
const firstSeed = Number(values.seed);
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds) && Date.now() < endsAtMs; seed++) {
  const subnet = Number(values.subnet);
  const result = await soak({ seed, durationMs: Number(values.seconds) * 1_000, subnet, plant });
  const word = result.broken.length > 0 ? 'BROKEN' : 'holds ';
  process.stdout.write(
    `${word} seed ${seed}: ${result.servedCount} of ${result.requestCount} served, ${result.faults.length} faults\n`,
  );
  if (result.broken.length > 0) {
    process.exitCode = 1;
    const tails = Object.entries(result.tails).map(([name, tail]) => `--- ${name}\n${tail}`);
    process.stdout.write(`${[...result.broken.slice(0, 20), ...result.faults, ...tails].join('\n')}\n`);
  }
}
process.exit();
