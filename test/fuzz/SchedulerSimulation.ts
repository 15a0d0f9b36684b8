import fc from 'fast-check';
import {
  toModelId,
  toOrganisationId,
  toRequestId,
  toServerId,
  type ReplicaReport,
  type RequestClass,
} from '../../src/domain/index.js';
import {
  CrashLedger,
  FixedKeepAlivePolicy,
  ModelScheduler,
  type SchedulerCommand,
} from '../../src/home/decisions/index.js';
import { commandArb, type FuzzedProperty, type Simulation } from './Simulation.js';

const SLOT_COUNT = 3;
const SERVER_IDS = ['s0', 's1'];
const POISON_FINGERPRINT = 'poison';
/** Time between two ticks; a request is refused at most this long after its deadline. */
const TICK_MS = 50;

interface SimulatedRequest {
  readonly fingerprint: string;
  readonly deadlineAtMs: number;
  state: 'waiting' | 'running' | 'over';
  server?: string;
}

/** Simulates a scheduler, two servers and their reports, callers of three organisations, and a request that crashes servers. */
export class SchedulerSimulation implements Simulation {
  readonly requests = new Map<string, SimulatedRequest>();
  readonly reports = new Map<string, ReplicaReport>();
  readonly lostServers = new Set<string>();
  poisonCrashCount = 0;
  nowMs = 0;
  private violation: string | undefined;

  constructor(private readonly scheduler: ModelScheduler) {
    scheduler.setServers(SERVER_IDS.map(toServerId));
  }

  assertInvariants(): void {
    if (this.violation !== undefined) {
      throw new Error(this.violation);
    }
    if (this.poisonCrashCount > 2) {
      throw new Error(`one request crashed ${this.poisonCrashCount} servers`);
    }
    for (const [requestId, request] of this.requests) {
      if (request.state === 'waiting' && this.nowMs > request.deadlineAtMs + TICK_MS) {
        throw new Error(`${requestId} was neither assigned nor refused by its deadline`);
      }
    }
  }

  submitRequest(
    organisation: string,
    requestClass: RequestClass,
    remainingMs: number,
    isPoison: boolean,
  ): void {
    const requestId = toRequestId(`r${this.requests.size}`);
    const fingerprint = isPoison ? POISON_FINGERPRINT : requestId;
    this.requests.set(requestId, { fingerprint, deadlineAtMs: this.nowMs + remainingMs, state: 'waiting' });
    this.send(requestId, organisation, requestClass, remainingMs);
  }

  report(server: string, phase: ReplicaReport['phase'], leaving: boolean): void {
    const report: ReplicaReport = {
      serverId: toServerId(server),
      incarnation: 'i',
      modelId: toModelId('svc/m'),
      phase,
      placementVersion: 1,
      slotCount: SLOT_COUNT,
      leaving,
      reachable: true,
    };
    this.reports.set(server, report);
    this.lostServers.delete(server);
    this.scheduler.onReport(report, this.nowMs);
    this.processCommands();
  }

  loseServer(server: string): void {
    this.lostServers.add(server);
    this.scheduler.onServerLost(server, this.nowMs);
    this.processCommands();
  }

  /** Ends a running request; the poison request crashes its server instead. */
  release(index: number, outcome: 'completed' | 'refused' | 'failed'): void {
    const running = [...this.requests].filter(([, request]) => request.state === 'running');
    const found = running[index % Math.max(1, running.length)];
    if (!found) {
      return;
    }
    const [requestId, request] = found;
    if (request.fingerprint === POISON_FINGERPRINT) {
      this.crash(request.server ?? '');
      return;
    }
    request.state = 'over';
    this.releaseRequest(requestId, outcome);
  }

  abandon(index: number): void {
    const waiting = [...this.requests].filter(([, request]) => request.state === 'waiting');
    const found = waiting[index % Math.max(1, waiting.length)];
    if (found) {
      found[1].state = 'over';
      this.scheduler.onRequestAbandoned(found[0], this.nowMs);
      this.processCommands();
    }
  }

  advance(byMs: number): void {
    const endAtMs = this.nowMs + byMs;
    while (this.nowMs < endAtMs) {
      this.nowMs = Math.min(endAtMs, this.nowMs + TICK_MS);
      for (const request of this.requests.values()) {
        if (request.state === 'running' && this.nowMs > request.deadlineAtMs) {
          request.state = 'over';
        }
      }
      this.scheduler.tick(this.nowMs);
      this.processCommands();
    }
  }

  /** Crashes the server of the poison request; all requests that ran on it are retried. */
  private crash(server: string): void {
    this.poisonCrashCount++;
    const interrupted = [...this.requests].filter(
      ([, request]) => request.state === 'running' && request.server === server,
    );
    for (const [requestId, request] of interrupted) {
      request.state = 'over';
      this.releaseRequest(requestId, 'crashed');
    }
    this.report(server, 'absent', false);
    for (const [requestId, request] of interrupted) {
      request.state = 'waiting';
      this.send(requestId, 'o1', 'interactive', request.deadlineAtMs - this.nowMs);
    }
  }

  private send(
    requestId: string,
    organisation: string,
    requestClass: RequestClass,
    remainingMs: number,
  ): void {
    const request = this.requests.get(requestId);
    this.scheduler.onRequestArrived(
      {
        requestId: toRequestId(requestId),
        organisationId: toOrganisationId(organisation),
        modelId: toModelId('svc/m'),
        requestClass,
        remainingMs,
        fingerprint: request?.fingerprint ?? '',
        idempotent: true,
        excludedServerIds: [],
      },
      this.nowMs,
    );
    this.processCommands();
  }

