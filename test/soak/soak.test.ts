import { expect } from 'chai';
import { soak } from './soak.js';

/** Loopback subnet of the runs in CI. */
const SUBNET = 95;

describe('soak', function () {
  this.timeout(60_000);

  it('keeps every promise under random faults, seed 1', async () => {
    const { broken, faults, servedCount } = await soak({ seed: 1, durationMs: 5_000, subnet: SUBNET });
    expect(broken, faults.join('\n')).to.deep.equal([]);
    expect(servedCount).to.be.greaterThan(100);
  });

  it('catches streams that end too early', async () => {
    const { broken } = await soak({ seed: 1, durationMs: 1_000, subnet: SUBNET, plant: 'half' });
    expect(broken.join('\n')).to.contain('half an answer looks whole');
  });
});
