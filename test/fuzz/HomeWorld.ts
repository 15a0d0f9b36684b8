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
import { action, type FuzzedPromise, type World } from './Action.js';

const SLOT_COUNT = 3;
const SERVERS = ['s0', 's1'];
const POISON = 'poison';
/** Time between two ticks; a request is answered at most this long after its deadline. */
const TICK_MS = 50;

interface Asked {
  readonly fingerprint: string;
  readonly deadlineAtMs: number;
  state: 'waiting' | 'running' | 'over';
  server?: string;
}

/** One home, two servers and their reports, callers of three organisations, one request that crashes servers. */
export class HomeWorld implements World {
  readonly requests = new Map<string, Asked>();
  readonly reports = new Map<string, ReplicaReport>();
  readonly lost = new Set<string>();
  poisonCrashes = 0;
  nowMs = 0;
  private broken: string | undefined;

  constructor(private readonly home: ModelScheduler) {
    home.setServers(SERVERS.map(toServerId));
  }

  assertPromises(): void {
    if (this.broken !== undefined) {
      throw new Error(this.broken);
    }
    if (this.poisonCrashes > 2) {
      throw new Error(`one request crashed ${this.poisonCrashes} servers`);
    }
    for (const [requestId, asked] of this.requests) {
      if (asked.state === 'waiting' && this.nowMs > asked.deadlineAtMs + TICK_MS) {
        throw new Error(`${requestId} is past its deadline without an answer`);
      }
    }
  }

  ask(organisation: string, requestClass: RequestClass, remainingMs: number, isPoison: boolean): void {
    const requestId = toRequestId(`r${this.requests.size}`);
    const fingerprint = isPoison ? POISON : requestId;
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
    this.lost.delete(server);
    this.home.onReport(report, this.nowMs);
    this.collect();
  }

  lose(server: string): void {
    this.lost.add(server);
    this.home.onServerLost(server, this.nowMs);
    this.collect();
  }

  release(index: number, outcome: 'completed' | 'refused' | 'failed'): void {
    const running = [...this.requests].filter(([, asked]) => asked.state === 'running');
    const found = running[index % Math.max(1, running.length)];
    if (!found) {
      return;
    }
    const [requestId, asked] = found;
    if (asked.fingerprint === POISON) {
      this.crash(asked.server ?? '');
      return;
    }
    asked.state = 'over';
    this.end(requestId, outcome);
  }

  abandon(index: number): void {
    const waiting = [...this.requests].filter(([, asked]) => asked.state === 'waiting');
    const found = waiting[index % Math.max(1, waiting.length)];
    if (found) {
      found[1].state = 'over';
      this.home.onRequestAbandoned(found[0], this.nowMs);
      this.collect();
    }
  }

  advance(byMs: number): void {
    const endAtMs = this.nowMs + byMs;
    while (this.nowMs < endAtMs) {
      this.nowMs = Math.min(endAtMs, this.nowMs + TICK_MS);
      for (const asked of this.requests.values()) {
        if (asked.state === 'running' && this.nowMs > asked.deadlineAtMs) {
          asked.state = 'over';
        }
      }
      this.home.tick(this.nowMs);
      this.collect();
    }
  }

  /** The poisonous request brings its server down, with everything that runs there; the others are asked again. */
  private crash(server: string): void {
    this.poisonCrashes++;
    const victims = [...this.requests].filter(
      ([, asked]) => asked.state === 'running' && asked.server === server,
    );
    for (const [requestId, asked] of victims) {
      asked.state = 'over';
      this.end(requestId, 'crashed');
    }
    this.report(server, 'absent', false);
    for (const [requestId, asked] of victims) {
      asked.state = 'waiting';
      this.send(requestId, 'o1', 'interactive', asked.deadlineAtMs - this.nowMs);
    }
  }

  private send(
    requestId: string,
    organisation: string,
    requestClass: RequestClass,
    remainingMs: number,
  ): void {
    const asked = this.requests.get(requestId);
    this.home.onRequestArrived(
      {
        requestId: toRequestId(requestId),
        organisationId: toOrganisationId(organisation),
        modelId: toModelId('svc/m'),
        requestClass,
        remainingMs,
        fingerprint: asked?.fingerprint ?? '',
        idempotent: true,
        excludedServerIds: [],
      },
      this.nowMs,
    );
    this.collect();
  }

  private end(requestId: string, outcome: 'completed' | 'refused' | 'failed' | 'crashed'): void {
    this.home.onReleased(
      { requestId: toRequestId(requestId), modelId: toModelId('svc/m'), outcome, serviceMs: 20 },
      this.nowMs,
    );
    this.collect();
  }

