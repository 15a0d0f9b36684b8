/** Runs the measurements and prints their figures: `npm run measure [-- --json] [--only TEXT] [--seed N]`. */
import { parseArgs } from 'node:util';
import { measureChooseServer } from './chooseServer.js';
import { measureColdStarts } from './coldStart.js';
import type { Figure } from './Figure.js';
import { measureKeepAlive } from './keepAlive.js';
import { measureGoodput, measureWarmOverhead } from './load.js';
import { measureMixedPace } from './mixedPace.js';
import { measurePlacement } from './placement.js';
import { measureIdleCost, measureRequestCost, measureTargetState, measureTokenCost } from './slopes.js';

const { values } = parseArgs({
  options: {
    json: { type: 'boolean', default: false },
    only: { type: 'string', default: '' },
    seed: { type: 'string', default: '1' },
  },
});

/** Measurements by name; `--only` selects those whose name contains the given text. */
const MEASUREMENTS: Readonly<Record<string, () => Promise<Figure[]>>> = {
  keepAlive: () => Promise.resolve(measureKeepAlive(Number(values.seed))),
  chooseServer: () => Promise.resolve(measureChooseServer()),
  mixedPace: () => Promise.resolve(measureMixedPace()),
  placement: () => Promise.resolve(measurePlacement(Number(values.seed))),
  coldStart: measureColdStarts,
  warmOverhead: measureWarmOverhead,
  goodput: measureGoodput,
  requestCost: measureRequestCost,
  tokenCost: measureTokenCost,
  idleCost: measureIdleCost,
  targetState: measureTargetState,
};

function print(figure: Figure): void {
  if (values.json) {
    process.stdout.write(`${JSON.stringify(figure)}\n`);
    return;
  }
  const baseline = figure.baseline === undefined ? '' : `, baseline ${figure.baseline}`;
  const target = figure.target === undefined ? '' : `, target ${figure.target}`;
  process.stdout.write(`${figure.name}: ${figure.value} ${figure.unit}${baseline}${target}\n`);
}

for (const [name, measure] of Object.entries(MEASUREMENTS)) {
  if (name.includes(values.only)) {
    for (const figure of await measure()) {
      print(figure);
    }
  }
}
