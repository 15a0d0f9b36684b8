import { QuotaFleetSimulation, type QuotaScenario } from './QuotaFleetSimulation.js';

/** Time before a fault, in milliseconds. */
export const CALM_MS = 12_000;
/** Time of a fault, in milliseconds. */
export const FAULT_MS = 8_000;

/** Time before the fault in which the burst fills, in milliseconds. */
const QUIET_MS = 4_000;
/** Demand in that time as a multiple of the rate. */
const QUIET_LOAD = 0.2;

/** Fault and its end, on a simulation with an issuer. */
export interface QuotaFault {
  readonly begin: (simulation: QuotaFleetSimulation) => void;
  readonly end?: (simulation: QuotaFleetSimulation) => void;
}

function getHalf(simulation: QuotaFleetSimulation): number[] {
  return simulation.routers.map((_, index) => index).filter((index) => index % 2 === 0);
}

function getAllAgents(simulation: QuotaFleetSimulation): number[] {
  return simulation.agents.map((_, index) => index);
}

/** Restarts all processes at the same moment. */
export function restartAll(simulation: QuotaFleetSimulation): void {
  simulation.healAll();
  for (const index of simulation.agents.keys()) {
    simulation.restartAgent(index);
  }
  for (const index of simulation.routers.keys()) {
    simulation.restartRouter(index);
  }
}

/** Faults by name, as in the table of the design note. */
export const QUOTA_FAULTS: Readonly<Record<string, QuotaFault>> = {
  none: { begin: () => undefined },
  'issuer killed and restarted 3 s later': {
    begin: (simulation) => {
      const issuer = simulation.findIssuer();
      simulation.killAgent(issuer);
      simulation.clock.schedule(3_000, () => simulation.restartAgent(issuer));
    },
  },
  'issuer restarted at once': { begin: (simulation) => simulation.restartAgent(simulation.findIssuer()) },
  'issuer frozen for 8 s': {
    begin: (simulation) => simulation.agents[simulation.findIssuer()]?.clock.freeze(),
    end: (simulation) => simulation.healAll(),
  },
  'issuer frozen for 1.2 s': {
    begin: (simulation) => {
      simulation.agents[simulation.findIssuer()]?.clock.freeze();
      simulation.clock.schedule(1_200, () => simulation.healAll());
    },
  },
  'issuer no longer listed': {
    begin: (simulation) => {
      const issuer = simulation.agents[simulation.findIssuer()]?.address;
      simulation.list(simulation.listed.filter((address) => address !== issuer));
    },
  },
  'half of the routers cut off from the issuer': {
    begin: (simulation) => simulation.setCut(true, getHalf(simulation), [simulation.findIssuer()], 'both'),
    end: (simulation) => simulation.healAll(),
  },
  'half of the routers cut off, one way': {
    begin: (simulation) => simulation.setCut(true, getHalf(simulation), getAllAgents(simulation), 'from'),
    end: (simulation) => simulation.healAll(),
  },
  'half of the routers cut off from all agents': {
    begin: (simulation) => simulation.setCut(true, getHalf(simulation), getAllAgents(simulation), 'both'),
    end: (simulation) => simulation.healAll(),
  },
  'half of the routers and agents apart': {
    begin: (simulation) => {
      const half = getHalf(simulation);
      const agents = getAllAgents(simulation);
      const others = simulation.routers.map((_, index) => index).filter((index) => !half.includes(index));
      simulation.setCut(
        true,
        half,
        agents.filter((agent) => agent % 2 === 0),
        'both',
      );
      simulation.setCut(
        true,
        others,
        agents.filter((agent) => agent % 2 === 1),
        'both',
      );
    },
    end: (simulation) => simulation.healAll(),
  },
  'all agents killed': {
    begin: (simulation) => {
      for (const index of simulation.agents.keys()) {
        simulation.killAgent(index);
      }
    },
  },
  'one router killed': { begin: (simulation) => simulation.killRouter(0) },
  'half of the routers frozen': {
    begin: (simulation) => {
      for (const index of getHalf(simulation)) {
        simulation.routers[index]?.clock.freeze();
      }
    },
    end: (simulation) => simulation.healAll(),
  },
  'half of the routers restarted': {
    begin: (simulation) => {
      for (const index of getHalf(simulation)) {
        simulation.restartRouter(index);
      }
    },
  },
  'all processes restarted': { begin: restartAll },
  'limit halved': {
    begin: (simulation) => {
      const { ratePerSecond, burst } = simulation.scenario.quota;
      simulation.changeQuota({ ratePerSecond: ratePerSecond / 2, burst: burst / 2 }, 1_000);
    },
  },
};

/** What was measured of a fault. */
export interface FaultResult {
  /** Share of the rate that was used before the fault. */
  readonly calmShare: number;
  /** Share of the rate and the burst that was used during the fault, which begins with the whole burst unused. */
  readonly faultShare: number;
  /** Share of the rate that was used in the 8 s after its end. */
  readonly laterShare: number;
  /** Largest use of a window as a multiple of the quota for it. */
  readonly quotaRatio: number;
  /** Largest use of a window as a multiple of the bound. */
  readonly boundRatio: number;
}

/** Simulates a fault. */
export async function simulateFault(scenario: QuotaScenario, fault: QuotaFault): Promise<FaultResult> {
  const simulation = new QuotaFleetSimulation(scenario);
  const { ratePerSecond, burst } = scenario.quota;
  const getUse = (fromMs: number, untilMs: number, extra: number) =>
    simulation.oracle.getSum(fromMs, untilMs) / (((untilMs - fromMs) / 1_000) * ratePerSecond + extra);
  await simulation.run(CALM_MS);
  simulation.load = QUIET_LOAD;
  await simulation.run(QUIET_MS);
  const beganAtMs = simulation.clock.nowMs();
  simulation.load = scenario.load;
  fault.begin(simulation);
  await simulation.run(FAULT_MS);
  const endedAtMs = simulation.clock.nowMs();
  fault.end?.(simulation);
  await simulation.run(FAULT_MS);
  return {
    calmShare: getUse(4_000, CALM_MS, 0),
    faultShare: getUse(beganAtMs, endedAtMs, burst),
    laterShare: getUse(endedAtMs, endedAtMs + FAULT_MS, 0),
    quotaRatio: simulation.oracle.getLargestQuotaRatio(),
    boundRatio: simulation.oracle.getLargestRatio(),
  };
}
