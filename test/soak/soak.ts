import { request, type ClientRequest } from 'node:http';
import { Random } from '../../src/kernel/index.js';
import type { InjectedFault } from '../../standins/users/index.js';
import { sleepMs } from '../waiting.js';
import { SoakFaultInjector } from './SoakFaultInjector.js';
import { SoakFleet } from './SoakFleet.js';
import { isStable, SoakRecorder, type RequestKind, type SoakRequest } from './SoakRecorder.js';

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
  /** Last output of each process; empty when no invariant was violated. */
  readonly outputTails: Readonly<Record<string, string>>;
}

/** Interval between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 12;
/** Time limit for the processes to become ready after the start, in milliseconds. */
const READY_TIMEOUT_MS = 15_000;
/** Time limit after the last fault for requests of every kind to complete again, in milliseconds; the platform allows twelve seconds. */
const RECOVERY_TIMEOUT_MS = 8_000;
/** Probability that a worker injects a fault into a request. */
const WORKER_FAULT_PROBABILITY = 0.04;
const WORKER_FAULTS: readonly InjectedFault[] = [
  'cutBefore',
  'cutWithin',
  'silence',
  'refuse',
  'pause',
  'foreign',
];
const KINDS: readonly RequestKind[] = ['stream', 'stream', 'read', 'write', 'moved'];

/**
 * Runs routers and agents as processes under random faults and checks the recorded requests and executions.
 * @param options - Seed, duration and the violation to inject.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const random = new Random(options.seed);
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
    (run) => recorder.runs.push(run),
    (arrival) => recorder.arrivals.push(arrival),
    (service) => drawWorkerFault(service),
  );
  const callers = new SoakCallers(fleet, recorder, random);
  const faultInjector = new SoakFaultInjector(fleet, recorder, random, options.injectedViolation);
  try {
    await fleet.start();
    const isReady = await callers.waitUntilAllComplete(READY_TIMEOUT_MS);
    if (!isReady) {
      recorder.reportedViolations.push('not ready in time');
    }
    callers.start();
    faultInjector.start();
    isFaultFree = false;
    await sleepMs(options.durationMs);
    await faultInjector.stop();
    isFaultFree = true;
    if (!(await callers.waitUntilAllComplete(RECOVERY_TIMEOUT_MS))) {
      recorder.reportedViolations.push('not recovered in time');
    }
    await callers.stop();
    for (const { maxHeldModels, options: workerOptions } of fleet.modelWorkers) {
      if (maxHeldModels > (options.injectedViolation === 'overcommitted' ? 1 : 2)) {
        recorder.reportedViolations.push(
          `overcommitted: ${workerOptions.workerId} held ${maxHeldModels} models`,
        );
      }
    }
    const violations = recorder.findViolations();
    const outputTails =
      violations.length > 0 ? fleet.processes.map(({ name, outputTail }) => [name, outputTail] as const) : [];
    return {
      violations,
      requestCount: recorder.requests.length,
      completedCount: recorder.requests.filter(({ status, isComplete }) => status === 200 && isComplete)
        .length,
      faults: faultInjector.faultLog,
      outputTails: Object.fromEntries(outputTails),
    };
  } finally {
    await callers.stop();
    await fleet.stop();
  }
}

/** Returns the worker fault that causes an injected violation, for violations that workers cause themselves. */
function getViolatingFault(
  injectedViolation: InjectedViolation | undefined,
  service: string,
): InjectedFault | undefined {
  if (injectedViolation === 'twice' && service !== 'models') {
    return 'lieNotRun';
  }
  return injectedViolation === 'half' && service === 'models' ? 'endEarly' : undefined;
}

/** Callers that send requests to all routers, each on a separate connection that stays open until the response ends. */
class SoakCallers {
  private count = 0;
  private timer: NodeJS.Timeout | undefined;
  private readonly openRequests = new Set<Promise<unknown>>();

  constructor(
    private readonly fleet: SoakFleet,
    private readonly recorder: SoakRecorder,
    private readonly random: Random,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      const kind = KINDS[this.random.nextInt(KINDS.length)] ?? 'read';
      const pendingRequest = this.sendRequest(kind, this.random.nextInt(this.fleet.routers.length));
      this.openRequests.add(pendingRequest);
      void pendingRequest.finally(() => this.openRequests.delete(pendingRequest));
    }, REQUEST_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.openRequests);
  }

  /** Waits until each kind of request completes on each router; returns false on timeout. */
  async waitUntilAllComplete(timeoutMs: number): Promise<boolean> {
    const deadlineMs = Date.now() + timeoutMs;
    let pendingProbes = this.fleet.routers.flatMap((_, router) => KINDS.map((kind) => ({ kind, router })));
    while (pendingProbes.length > 0 && Date.now() < deadlineMs) {
      const probeResults = await Promise.all(
        pendingProbes.map(async (probe) => ({
          probe,
          result: await this.sendRequest(probe.kind, probe.router),
        })),
      );
      pendingProbes = probeResults
        .filter(({ result }) => result.status !== 200 || !result.isComplete)
        .map(({ probe }) => probe);
      await sleepMs(100);
    }
    return pendingProbes.length === 0;
  }

  private sendRequest(kind: RequestKind, routerIndex: number): Promise<SoakRequest> {
    const router = this.fleet.routers[routerIndex];
    const id = `q${++this.count}`;
    const record: SoakRequest = {
      requestId: id,
      kind,
      router: router?.name ?? '',
      sentAtMs: Date.now(),
      isRouterStable: isStable(router?.disturbedAtMs ?? 0),
      text: '',
      isComplete: false,
      wasDisturbed: false,
      isSent: false,
    };
    this.recorder.requests.push(record);
    const model = ['a', 'b', 'c', 'd/x'][this.random.nextInt(4)] ?? 'a';
    const headers: Record<string, string> = {
      host: 'a.example',
      'request-id': id,
      'content-length': String(id.length),
    };
    const outgoing = request({
      host: router?.ip,
      port: this.fleet.callerPort,
      method: 'POST',
      path: `/${kind}/x`,
      agent: false,
      headers: kind === 'stream' ? { ...headers, model } : headers,
    });
    return new Promise((resolve) => {
      recordResponse(outgoing, record, () => {
        record.wasDisturbed = (router?.disturbedAtMs ?? 0) >= record.sentAtMs;
        resolve(record);
      });
    });
  }
}

/** Records the response or error of a request as observed by the caller. */
function recordResponse(outgoing: ClientRequest, record: SoakRequest, onEnd: () => void): void {
  const end = () => {
    record.endedAtMs ??= Date.now();
    onEnd();
  };
  outgoing.on('socket', (socket) => socket.once('connect', () => (record.isSent = true)));
  outgoing.on('error', end);
  outgoing.on('response', (response) => {
    record.status = response.statusCode;
    response.on('data', (chunk: Buffer) => (record.text += chunk.toString()));
    response.on('error', () => undefined);
    response.on('close', () => {
      record.isComplete = response.complete;
      end();
    });
  });
  outgoing.setTimeout(20_000, () => outgoing.destroy());
  outgoing.end(record.requestId);
}
