import fc from 'fast-check';
import { AttemptTable } from '../../src/agent/decisions/index.js';
import {
  toAttemptId,
  toRequestId,
  toServerId,
  type AttemptStatusReply,
  type AttemptId,
  type RequestId,
} from '../../src/domain/index.js';
import {
  ClaimLog,
  type AttemptStatusResult,
  type ClaimCommand,
  type ClaimSegment,
  type NumberedSegment,
} from '../../src/home/decisions/index.js';
import { commandArb, type FuzzedProperty, type Simulation } from './Simulation.js';

const KEYS = ['k1', 'k2', 'k3'];
/** Length of a segment in characters; small enough that the second claim seals it. */
const SEGMENT_SEAL_LENGTH = 200;

/** Result of a command on the unreliable channel, chosen by the fault injection. */
type DeliveryOutcome = 'done' | 'answerLost' | 'requestLost' | 'arrivesLate' | 'unavailable';

interface SimulatedRequest {
  readonly requestId: RequestId;
  readonly key: string;
  attempts: number;
  attemptId: AttemptId;
  owner: number;
  server: number;
  state: 'claiming' | 'dispatched' | 'refusedByAgent' | 'over';
  incarnation: number;
}

/** Agent that loses its attempt table when it restarts. */
class FakeAgent {
  table = new AttemptTable();
  incarnation = 1;

  constructor(private readonly createTable: () => AttemptTable) {
    this.table = createTable();
  }

  restart(): void {
    this.incarnation++;
    this.table = this.createTable();
  }

  queryStatus(attemptId: AttemptId, incarnation: number, checksIncarnation: boolean): AttemptStatusReply {
    if (checksIncarnation && incarnation !== this.incarnation) {
      return { kind: 'otherIncarnation' };
    }
    const status = this.table.resolveStatus(attemptId, 0);
    const outcome = this.table.getOutcome(attemptId);
    return status.kind === 'finished' && outcome ? { ...status, outcome } : status;
  }
}

/** Faults to inject. */
export interface ClaimFaults {
  readonly dropsTombstones?: boolean;
  readonly ignoresIncarnation?: boolean;
  readonly treatsUnknownAsWritten?: boolean;
}

/** Stores no tombstone for a refused attempt. */
class TombstoneDroppingTable extends AttemptTable {
  override refuse(): void {
    return;
  }
}

/** Simulates two owner routers that store claims on one platform, callers that retry, and agents that run attempts. */
export class ClaimSimulation implements Simulation {
  readonly segments = new Map<number, NumberedSegment>();
  readonly owners = [new ClaimLog('h0', SEGMENT_SEAL_LENGTH), new ClaimLog('h1', SEGMENT_SEAL_LENGTH)];
  readonly agents: FakeAgent[];
  /** Commands of the owner routers that are not completed yet. */
  readonly pendingCommands: { readonly owner: number; readonly command: ClaimCommand }[] = [];
  /** Writes that the platform receives after the owner router stopped waiting for them. */
  readonly delayedWrites: (() => void)[] = [];
  readonly requests: SimulatedRequest[] = [];
  /** Number of executions by idempotency key. */
  readonly executionCounts = new Map<string, number>();
  /** Attempts whose refusal states that they did not run. */
  readonly reportedNotRun = new Set<string>();
  readonly executedAttempts = new Set<string>();
  private readonly requestsByOperation = new Map<string, SimulatedRequest>();

  constructor(private readonly faults: ClaimFaults) {
    const createTable = () => (faults.dropsTombstones ? new TombstoneDroppingTable() : new AttemptTable());
    this.agents = [new FakeAgent(createTable), new FakeAgent(createTable)];
  }

  assertInvariants(): void {
    for (const [key, count] of this.executionCounts) {
      if (count > 1) {
        throw new Error(`${key} was executed ${count} times`);
      }
    }
    for (const attemptId of this.reportedNotRun) {
      if (this.executedAttempts.has(attemptId)) {
        throw new Error(`${attemptId} ran although it was reported as not run`);
      }
    }
  }

  submitRequest(key: string, owner: number, server: number): void {
    const requestId = toRequestId(`r${this.requests.length}`);
    const attemptId = toAttemptId(requestId, 1);
    const incarnation = this.agents[server]!.incarnation;
    const request: SimulatedRequest = {
      requestId,
      key,
      attempts: 1,
      attemptId,
      owner,
      server,
      state: 'claiming',
      incarnation,
    };
    this.requests.push(request);
    this.claim(request, false);
  }