  private collect(): void {
    for (const command of this.home.takeCommands()) {
      this.take(command);
    }
  }

  private take(command: SchedulerCommand): void {
    if (command.kind === 'assign') {
      this.takeAssignment(command);
    }
    if (command.kind === 'refuse') {
      const asked = this.requests.get(command.requestId);
      if (asked?.state !== 'waiting') {
        this.broken = `${command.requestId} was answered twice`;
      } else {
        asked.state = 'over';
      }
      const isInnocent = command.reason === 'quarantined' && asked?.fingerprint !== POISON;
      this.broken ??= isInnocent ? `${command.requestId} is innocent but quarantined` : undefined;
      const tellsWhen = command.retryAfterMs !== undefined || command.reason === 'quarantined';
      this.broken ??= tellsWhen ? undefined : `${command.requestId} was not told when to come back`;
    }
  }

  private takeAssignment(command: SchedulerCommand & { kind: 'assign' }): void {
    const asked = this.requests.get(command.requestId);
    const report = this.reports.get(command.serverId);
    if (asked?.state !== 'waiting') {
      this.broken = `${command.requestId} was answered twice`;
      return;
    }
    asked.state = 'running';
    asked.server = command.serverId;
    const together = [...this.requests.values()].filter(
      (other) => other.state === 'running' && other.server === command.serverId,
    );
    if (together.length > SLOT_COUNT) {
      this.broken = `${command.serverId} runs ${together.length} requests in ${SLOT_COUNT} slots`;
    }
    if (command.alone && together.length > 1) {
      this.broken = `${command.requestId} should run alone but has company`;
    }
    if (report?.phase !== 'ready' || report.leaving || this.lost.has(command.serverId)) {
      this.broken = `${command.requestId} was assigned to ${command.serverId}, which takes no work`;
    }
  }
}

const server = fc.constantFrom(...SERVERS);
const organisation = fc.constantFrom('o1', 'o2', 'o3');
const requestClass = fc.constantFrom<RequestClass>('interactive', 'interactive', 'batch');
const phase = fc.constantFrom<ReplicaReport['phase']>(
  'ready',
  'ready',
  'ready',
  'loading',
  'absent',
  'unloading',
);
const actions = [
  ...[1, 2, 3].map(() =>
    action(
      'ask',
      fc.tuple(organisation, requestClass, fc.constantFrom(100, 900, 4_000), fc.nat(5)),
      (world: HomeWorld, [who, what, ms, poison]) => world.ask(who, what, ms, poison === 0),
    ),
  ),
  action('report', fc.tuple(server, phase, fc.nat(5)), (world: HomeWorld, [id, where, leaving]) =>
    world.report(id, where, leaving === 0),
  ),
  action('lose', server, (world: HomeWorld, id) => world.lose(id)),
  ...[1, 2, 3].map(() =>
    action(
      'release',
      fc.tuple(fc.nat(9), fc.constantFrom('completed', 'completed', 'refused', 'failed')),
      (world: HomeWorld, [index, how]) => world.release(index, how),
    ),
  ),
  action('abandon', fc.nat(9), (world: HomeWorld, index) => world.abandon(index)),
  action('advance', fc.constantFrom(20, 50, 300, 1_500), (world: HomeWorld, byMs) => world.advance(byMs)),
];

class ForgivingLedger extends CrashLedger {
  override recordCrash(): 'suspect' {
    return 'suspect';
  }
}

class SuspiciousOfNobody extends CrashLedger {
  override getSuspicion(): 'none' {
    return 'none';
  }
}

/** Never gives anything up. */
class PatientHome extends ModelScheduler {
  override tick(): void {
    return;
  }
}

function createHome(crashes: CrashLedger): ModelScheduler {
  return new ModelScheduler({ alwaysLoaded: false, keepAlive: new FixedKeepAlivePolicy(1_000), crashes });
}

/** Served or refused in time, exactly once, on servers that take work; a crashing request stopped after two crashes. */
export const homePromise: FuzzedPromise<HomeWorld> = {
  name: 'every waiting request is served or refused in time, once',
  actions,
  maxCommands: 120,
  create: () => new HomeWorld(createHome(new CrashLedger())),
  finish: (world) => {
    world.advance(10_000);
    world.assertPromises();
  },
  mutants: {
    'home that gives nothing up': () =>
      new HomeWorld(
        new PatientHome({
          alwaysLoaded: false,
          keepAlive: new FixedKeepAlivePolicy(1_000),
          crashes: new CrashLedger(),
        }),
      ),
    'crashes are never held against a request': () => new HomeWorld(createHome(new ForgivingLedger())),
    'nobody is ever suspected': () => new HomeWorld(createHome(new SuspiciousOfNobody())),
  },
};
