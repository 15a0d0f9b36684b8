import { expect } from 'chai';
import { runSoak } from './soak.js';

describe('soak', function () {
  this.timeout(60_000);

  it('violates no invariant under random faults, seed 1', async () => {
    const { violations, faults, completedCount } = await runSoak({
      seed: 1,
      durationMs: 5_000,
    });
    expect(violations, faults.join('\n')).to.deep.equal([]);
    expect(completedCount).to.be.greaterThan(100);
  });

  it('detects streams that end early with a complete response', async () => {
    const { violations } = await runSoak({
      seed: 1,
      durationMs: 1_000,
      injectedViolation: 'half',
    });
    expect(violations.join('\n')).to.contain('a truncated response ended as complete');
  });
});