  /** Sends a new attempt of a request that an agent refused, as the entry router does. */
  retry(index: number, owner: number, server: number): void {
    const refused = this.requests.filter((request) => request.state === 'refusedByAgent');
    const request = refused[index % Math.max(1, refused.length)];
    if (!request) {
      return;
    }
    request.attemptId = toAttemptId(request.requestId, ++request.attempts);
    Object.assign(request, {
      owner,
      server,
      state: 'claiming',
      incarnation: this.agents[server]!.incarnation,
    });
    this.claim(request, true);
  }

  /** Delivers a dispatched attempt to its agent, which runs or refuses it. */
  deliverAttempt(index: number, refuses: boolean): void {
    const dispatched = this.requests.filter((request) => request.state === 'dispatched');
    const request = dispatched[index % Math.max(1, dispatched.length)];
    const agent = request && this.agents[request.server];
    if (!request || !agent) {
      return;
    }
    if (agent.incarnation !== request.incarnation) {
      request.state = 'over';
      return;
    }
    const isNew = agent.table.admit(request.attemptId);
    if (!isNew || refuses) {
      if (isNew) {
        agent.table.refuse(request.attemptId, 0);
      }
      this.reportedNotRun.add(request.attemptId);
      request.state = 'refusedByAgent';
      return;
    }
    this.executedAttempts.add(request.attemptId);
    this.executionCounts.set(request.key, (this.executionCounts.get(request.key) ?? 0) + 1);
    agent.table.append(request.attemptId, { head: { status: 201, contentType: 'text/plain' }, text: 'made' });
    agent.table.finish({ kind: 'complete', attemptId: request.attemptId, chunkCount: 1, tokenCount: 0 }, 0);
    request.state = 'over';
  }

  recordOutcome(index: number, owner: number): void {
    const request = this.requests[index % Math.max(1, this.requests.length)];
    if (request && this.executedAttempts.has(request.attemptId)) {
      const { key, requestId } = request;
      const outcome = { head: { status: 201, contentType: 'text/plain' }, body: 'made' };
      this.owners[owner]!.recordOutcome({ claimShard: 's', key, requestId, outcome }, 0);
      this.collectCommands(owner);
    }
  }

  /** Completes a pending command of an owner router with the given outcome. */
  completeCommand(index: number, outcome: DeliveryOutcome): void {
    const [entry] = this.pendingCommands.splice(index % Math.max(1, this.pendingCommands.length), 1);
    if (!entry) {
      return;
    }
    const log = this.owners[entry.owner]!;
    const command = entry.command;
    switch (command.kind) {
      case 'list':
        log.onSegmentsListed(outcome === 'unavailable' ? undefined : [...this.segments.values()], 0);
        break;
      case 'write':
        log.onSegmentWritten(this.write(command.segmentNumber, command.value, command.ifVersion, outcome), 0);
        break;
      case 'ask':
        log.onAttemptStatus(command.key, command.attemptId, this.queryStatus(command, outcome), 0);
        break;
      case 'remove':
      case 'replyClaim':
      case 'replyOutcome':
        break;
    }
    this.collectCommands(entry.owner);
  }

  private claim(request: SimulatedRequest, earlierAttemptDidNotRun: boolean): void {
    const target = {
      serverId: toServerId(`s${request.server}`),
      incarnation: String(request.incarnation),
      peerAddress: '',
    };
    const { key, requestId, attemptId } = request;
    const operationId = this.owners[request.owner]!.claim(
      { claimShard: 's', key, fingerprint: key, requestId, attemptId, target, earlierAttemptDidNotRun },
      0,
    );
    this.requestsByOperation.set(`${request.owner}:${operationId}`, request);
    this.collectCommands(request.owner);
  }

  private queryStatus(
    command: ClaimCommand & { kind: 'ask' },
    outcome: DeliveryOutcome,
  ): AttemptStatusResult {
    const agent = this.agents[Number(command.target.serverId.slice(1))];
    const isReachable = outcome === 'done' || outcome === 'answerLost';
    const reply =
      agent &&
      isReachable &&
      agent.queryStatus(
        command.attemptId,
        Number(command.target.incarnation),
        !this.faults.ignoresIncarnation,
      );
    return reply && outcome === 'done' ? reply : { kind: 'unreachable' };
  }

