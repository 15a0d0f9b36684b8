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
import { action, type FuzzedPromise, type World } from './Action.js';

const KEYS = ['k1', 'k2', 'k3'];
/** So small that a segment is sealed with its second claim. */
const SEGMENT_LIMIT = 200;

/** What may happen to a write on its way. */
type WriteFate = 'done' | 'answerLost' | 'requestLost' | 'arrivesLate' | 'unavailable';

interface FakeRequest {
  readonly requestId: RequestId;
  readonly key: string;
  attempts: number;
  attemptId: AttemptId;
  home: number;
  server: number;
  state: 'claiming' | 'dispatched' | 'refusedByAgent' | 'over';
  incarnation: number;
}

/** An agent that remembers attempts until it restarts. */
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

  ask(attemptId: AttemptId, incarnation: number, minding: boolean): AttemptStatusReply {
    if (minding && incarnation !== this.incarnation) {
      return { kind: 'otherIncarnation' };
    }
    const status = this.table.resolveStatus(attemptId, 0);
    const outcome = this.table.getOutcome(attemptId);
    return status.kind === 'finished' && outcome ? { ...status, outcome } : status;
  }
}

/** What can be broken on purpose. */
export interface ClaimFaults {
  readonly forgetsTombstones?: boolean;
  readonly ignoresIncarnation?: boolean;
  readonly takesUnknownForWritten?: boolean;
}

class ForgetfulTable extends AttemptTable {
  override refuse(): void {
    return;
  }
}

/** Two homes that keep claims in one platform, callers that repeat themselves, and agents that run attempts. */
export class ClaimWorld implements World {
  readonly segments = new Map<number, NumberedSegment>();
  readonly homes = [new ClaimLog('h0', SEGMENT_LIMIT), new ClaimLog('h1', SEGMENT_LIMIT)];
  readonly agents: FakeAgent[];
  readonly open: { readonly home: number; readonly command: ClaimCommand }[] = [];
  readonly late: (() => void)[] = [];
  readonly requests: FakeRequest[] = [];
  readonly executions = new Map<string, number>();
  readonly toldDidNotRun = new Set<string>();
  readonly executedAttempts = new Set<string>();
  private readonly operations = new Map<string, FakeRequest>();

  constructor(private readonly faults: ClaimFaults) {
    const createTable = () => (faults.forgetsTombstones ? new ForgetfulTable() : new AttemptTable());
    this.agents = [new FakeAgent(createTable), new FakeAgent(createTable)];
  }

  assertPromises(): void {
    for (const [key, count] of this.executions) {
      if (count > 1) {
        throw new Error(`${key} was executed ${count} times`);
      }
    }
    for (const attemptId of this.toldDidNotRun) {
      if (this.executedAttempts.has(attemptId)) {
        throw new Error(`${attemptId} ran although its refusal said that it did not`);
      }
    }
  }

  request(key: string, home: number, server: number): void {
    const requestId = toRequestId(`r${this.requests.length}`);
    const attemptId = toAttemptId(requestId, 1);
    const incarnation = this.agents[server]!.incarnation;
    const request: FakeRequest = {
      requestId,
      key,
      attempts: 1,
      attemptId,
      home,
      server,
      state: 'claiming',
      incarnation,
    };
    this.requests.push(request);
    this.claim(request, false);
  }

  /** The entry tries another server after an agent refused. */
  retry(index: number, home: number, server: number): void {
    const refused = this.requests.filter((request) => request.state === 'refusedByAgent');
    const request = refused[index % Math.max(1, refused.length)];
    if (!request) {
      return;
    }
    request.attemptId = toAttemptId(request.requestId, ++request.attempts);
    Object.assign(request, {
      home,
      server,
      state: 'claiming',
      incarnation: this.agents[server]!.incarnation,
    });
    this.claim(request, true);
  }

