/** Prints the share of a quota used and exceeded by fault, as in docs/design/quotas.md: `node dist/test/quotaFaults.js [TEXT]`. */
import { QUOTA_FAULTS, simulateFault } from './organisations/quotaFaults.js';

const [text = ''] = process.argv.slice(2);
/** 21 routers of which three have most of the demand, which is three times the rate. */
const SCENARIO = {
  seed: 1,
  routerCount: 21,
  agentCount: 30,
  quota: { ratePerSecond: 2_000, burst: 2_000 },
  tolerance: { windowMs: 8_000, ratio: 0.1, slack: 0 },
  cost: 20,
  load: 3,
  weights: Array.from({ length: 21 }, (_, index) => (index % 7 === 0 ? 20 : 1)),
};
const columns = ['calm', 'fault', 'after', 'window/quota', 'window/bound'];
process.stdout.write(
  `| fault | ${columns.join(' | ')} |\n| --- | ${columns.map(() => '---').join(' | ')} |\n`,
);
for (const [name, fault] of Object.entries(QUOTA_FAULTS)) {
  if (name.includes(text)) {
    const result = await simulateFault(SCENARIO, fault);
    const values = Object.values(result).map((value: number) => value.toFixed(2));
    process.stdout.write(`| ${name} | ${values.join(' | ')} |\n`);
  }
}