  private releaseRequest(requestId: string, outcome: 'completed' | 'refused' | 'failed' | 'crashed'): void {
    this.scheduler.onReleased(
      { requestId: toRequestId(requestId), modelId: toModelId('svc/m'), outcome, serviceMs: 20 },
      this.nowMs,
    );
    this.processCommands();
  }

  private processCommands(): void {
    for (const command of this.scheduler.takeCommands()) {
      this.onCommand(command);
    }
  }

  private onCommand(command: SchedulerCommand): void {
    if (command.kind === 'assign') {
      this.onAssignment(command);
    }
    if (command.kind === 'refuse') {
      const request = this.requests.get(command.requestId);
      if (request?.state !== 'waiting') {
        this.violation = `${command.requestId} was assigned or refused while it was not waiting`;
      } else {
        request.state = 'over';
      }
      const isWronglyQuarantined =
        command.reason === 'quarantined' && request?.fingerprint !== POISON_FINGERPRINT;
      this.violation ??= isWronglyQuarantined
        ? `${command.requestId} was quarantined although it caused no crash`
        : undefined;
      const hasRetryTime = command.retryAfterMs !== undefined || command.reason === 'quarantined';
      this.violation ??= hasRetryTime ? undefined : `${command.requestId} was refused without a retry time`;
    }
  }

  private onAssignment(command: SchedulerCommand & { kind: 'assign' }): void {
    const request = this.requests.get(command.requestId);
    const report = this.reports.get(command.serverId);
    if (request?.state !== 'waiting') {
      this.violation = `${command.requestId} was assigned or refused while it was not waiting`;
      return;
    }
    request.state = 'running';
    request.server = command.serverId;
    const runningOnServer = [...this.requests.values()].filter(
      (other) => other.state === 'running' && other.server === command.serverId,
    );
    if (runningOnServer.length > SLOT_COUNT) {
      this.violation = `${command.serverId} runs ${runningOnServer.length} requests in ${SLOT_COUNT} slots`;
    }
    if (command.alone && runningOnServer.length > 1) {
      this.violation = `${command.requestId} must run alone but shares its server`;
    }
    if (report?.phase !== 'ready' || report.leaving || this.lostServers.has(command.serverId)) {
      this.violation = `${command.requestId} was assigned to ${command.serverId}, which accepts no requests`;
    }
  }
}

const serverArb = fc.constantFrom(...SERVER_IDS);
const organisationArb = fc.constantFrom('o1', 'o2', 'o3');
const requestClassArb = fc.constantFrom<RequestClass>('interactive', 'interactive', 'batch');
const phaseArb = fc.constantFrom<ReplicaReport['phase']>(
  'ready',
  'ready',
  'ready',
  'loading',
  'absent',
  'unloading',
);
const commands = [
  ...[1, 2, 3].map(() =>
    commandArb(
      'ask',
      fc.tuple(organisationArb, requestClassArb, fc.constantFrom(100, 900, 4_000), fc.nat(5)),
      (simulation: SchedulerSimulation, [organisation, requestClass, remainingMs, poison]) =>
        simulation.submitRequest(organisation, requestClass, remainingMs, poison === 0),
    ),
  ),
  commandArb(
    'report',
    fc.tuple(serverArb, phaseArb, fc.nat(5)),
    (simulation: SchedulerSimulation, [server, phase, leaving]) =>
      simulation.report(server, phase, leaving === 0),
  ),
  commandArb('lose', serverArb, (simulation: SchedulerSimulation, server) => simulation.loseServer(server)),
  ...[1, 2, 3].map(() =>
    commandArb(
      'release',
      fc.tuple(fc.nat(9), fc.constantFrom('completed', 'completed', 'refused', 'failed')),
      (simulation: SchedulerSimulation, [index, outcome]) => simulation.release(index, outcome),
    ),
  ),
  commandArb('abandon', fc.nat(9), (simulation: SchedulerSimulation, index) => simulation.abandon(index)),
  commandArb('advance', fc.constantFrom(20, 50, 300, 1_500), (simulation: SchedulerSimulation, byMs) =>
    simulation.advance(byMs),
  ),
];

/** Records every crash as the first one, so that no request is quarantined. */
class NeverQuarantiningLedger extends CrashLedger {
  override recordCrash(): 'suspect' {
    return 'suspect';
  }
}

/** Reports every request as unrelated to crashes. */
class NeverSuspectingLedger extends CrashLedger {
  override getCrashStatus(): 'none' {
    return 'none';
  }
}

/** Ignores ticks, so that no request is refused at its deadline. */
class TickIgnoringScheduler extends ModelScheduler {
  override tick(): void {
    return;
  }
}

function createScheduler(crashes: CrashLedger): ModelScheduler {
  return new ModelScheduler({ alwaysLoaded: false, keepAlive: new FixedKeepAlivePolicy(1_000), crashes });
}

/** Each request is assigned or refused in time and once, on servers that accept requests; two crashes block the poison request. */
export const schedulerProperty: FuzzedProperty<SchedulerSimulation> = {
  name: 'every waiting request is served or refused in time, once',
  commands,
  maxCommands: 120,
  create: () => new SchedulerSimulation(createScheduler(new CrashLedger())),
  finish: (simulation) => {
    simulation.advance(10_000);
    simulation.assertInvariants();
  },
  mutants: {
    'scheduler ignores ticks': () =>
      new SchedulerSimulation(
        new TickIgnoringScheduler({
          alwaysLoaded: false,
          keepAlive: new FixedKeepAlivePolicy(1_000),
          crashes: new CrashLedger(),
        }),
      ),
    'crash ledger never quarantines a request': () =>
      new SchedulerSimulation(createScheduler(new NeverQuarantiningLedger())),
    'crash ledger never reports a suspect': () =>
      new SchedulerSimulation(createScheduler(new NeverSuspectingLedger())),
  },
};