  private write(segmentNumber: number, value: ClaimSegment, ifVersion: number, outcome: DeliveryOutcome) {
    const apply = (): number | undefined => {
      const version = this.segments.get(segmentNumber)?.version ?? 0;
      if (version !== ifVersion) {
        return undefined;
      }
      this.segments.set(segmentNumber, { segmentNumber, version: version + 1, value });
      return version + 1;
    };
    if (outcome === 'unavailable') {
      return { kind: 'unavailable' as const };
    }
    if (outcome === 'requestLost' || outcome === 'arrivesLate') {
      if (outcome === 'arrivesLate') {
        this.delayedWrites.push(() => apply());
      }
      return this.faults.treatsUnknownAsWritten
        ? { kind: 'written' as const, version: ifVersion + 1 }
        : { kind: 'unknown' as const };
    }
    const version = apply();
    if (version === undefined) {
      return { kind: 'conflict' as const };
    }
    return outcome === 'answerLost' ? { kind: 'unknown' as const } : { kind: 'written' as const, version };
  }

  /** Processes the claim replies of an owner router and queues its other commands. */
  private collectCommands(owner: number): void {
    for (const command of this.owners[owner]!.takeCommands()) {
      if (command.kind !== 'replyClaim') {
        this.pendingCommands.push({ owner, command });
        continue;
      }
      const request = this.requestsByOperation.get(`${owner}:${command.operationId}`);
      if (request) {
        request.state = command.reply.kind === 'claimed' ? 'dispatched' : 'over';
        if (command.reply.kind === 'unavailable') {
          this.reportedNotRun.add(request.attemptId);
        }
      }
    }
  }
}

const keyArb = fc.constantFrom(...KEYS);
const indexArb = fc.nat(1);
const outcomeArb = fc.constantFrom<DeliveryOutcome>(
  'done',
  'done',
  'done',
  'answerLost',
  'requestLost',
  'arrivesLate',
  'unavailable',
);
const commands = [
  commandArb(
    'request',
    fc.tuple(keyArb, indexArb, indexArb),
    (simulation: ClaimSimulation, [key, owner, server]) => simulation.submitRequest(key, owner, server),
  ),
  commandArb(
    'retry',
    fc.tuple(fc.nat(3), indexArb, indexArb),
    (simulation: ClaimSimulation, [index, owner, server]) => simulation.retry(index, owner, server),
  ),
  ...[1, 2, 3].map(() =>
    commandArb('settle', fc.tuple(fc.nat(5), outcomeArb), (simulation: ClaimSimulation, [index, outcome]) =>
      simulation.completeCommand(index, outcome),
    ),
  ),
  commandArb('arrive', fc.tuple(fc.nat(3), fc.boolean()), (simulation: ClaimSimulation, [index, refuses]) =>
    simulation.deliverAttempt(index, refuses),
  ),
  commandArb('recordOutcome', fc.tuple(fc.nat(9), indexArb), (simulation: ClaimSimulation, [index, owner]) =>
    simulation.recordOutcome(index, owner),
  ),
  commandArb('lateWriteArrives', fc.constant(0), (simulation: ClaimSimulation) =>
    simulation.delayedWrites.shift()?.(),
  ),
  commandArb('restartAgent', indexArb, (simulation: ClaimSimulation, index) =>
    simulation.agents[index]!.restart(),
  ),
  commandArb('homeDies', indexArb, (simulation: ClaimSimulation, index) => {
    simulation.owners[index] = new ClaimLog(`h${index}-again`, SEGMENT_SEAL_LENGTH);
    const others = simulation.pendingCommands.filter((entry) => entry.owner !== index);
    simulation.pendingCommands.splice(0, simulation.pendingCommands.length, ...others);
    for (const request of simulation.requests) {
      if (request.owner === index && request.state === 'claiming') {
        request.state = 'over';
      }
    }
  }),
];

/** Non-idempotent requests run at most once, and no attempt that was reported as not run ever runs. */
export const claimProperty: FuzzedProperty<ClaimSimulation> = {
  name: 'a non-idempotent request runs at most once',
  commands,
  maxCommands: 120,
  create: () => new ClaimSimulation({}),
  mutants: {
    'attempt table drops tombstones': () => new ClaimSimulation({ dropsTombstones: true }),
    'restarted agent reports the status of attempts of its previous incarnation': () =>
      new ClaimSimulation({ ignoresIncarnation: true }),
    'write without a response treated as written': () =>
      new ClaimSimulation({ treatsUnknownAsWritten: true }),
  },
};
