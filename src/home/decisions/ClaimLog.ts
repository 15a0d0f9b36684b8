import type {
  AttemptId,
  ClaimParams,
  ClaimReply,
  OutcomeParams,
  RecordedOutcome,
} from '../../domain/index.js';
import type {
  AttemptStatusResult,
  ClaimCommand,
  ClaimEntry,
  ClaimSegment,
  ClaimWriteResult,
  NumberedSegment,
} from './ClaimTypes.js';

/** Size at which a segment is sealed and the next one opened, in characters of JSON. */
export const SEGMENT_LIMIT = 32_000;
/** Largest body that is kept for repeats, in characters. */
const KEPT_BODY_LIMIT = 8_000;
/** Time after which a claim is forgotten, in milliseconds. */
export const CLAIM_RETENTION_MS = 86_400_000;

type Operation =
  | {
      readonly kind: 'claim';
      readonly operationId: number;
      readonly params: ClaimParams;
      settled?: SettledAttempt;
    }
  | { readonly kind: 'outcome'; readonly operationId: number; readonly params: OutcomeParams };

/** What was found out about the attempt of an earlier claim. */
interface SettledAttempt {
  readonly attemptId: AttemptId;
  readonly answer: AttemptStatusResult;
}

interface CachedSegment {
  version: number;
  value: ClaimSegment;
}

interface WriteInFlight {
  readonly segmentNumber: number;
  readonly value: ClaimSegment;
  readonly claims: readonly Operation[];
  readonly outcomes: readonly Operation[];
}

/**
 * Gives each idempotency key to one attempt at a time, by conditional updates of a log in the platform.
 *
 * Operations are grouped: while one update is under way the next ones gather. Two homes that write at once conflict on
 * the version, and the loser reads again. A key passes to another request only when its attempt is proved not to have
 * run and never to run.
 */
export class ClaimLog {
  private segments = new Map<number, CachedSegment>();
  private isFresh = false;
  private isListing = false;
  private writeInFlight: WriteInFlight | undefined;
  private pending: Operation[] = [];
  private readonly asking = new Map<string, Operation[]>();
  private readonly commands: ClaimCommand[] = [];
  private nextOperationId = 1;
  private writeCount = 0;

  /**
   * @param writerId - Names this writer's run, unique among all.
   * @param segmentLimit - Size at which a segment is sealed, in characters of JSON.
   */
  constructor(
    private readonly writerId: string,
    private readonly segmentLimit = SEGMENT_LIMIT,
  ) {}

  /** Takes the commands that are to be carried out. */
  takeCommands(): ClaimCommand[] {
    return this.commands.splice(0);
  }

  /**
   * Asks for a claim and returns the number under which the reply comes.
   * @param params - The claim.
   * @param nowMs - Time now.
   */
  claim(params: ClaimParams, nowMs: number): number {
    return this.enqueue({ kind: 'claim', operationId: this.nextOperationId++, params }, nowMs);
  }

  /**
   * Records an outcome and returns the number under which the reply comes.
   * @param params - The outcome.
   * @param nowMs - Time now.
   */
  recordOutcome(params: OutcomeParams, nowMs: number): number {
    return this.enqueue({ kind: 'outcome', operationId: this.nextOperationId++, params }, nowMs);
  }

  /**
   * Takes all segments; undefined when the platform is unavailable.
   * @param listed - The segments.
   * @param nowMs - Time now.
   */
  onSegmentsListed(listed: readonly NumberedSegment[] | undefined, nowMs: number): void {
    this.isListing = false;
    if (!listed) {
      this.failPending();
      return;
    }
    this.segments = new Map(listed.map((segment) => [segment.segmentNumber, segment]));
    this.isFresh = true;
    this.removeExpired(nowMs);
    this.advance(nowMs);
  }

  /**
   * Takes the outcome of the write under way.
   * @param result - The outcome.
   * @param nowMs - Time now.
   */
  onSegmentWritten(result: ClaimWriteResult, nowMs: number): void {
    const write = this.writeInFlight;
    if (!write) {
      return;
    }
    this.writeInFlight = undefined;
    switch (result.kind) {
      case 'written':
        this.segments.set(write.segmentNumber, { version: result.version, value: write.value });
        this.replyToWritten(write);
        this.removeExpired(nowMs);
        break;
      case 'conflict':
        this.isFresh = false;
        this.pending.unshift(...write.claims, ...write.outcomes);
        break;
      case 'unknown':
      case 'unavailable':
        this.isFresh = false;
        this.fail([...write.claims, ...write.outcomes]);
        break;
    }
    this.advance(nowMs);
  }

