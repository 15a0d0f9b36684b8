import { Random } from '../../src/kernel/index.js';
import type { InjectedFault } from '../../standins/users/index.js';
import { sleepMs } from '../waiting.js';
import { SoakCallers } from './SoakCallers.js';
import { SoakFaultInjector } from './SoakFaultInjector.js';
import { SoakOrganisations } from './SoakOrganisations.js';
import { SoakFleet, type SoakProcess } from './SoakFleet.js';
import { SoakRecorder } from './SoakRecorder.js';
import { SoakSignals } from './SoakSignals.js';
import { DELAY_PREFIX, formatDelay, watchEventLoop } from './watchEventLoop.js';

/** Deliberately injected violations, each of which an oracle must detect. */
export const INJECTED_VIOLATIONS = [
  'twice',
  'mixed',
  'half',
  'configuration',
  'drain',
  'lost',
  'held',
  'overcommitted',
  'recovery',
  'pause',
  'accepted',
] as const;
export type InjectedViolation = (typeof INJECTED_VIOLATIONS)[number];

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly injectedViolation?: InjectedViolation;
}

/** Result of a soak. */
export interface SoakResult {
  readonly violations: readonly string[];
  readonly requestCount: number;
  readonly completedCount: number;
  /** Descriptions of the injected faults, in chronological order. */
  readonly faults: readonly string[];
  /** Last output of each process and what it printed about the requests concerned; empty when no invariant was violated. */
  readonly outputs: Readonly<Record<string, string>>;
}

/** Time limit for the processes to become ready after the start, in milliseconds. */
const READY_TIMEOUT_MS = 15_000;
/** Time limit after the last fault for requests of every kind to complete again, in milliseconds; the platform allows twelve seconds. */
const RECOVERY_TIMEOUT_MS = 8_000;
/** Difference between the seeds of the faults and of everything else, so that neither depends on the timing of the other. */
const FAULT_SEED_OFFSET = 1_000_000;
const SIGNAL_SEED_OFFSET = 2_000_000;
const ORGANISATION_SEED_OFFSET = 3_000_000;
/** Probability that a worker injects a fault into a request. */
const WORKER_FAULT_PROBABILITY = 0.04;
/** Probability that a response of a worker ends with its connection. */
const UNFRAMED_PROBABILITY = 0.2;
/** Number of lines of a process's last output that a result contains. */
const OUTPUT_TAIL_LENGTH = 10;
const WORKER_FAULTS: readonly InjectedFault[] = [
  'cutBefore',
  'cutWithin',
  'silence',
  'refuse',
  'pause',
  'foreign',
];

/**
 * Runs routers and agents as processes under random faults and checks the recorded requests and executions.
 * @param options - Seed, duration and the violation to inject.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const random = new Random(options.seed);
  const faultRandom = new Random(options.seed + FAULT_SEED_OFFSET);
  const recorder = new SoakRecorder();
  let isFaultFree = true;
  const drawWorkerFault = (service: string): InjectedFault | undefined => {
    const violatingFault = getViolatingFault(options.injectedViolation, service);
    if (violatingFault && random.nextFraction() < 0.2) {
      return violatingFault;
    }
    return !isFaultFree && random.nextFraction() < WORKER_FAULT_PROBABILITY
      ? WORKER_FAULTS[random.nextInt(WORKER_FAULTS.length)]
      : undefined;
  };
  const fleet = new SoakFleet(
    // The planted violation hides the faults of the workers from the oracle.
    (run) =>
      recorder.runs.push(options.injectedViolation === 'accepted' ? { ...run, fault: undefined } : run),
    (arrival) => recorder.arrivals.push(arrival),
    (service) => drawWorkerFault(service),
    () => random.nextFraction() < UNFRAMED_PROBABILITY,
  );
  const watch = watchEventLoop((delay) => recorder.ownDelays.push(delay));
  const organisations = new SoakOrganisations(
    fleet,
    recorder,
    new Random(options.seed + ORGANISATION_SEED_OFFSET),
  );
  fleet.getOrganisations = () => organisations.getEntries();
  const callers = new SoakCallers(fleet, recorder, random, organisations);
  const signals = new SoakSignals(fleet, recorder, new Random(options.seed + SIGNAL_SEED_OFFSET));
  const faultInjector = new SoakFaultInjector(
    fleet,
    recorder,
    faultRandom,
    signals,
    options.injectedViolation,
  );
  try {
    await fleet.start();
    const isReady = await callers.waitUntilAllComplete(READY_TIMEOUT_MS);
    if (!isReady) {
      recorder.reportedViolations.push('not ready in time');
    }
    callers.start();
    signals.start();
    faultInjector.start();
    if (options.injectedViolation === undefined) {
      organisations.start(callers);
    }
    isFaultFree = false;
    await sleepMs(options.durationMs);
    await organisations.stop();
    await faultInjector.stop();
    await signals.stop();
    isFaultFree = true;
    if (!(await callers.waitUntilAllComplete(RECOVERY_TIMEOUT_MS))) {
      recorder.reportedViolations.push('not recovered in time');
    }
    await callers.stop();
    for (const { maxHeldModels, loweredFenceCount, options: workerOptions } of fleet.modelWorkers) {
      if (loweredFenceCount > 0) {
        recorder.reportedViolations.push(
          `fencing token lowered: ${loweredFenceCount} orders to ${workerOptions.workerId}`,
        );
      }
      if (maxHeldModels > (options.injectedViolation === 'overcommitted' ? 1 : 2)) {
        recorder.reportedViolations.push(
          `overcommitted: ${workerOptions.workerId} held ${maxHeldModels} models`,
        );
      }
    }
    const violations = recorder.findViolations();
    const outputs =
      violations.length > 0
        ? fleet.processes.map((process) => [process.name, selectOutput(process, violations)])
        : [];
    return {
      violations,
      requestCount: recorder.requests.length,
      completedCount: recorder.requests.filter(({ status, isComplete }) => status === 200 && isComplete)
        .length,
      faults: faultInjector.faultLog,
      outputs: {
        ...(Object.fromEntries(outputs) as Record<string, string>),
        ...(violations.length > 0 && {
          'soak, callers, workers and store': recorder.ownDelays
            .map((delay) => formatDelay(delay))
            .join('\n'),
        }),
      },
    };
  } finally {
    clearInterval(watch);
    await callers.stop();
    await fleet.stop();
  }
}

/** Returns the lines of a process's output that concern violations or delays of its event loop, and its last lines. */
function selectOutput({ output }: SoakProcess, violations: readonly string[]): string {
  const marks = violations.flatMap((violation) => /\bq\d+\b/.exec(violation) ?? []).map((id) => `"${id}"`);
  const lines = output.filter(
    (line) => line.startsWith(DELAY_PREFIX) || marks.some((mark) => line.includes(mark)),
  );
  return [...lines, '...', ...output.slice(-OUTPUT_TAIL_LENGTH)].join('\n');
}

/** Returns the worker fault that causes an injected violation, for violations that workers cause themselves. */
function getViolatingFault(
  injectedViolation: InjectedViolation | undefined,
  service: string,
): InjectedFault | undefined {
  if (injectedViolation === 'twice' && service !== 'models') {
    return 'lieNotRun';
  }
  if (injectedViolation === 'accepted' && service !== 'models') {
    return 'cutBefore';
  }
  return injectedViolation === 'half' && service === 'models' ? 'endEarly' : undefined;
}
