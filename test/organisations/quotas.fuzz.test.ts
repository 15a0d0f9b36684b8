import { expect } from 'chai';
import { QuotaFleetSimulation, type Mutant, type QuotaScenario } from './QuotaFleetSimulation.js';
import { QUOTA_MUTANTS, simulateDay } from './quotaDays.js';
import { QUOTA_FAULTS, restartAll, simulateFault } from './quotaFaults.js';

const SEED = Number(process.env.FUZZ_SEED ?? 1);
const DAY_COUNT = Number(process.env.FUZZ_RUNS ?? 25);
/** Number of days on one of which each broken version must exceed the bound. */
const MUTANT_DAY_COUNT = 100;
const FLAP_INTERVAL_MS = 600;
const FLAP_COUNT = 20;
const SCENARIO: QuotaScenario = {
  seed: 1,
  routerCount: 6,
  agentCount: 4,
  quota: { ratePerSecond: 800, burst: 800 },
  tolerance: { windowMs: 8_000, ratio: 0.02, slack: 0 },
  cost: 20,
  load: 3,
  weights: [20, 1, 1, 1, 1, 1],
};

/** Returns the largest use of a window, as a multiple of the bound, while the only listed engine changes all the time. */
async function simulateFlaps(mutant: Mutant): Promise<number> {
  const simulation = new QuotaFleetSimulation({ ...SCENARIO, mutant });
  for (let count = 0; count < FLAP_COUNT; count++) {
    simulation.list([simulation.agents[count % 2]?.address ?? '']);
    await simulation.run(FLAP_INTERVAL_MS);
  }
  return simulation.oracle.getLargestRatio();
}

/** Returns the same while nearly all requests wait for a server and are sent together every 6 s. */
async function simulateWaits(mutant: Mutant): Promise<number> {
  const quota = { ratePerSecond: 800, burst: 400 };
  const simulation = new QuotaFleetSimulation({ ...SCENARIO, quota, delayedShare: 0.95, mutant });
  await simulation.run(20_000);
  return simulation.oracle.getLargestRatio();
}

/** Returns the number of requests of an organisation far below its limit that are refused after an event. */
async function countRefused(
  event: (simulation: QuotaFleetSimulation) => void,
  fromMs: number,
): Promise<number> {
  const simulation = new QuotaFleetSimulation({ ...SCENARIO, load: 0.1 });
  await simulation.run(5_000);
  event(simulation);
  await simulation.run(fromMs);
  const before = simulation.refusedCount;
  await simulation.run(5_000);
  return simulation.refusedCount - before;
}

describe('quotas over all routers', () => {
  it(`stay within the bound on ${DAY_COUNT} days with random faults, seed ${SEED}`, async () => {
    for (let seed = SEED; seed < SEED + DAY_COUNT; seed++) {
      const { ratio, events } = await simulateDay(seed);
      expect(ratio, `seed ${seed}: ${events.join(', ')}`).to.be.at.most(1);
    }
  });

  it('stay within the bound while the shares move from issuer to issuer', async () => {
    expect(await simulateFlaps({})).to.be.at.most(1);
  });

  it('stay within the bound while requests wait for a server and are sent together', async () => {
    expect(await simulateWaits({})).to.be.at.most(1);
  });

  for (const [name, fault] of Object.entries(QUOTA_FAULTS)) {
    it(`use 0.95 of the limit with uneven routers, and stay within the bound: ${name}`, async () => {
      const { calmShare, boundRatio } = await simulateFault(SCENARIO, fault);
      expect(calmShare).to.be.at.least(0.95);
      expect(boundRatio).to.be.at.most(1);
    });
  }

  it('refuse no organisation far below its limit 2 s after a start of all processes or the loss of an issuer', async () => {
    expect(await countRefused(restartAll, 2_000)).to.equal(0);
    expect(await countRefused((simulation) => simulation.killAgent(simulation.findIssuer()), 2_000)).to.equal(
      0,
    );
    expect(await countRefused((simulation) => simulation.restartRouter(0), 200)).to.equal(0);
  });

  describe('the oracle detects', () => {
    for (const [name, mutant] of Object.entries(QUOTA_MUTANTS)) {
      it(name, async () => {
        let largest = Math.max(await simulateFlaps(mutant), await simulateWaits(mutant));
        for (let seed = 0; seed < MUTANT_DAY_COUNT && largest <= 1; seed++) {
          largest = (await simulateDay(seed, mutant)).ratio;
        }
        expect(largest).to.be.above(1);
      });
    }
  });
});