  /**
   * Takes what an agent said of an attempt.
   * @param key - Key of the claim.
   * @param attemptId - The attempt.
   * @param answer - What the agent said.
   * @param nowMs - Time now.
   */
  onAttemptStatus(key: string, attemptId: AttemptId, answer: AttemptStatusResult, nowMs: number): void {
    const waiting = this.asking.get(key) ?? [];
    this.asking.delete(key);
    for (const operation of waiting) {
      if (operation.kind === 'claim') {
        operation.settled = { attemptId, answer };
      }
      this.pending.push(operation);
    }
    this.advance(nowMs);
  }

  private enqueue(operation: Operation, nowMs: number): number {
    this.pending.push(operation);
    this.advance(nowMs);
    return operation.operationId;
  }

  private advance(nowMs: number): void {
    if (this.pending.length === 0 || this.writeInFlight || this.isListing) {
      return;
    }
    if (!this.isFresh) {
      this.isListing = true;
      this.commands.push({ kind: 'list' });
      return;
    }
    this.writeNextGroup(nowMs);
  }

  /** Settles what needs no write, and writes the rest as far as it falls into one segment. */
  private writeNextGroup(nowMs: number): void {
    const operations = this.pending;
    this.pending = [];
    const group = new Map<string, ClaimEntry>();
    const claims: Operation[] = [];
    const outcomes: Operation[] = [];
    let segmentNumber: number | undefined;
    for (const operation of operations) {
      if (group.has(operation.params.key)) {
        this.pending.push(operation);
        continue;
      }
      const staged = this.stage(operation, nowMs);
      if (!staged) {
        continue;
      }
      segmentNumber ??= staged.segmentNumber;
      if (staged.segmentNumber !== segmentNumber) {
        this.pending.push(operation);
        continue;
      }
      group.set(staged.key, staged.entry);
      (operation.kind === 'claim' ? claims : outcomes).push(operation);
    }
    if (segmentNumber !== undefined) {
      this.write(segmentNumber, group, claims, outcomes);
    }
  }

  /** Says what an operation would write; undefined when it was settled or waits for an agent. */
  private stage(operation: Operation, nowMs: number) {
    const key = operation.params.key;
    const found = this.find(key);
    const entry = found?.entry;
    const segmentNumber = found?.segmentNumber ?? this.openSegmentNumber();
    if (operation.kind === 'outcome') {
      if (entry?.requestId !== operation.params.requestId || entry.outcome !== undefined) {
        this.commands.push({
          kind: 'replyOutcome',
          operationId: operation.operationId,
          recorded: entry?.outcome !== undefined,
        });
        return undefined;
      }
      return { segmentNumber, key, entry: { ...entry, outcome: toKept(operation.params.outcome) } };
    }
    const params = operation.params;
    const decision = entry ? this.judge(operation, entry) : 'take';
    if (decision === 'take') {
      const { fingerprint, requestId, attemptId, target } = params;
      return { segmentNumber, key, entry: { fingerprint, requestId, attemptId, target, claimedAtMs: nowMs } };
    }
    if (decision === 'ask' && entry) {
      this.ask(key, entry, operation);
      return undefined;
    }
    if (decision === 'adopt' && entry) {
      const outcome = recordedOutcomeOf(operation.settled?.answer);
      return { segmentNumber, key, entry: { ...entry, outcome } };
    }
    if (typeof decision === 'object') {
      this.commands.push({ kind: 'replyClaim', operationId: operation.operationId, reply: decision });
    }
    return undefined;
  }

  private judge(
    operation: Operation & { kind: 'claim' },
    entry: ClaimEntry,
  ): 'take' | 'ask' | 'adopt' | ClaimReply {
    const params = operation.params;
    if (entry.fingerprint !== params.fingerprint) {
      return { kind: 'keyReused' };
    }
    if (entry.outcome === 'didNotRun') {
      return 'take';
    }
    if (entry.outcome) {
      return { kind: 'recorded', outcome: entry.outcome };
    }
    if (entry.requestId === params.requestId) {
      if (entry.attemptId === params.attemptId) {
        return { kind: 'claimed' };
      }
      return params.earlierAttemptDidNotRun ? 'take' : { kind: 'undecided' };
    }
    if (operation.settled?.attemptId !== entry.attemptId) {
      return 'ask';
    }
    switch (operation.settled.answer.kind) {
      case 'neverSeen':
      case 'refused':
        return 'take';
      case 'running':
        return { kind: 'inProgress' };
      case 'finished':
        return recordedOutcomeOf(operation.settled.answer) ? 'adopt' : { kind: 'undecided' };
      case 'otherIncarnation':
      case 'unreachable':
        return { kind: 'undecided' };
    }
  }

