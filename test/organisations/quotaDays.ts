import { Random } from '../../src/kernel/index.js';
import { QUOTA_METHODS } from '../../src/organisations/index.js';
import { QuotaFleetSimulation, type Mutant } from './QuotaFleetSimulation.js';
import { restartAll } from './quotaFaults.js';

const RATE_PER_SECOND = 600;
const DAY_MS = 26_000;
/** Longest time between two events, in milliseconds. */
const MAX_PAUSE_MS = 1_600;
/** Time after a start of all processes in which no link is cut, in milliseconds: nobody knows the number of routers then. */
const LEARNING_MS = 3_000;
const LOADS = [0.1, 0.8, 3, 7];

/** Broken versions of the code; each exceeds the bound on some day. */
export const QUOTA_MUTANTS: Readonly<Record<string, Mutant>> = {
  'full buckets after a start': {
    answer: (method, params, agent) => {
      const costs = (params.costs ?? []) as readonly number[];
      const sum = costs.reduce((total, cost) => total + cost, 0);
      const burst = Number(params.burst);
      if (method !== QUOTA_METHODS.take || agent.extra + sum > burst) {
        return undefined;
      }
      agent.extra += sum;
      return { retriesInMs: costs.map(() => 0), spent: 0 };
    },
  },
  'shares that move without the consent of their issuer': { isReleaseAssumed: true },
  'shares of the routers in touch only': { routerCount: 1 },
  'unsent credit left out': {
    changeParams: (method, params) => {
      switch (method) {
        case QUOTA_METHODS.take:
          return { ...params, unsent: 0 };
        case QUOTA_METHODS.renew:
          return { ...params, unsent: [] };
        default:
          return params;
      }
    },
  },
  'lower limits left out': {
    changeParams: (method, params) => {
      const { quotas, ...rest } = params;
      const isFirst = (quotas as { version: number } | undefined)?.version === 1;
      if (method === QUOTA_METHODS.renew) {
        return isFirst ? params : rest;
      }
      return { ...params, version: 0 };
    },
  },
};

/** Simulates a day with random faults; returns the largest use of a window as a multiple of the bound, and what happened. */
export async function simulateDay(
  seed: number,
  mutant: Mutant = {},
): Promise<{ readonly ratio: number; readonly events: readonly string[] }> {
  const random = new Random(seed);
  const routerCount = 2 + random.nextInt(5);
  const agentCount = 2 + random.nextInt(3);
  const bursts = [0.2, 0.5, 1, 4];
  const ratio = [0.02, 0.1][random.nextInt(2)] ?? 0;
  const hasSlack = random.nextInt(4) === 0;
  const simulation = new QuotaFleetSimulation({
    seed,
    mutant,
    routerCount,
    agentCount,
    quota: { ratePerSecond: RATE_PER_SECOND, burst: RATE_PER_SECOND * (bursts[random.nextInt(4)] ?? 1) },
    tolerance: { windowMs: 8_000, ratio, slack: hasSlack ? RATE_PER_SECOND : 0 },
    cost: 20,
    load: LOADS[random.nextInt(LOADS.length)] ?? 1,
    weights: Array.from({ length: routerCount }, () => 1 + random.nextInt(10) ** 2),
    delayedShare: random.nextInt(3) === 0 ? 0.9 : 0,
  });
  const { routers, agents, clock } = simulation;
  const drawSubset = (count: number) =>
    Array.from({ length: count }, (_, index) => index).filter(() => random.nextInt(2) === 0);
  /** Lists one agent after the other alone, so that all shares move each time. */
  const flap = (count: number, intervalMs: number) => {
    simulation.list(
      agents
        .slice(count % agentCount)
        .slice(0, 1)
        .map(({ address }) => address),
    );
    if (count > 0) {
      clock.schedule(intervalMs, () => flap(count - 1, intervalMs));
    }
  };
  let restartedAtMs = 0;
  const steps: Readonly<Record<string, () => void>> = {
    restartRouter: () => simulation.restartRouter(random.nextInt(routerCount)),
    restartAgent: () => simulation.restartAgent(random.nextInt(agentCount)),
    restartIssuer: () => simulation.restartAgent(Math.max(0, simulation.findIssuer())),
    killIssuer: () => simulation.killAgent(Math.max(0, simulation.findIssuer())),
    freezeIssuer: () => agents[simulation.findIssuer()]?.clock.freeze(),
    freezeRouters: () => {
      for (const index of drawSubset(routerCount)) {
        routers[index]?.clock.freeze();
      }
    },
    cut: () => {
      if (clock.nowMs() - restartedAtMs >= LEARNING_MS) {
        const direction = (['to', 'from', 'both'] as const)[random.nextInt(3)] ?? 'both';
        simulation.setCut(true, drawSubset(routerCount), drawSubset(agentCount), direction);
      }
    },
    heal: () => simulation.healAll(),
    restartAll: () => {
      restartAll(simulation);
      restartedAtMs = clock.nowMs();
    },
    list: () => {
      const addresses = agents.map(({ address }) => address);
      simulation.list(addresses.filter(() => random.nextInt(3) > 0));
    },
    flap: () => flap(4 + random.nextInt(12), 400 + random.nextInt(1_600)),
    cutIssuer: () => {
      const issuer = simulation.findIssuer();
      if (issuer >= 0 && clock.nowMs() - restartedAtMs >= LEARNING_MS) {
        simulation.setCut(true, drawSubset(routerCount), [issuer], random.nextInt(2) === 0 ? 'to' : 'both');
        clock.schedule(2_500 + random.nextInt(1_000), () => simulation.healAll());
      }
    },
    changeLimit: () => {
      const ratePerSecond = RATE_PER_SECOND * (0.2 + random.nextFraction());
      simulation.changeQuota(
        { ratePerSecond, burst: ratePerSecond * random.nextInt(3) },
        1 + random.nextInt(2_500),
      );
    },
    changeLoad: () => {
      simulation.load = LOADS[random.nextInt(LOADS.length)] ?? 1;
    },
    reviveAgents: () => {
      for (const [index, agent] of agents.entries()) {
        if (agent.clock.isEnded) {
          simulation.restartAgent(index);
        }
      }
    },
  };
  const names = Object.keys(steps);
  const events: string[] = [];
  while (clock.nowMs() < DAY_MS) {
    await simulation.run(random.nextInt(MAX_PAUSE_MS));
    const name = names[random.nextInt(names.length)] ?? '';
    events.push(`${clock.nowMs()} ${name}`);
    steps[name]?.();
  }
  simulation.healAll();
  await simulation.run(4_000);
  return { ratio: simulation.oracle.getLargestRatio(), events };
}