  /** A dispatched attempt arrives at its agent, which runs it or refuses it. */
  arrive(index: number, refuses: boolean): void {
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
      this.toldDidNotRun.add(request.attemptId);
      request.state = 'refusedByAgent';
      return;
    }
    this.executedAttempts.add(request.attemptId);
    this.executions.set(request.key, (this.executions.get(request.key) ?? 0) + 1);
    agent.table.append(request.attemptId, { head: { status: 201, contentType: 'text/plain' }, text: 'made' });
    agent.table.finish({ kind: 'complete', attemptId: request.attemptId, chunkCount: 1, tokenCount: 0 }, 0);
    request.state = 'over';
  }

  recordOutcome(index: number, home: number): void {
    const request = this.requests[index % Math.max(1, this.requests.length)];
    if (request && this.executedAttempts.has(request.attemptId)) {
      const { key, requestId } = request;
      const outcome = { head: { status: 201, contentType: 'text/plain' }, body: 'made' };
      this.homes[home]!.recordOutcome({ claimShard: 's', key, requestId, outcome }, 0);
      this.collect(home);
    }
  }

  settle(index: number, fate: WriteFate): void {
    const [entry] = this.open.splice(index % Math.max(1, this.open.length), 1);
    if (!entry) {
      return;
    }
    const log = this.homes[entry.home]!;
    const command = entry.command;
    switch (command.kind) {
      case 'list':
        log.onSegmentsListed(fate === 'unavailable' ? undefined : [...this.segments.values()], 0);
        break;
      case 'write':
        log.onSegmentWritten(this.write(command.segmentNumber, command.value, command.ifVersion, fate), 0);
        break;
      case 'ask':
        log.onAttemptStatus(command.key, command.attemptId, this.ask(command, fate), 0);
        break;
      case 'remove':
      case 'replyClaim':
      case 'replyOutcome':
        break;
    }
    this.collect(entry.home);
  }

  private claim(request: FakeRequest, earlierAttemptDidNotRun: boolean): void {
    const target = {
      serverId: toServerId(`s${request.server}`),
      incarnation: String(request.incarnation),
      peerAddress: '',
    };
    const { key, requestId, attemptId } = request;
    const operationId = this.homes[request.home]!.claim(
      { claimShard: 's', key, fingerprint: key, requestId, attemptId, target, earlierAttemptDidNotRun },
      0,
    );
    this.operations.set(`${request.home}:${operationId}`, request);
    this.collect(request.home);
  }

  private ask(command: ClaimCommand & { kind: 'ask' }, fate: WriteFate): AttemptStatusResult {
    const agent = this.agents[Number(command.target.serverId.slice(1))];
    const isReachable = fate === 'done' || fate === 'answerLost';
    const answer =
      agent &&
      isReachable &&
      agent.ask(command.attemptId, Number(command.target.incarnation), !this.faults.ignoresIncarnation);
    return answer && fate === 'done' ? answer : { kind: 'unreachable' };
  }

  private write(segmentNumber: number, value: ClaimSegment, ifVersion: number, fate: WriteFate) {
    const apply = (): number | undefined => {
      const version = this.segments.get(segmentNumber)?.version ?? 0;
      if (version !== ifVersion) {
        return undefined;
      }
      this.segments.set(segmentNumber, { segmentNumber, version: version + 1, value });
      return version + 1;
    };
    if (fate === 'unavailable') {
      return { kind: 'unavailable' as const };
    }
    if (fate === 'requestLost' || fate === 'arrivesLate') {
      if (fate === 'arrivesLate') {
        this.late.push(() => apply());
      }
      return this.faults.takesUnknownForWritten
        ? { kind: 'written' as const, version: ifVersion + 1 }
        : { kind: 'unknown' as const };
    }
    const version = apply();
    if (version === undefined) {
      return { kind: 'conflict' as const };
    }
    return fate === 'answerLost' ? { kind: 'unknown' as const } : { kind: 'written' as const, version };
  }

  private collect(home: number): void {
    for (const command of this.homes[home]!.takeCommands()) {
      if (command.kind !== 'replyClaim') {
        this.open.push({ home, command });
        continue;
      }
      const request = this.operations.get(`${home}:${command.operationId}`);
      if (request) {
        request.state = command.reply.kind === 'claimed' ? 'dispatched' : 'over';
        if (command.reply.kind === 'unavailable') {
          this.toldDidNotRun.add(request.attemptId);
        }
      }
    }
  }
}

const key = fc.constantFrom(...KEYS);
const side = fc.nat(1);
const fate = fc.constantFrom<WriteFate>(
  'done',
  'done',
  'done',
  'answerLost',
  'requestLost',
  'arrivesLate',
  'unavailable',
);
const actions = [
  action('request', fc.tuple(key, side, side), (world: ClaimWorld, [id, home, server]) =>
    world.request(id, home, server),
  ),
  action('retry', fc.tuple(fc.nat(3), side, side), (world: ClaimWorld, [index, home, server]) =>
    world.retry(index, home, server),
  ),
  ...[1, 2, 3].map(() =>
    action('settle', fc.tuple(fc.nat(5), fate), (world: ClaimWorld, [index, how]) =>
      world.settle(index, how),
    ),
  ),
  action('arrive', fc.tuple(fc.nat(3), fc.boolean()), (world: ClaimWorld, [index, refuses]) =>
    world.arrive(index, refuses),
  ),
  action('recordOutcome', fc.tuple(fc.nat(9), side), (world: ClaimWorld, [index, home]) =>
    world.recordOutcome(index, home),
  ),
  action('lateWriteArrives', fc.constant(0), (world: ClaimWorld) => world.late.shift()?.()),
  action('restartAgent', side, (world: ClaimWorld, index) => world.agents[index]!.restart()),
  action('homeDies', side, (world: ClaimWorld, index) => {
    world.homes[index] = new ClaimLog(`h${index}-again`, SEGMENT_LIMIT);
    const others = world.open.filter((entry) => entry.home !== index);
    world.open.splice(0, world.open.length, ...others);
    for (const request of world.requests) {
      if (request.home === index && request.state === 'claiming') {
        request.state = 'over';
      }
    }
  }),
];

/** At most once for non-idempotent requests, and true refusals. */
export const claimPromise: FuzzedPromise<ClaimWorld> = {
  name: 'a non-idempotent request runs at most once',
  actions,
  maxCommands: 120,
  create: () => new ClaimWorld({}),
  mutants: {
    'agent forgets that it promised to refuse': () => new ClaimWorld({ forgetsTombstones: true }),
    'restarted agent vouches for its predecessor': () => new ClaimWorld({ ignoresIncarnation: true }),
    'unanswered write taken for done': () => new ClaimWorld({ takesUnknownForWritten: true }),
  },
};