  private ask(key: string, entry: ClaimEntry, operation: Operation): void {
    const waiting = this.asking.get(key);
    if (waiting) {
      waiting.push(operation);
      return;
    }
    this.asking.set(key, [operation]);
    this.commands.push({ kind: 'ask', key, attemptId: entry.attemptId, target: entry.target });
  }

  private write(
    segmentNumber: number,
    group: ReadonlyMap<string, ClaimEntry>,
    claimOperations: readonly Operation[],
    outcomes: readonly Operation[],
  ): void {
    const cached = this.segments.get(segmentNumber);
    const claims = { ...cached?.value.claims, ...Object.fromEntries(group) };
    const isFull = JSON.stringify(claims).length > this.segmentLimit;
    const mark = `${this.writerId}-${++this.writeCount}`;
    const value: ClaimSegment = { mark, sealed: (cached?.value.sealed ?? false) || isFull, claims };
    this.writeInFlight = { segmentNumber, value, claims: claimOperations, outcomes };
    this.commands.push({ kind: 'write', segmentNumber, value, ifVersion: cached?.version ?? 0 });
  }

  private replyToWritten(write: WriteInFlight): void {
    for (const operation of write.claims) {
      const entry = write.value.claims[operation.params.key];
      const isOwn = operation.kind === 'claim' && entry?.attemptId === operation.params.attemptId;
      const outcome = entry?.outcome;
      if (isOwn && !outcome) {
        this.commands.push({
          kind: 'replyClaim',
          operationId: operation.operationId,
          reply: { kind: 'claimed' },
        });
      } else if (outcome && outcome !== 'didNotRun') {
        const reply: ClaimReply = { kind: 'recorded', outcome };
        this.commands.push({ kind: 'replyClaim', operationId: operation.operationId, reply });
      } else {
        this.pending.push(operation);
      }
    }
    for (const operation of write.outcomes) {
      this.commands.push({ kind: 'replyOutcome', operationId: operation.operationId, recorded: true });
    }
  }

  private failPending(): void {
    this.fail(this.pending.splice(0));
  }

  private fail(operations: readonly Operation[]): void {
    for (const operation of operations) {
      if (operation.kind === 'claim') {
        const reply: ClaimReply = { kind: 'unavailable' };
        this.commands.push({ kind: 'replyClaim', operationId: operation.operationId, reply });
      } else {
        this.commands.push({ kind: 'replyOutcome', operationId: operation.operationId, recorded: false });
      }
    }
  }

  private find(key: string): { readonly segmentNumber: number; readonly entry: ClaimEntry } | undefined {
    for (const [segmentNumber, segment] of this.segments) {
      const entry = segment.value.claims[key];
      if (entry) {
        return { segmentNumber, entry };
      }
    }
    return undefined;
  }

  private openSegmentNumber(): number {
    const last = Math.max(0, ...this.segments.keys());
    const isOpen = this.segments.get(last)?.value.sealed === false;
    return isOpen ? last : last + 1;
  }

  /** Removes the oldest segments whose claims are all past their time; the newest segment always stays. */
  private removeExpired(nowMs: number): void {
    for (const segmentNumber of [...this.segments.keys()].sort((left, right) => left - right)) {
      const segment = this.segments.get(segmentNumber);
      if (!segment?.value.sealed || segmentNumber === Math.max(...this.segments.keys())) {
        return;
      }
      const newestMs = Math.max(0, ...Object.values(segment.value.claims).map((claim) => claim.claimedAtMs));
      if (nowMs - newestMs <= CLAIM_RETENTION_MS) {
        return;
      }
      this.segments.delete(segmentNumber);
      this.commands.push({ kind: 'remove', segmentNumber, ifVersion: segment.version });
    }
  }
}

/** Leaves out a body that is too large to keep. */
function toKept(outcome: RecordedOutcome | 'didNotRun'): RecordedOutcome | 'didNotRun' {
  if (outcome === 'didNotRun' || (outcome.body?.length ?? 0) <= KEPT_BODY_LIMIT) {
    return outcome;
  }
  return { head: outcome.head };
}

/** Takes the outcome off an agent's answer, when the attempt ended whole and its answer is still there. */
function recordedOutcomeOf(answer: AttemptStatusResult | undefined): RecordedOutcome | undefined {
  return answer?.kind === 'finished' && answer.end.kind === 'complete' ? answer.outcome : undefined;
}
