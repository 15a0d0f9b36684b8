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

/** Length at which a segment is sealed and the next one opened, in characters of JSON. */
export const SEGMENT_SEAL_LENGTH = 32_000;
/** Longest response body that is recorded for retries, in characters. */
const MAX_RECORDED_BODY_LENGTH = 8_000;
/** Time after which a claim expires, in milliseconds. */
export const CLAIM_RETENTION_MS = 86_400_000;

type Operation =
  | {
      readonly kind: 'claim';
      readonly operationId: number;
      readonly params: ClaimParams;
      resolvedAttempt?: ResolvedAttempt;
    }
  | { readonly kind: 'outcome'; readonly operationId: number; readonly params: OutcomeParams };

/** Status of the attempt of an earlier claim, as its agent reported it. */
interface ResolvedAttempt {
  readonly attemptId: AttemptId;
  readonly status: AttemptStatusResult;
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
 * Assigns each idempotency key to one attempt at a time, by conditional updates of a log in the platform.
 *
 * Operations that arrive while an update is in progress are grouped into the next one. When two routers write
 * concurrently, one of them fails on the version check and reads the log again. A key passes to another request only
 * with proof that its attempt did not run and never will run.
 */
export class ClaimLog {
  private segments = new Map<number, CachedSegment>();
  private isFresh = false;
  private isListing = false;
  private writeInFlight: WriteInFlight | undefined;
  private pending: Operation[] = [];
  private readonly awaitingStatus = new Map<string, Operation[]>();
  private readonly commands: ClaimCommand[] = [];
  private nextOperationId = 1;
  private writeCount = 0;

  /**
   * @param writerId - Identifies this run of the writer; unique among all writers.
   * @param segmentSealLength - Length at which a segment is sealed, in characters of JSON.
   */
  constructor(
    private readonly writerId: string,
    private readonly segmentSealLength = SEGMENT_SEAL_LENGTH,
  ) {}

  /** Removes and returns the commands to execute. */
  takeCommands(): ClaimCommand[] {
    return this.commands.splice(0);
  }

  /**
   * Requests a claim and returns the operation ID of the reply.
   * @param params - The claim.
   * @param nowMs - Time now.
   */
  claim(params: ClaimParams, nowMs: number): number {
    return this.enqueue({ kind: 'claim', operationId: this.nextOperationId++, params }, nowMs);
  }

  /**
   * Records an outcome and returns the operation ID of the reply.
   * @param params - The outcome.
   * @param nowMs - Time now.
   */
  recordOutcome(params: OutcomeParams, nowMs: number): number {
    return this.enqueue({ kind: 'outcome', operationId: this.nextOperationId++, params }, nowMs);
  }

  /**
   * Replaces the cached segments by those read from the platform.
   * @param segments - The segments; undefined when the platform is unavailable.
   * @param nowMs - Time now.
   */
  onSegmentsListed(segments: readonly NumberedSegment[] | undefined, nowMs: number): void {
    this.isListing = false;
    if (!segments) {
      this.failPending();
      return;
    }
    this.segments = new Map(segments.map((segment) => [segment.segmentNumber, segment]));
    this.isFresh = true;
    this.removeExpired(nowMs);
    this.advance(nowMs);
  }

  /**
   * Handles the result of the write in progress.
   * @param result - The result.
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
        this.completeWrite(write);
        this.removeExpired(nowMs);
        break;
      case 'conflict':
        this.isFresh = false;
        this.pending.unshift(...write.claims, ...write.outcomes);
        break;
      case 'unknown':
      case 'unavailable':
        this.isFresh = false;
        this.failOperations([...write.claims, ...write.outcomes]);
        break;
    }
    this.advance(nowMs);
  }

  /**
   * Handles the status that an agent reported for an attempt.
   * @param key - Key of the claim.
   * @param attemptId - The attempt.
   * @param status - The reported status.
   * @param nowMs - Time now.
   */
  onAttemptStatus(key: string, attemptId: AttemptId, status: AttemptStatusResult, nowMs: number): void {
    const waiting = this.awaitingStatus.get(key) ?? [];
    this.awaitingStatus.delete(key);
    for (const operation of waiting) {
      if (operation.kind === 'claim') {
        operation.resolvedAttempt = { attemptId, status };
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

  /** Replies to operations that need no write, and writes those of the others that belong to one segment. */
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
      const staged = this.stageWrite(operation, nowMs);
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

  /** Returns the entry that an operation writes; undefined when it needs no write or waits for an agent's status. */
  private stageWrite(operation: Operation, nowMs: number) {
    const key = operation.params.key;
    const existing = this.findClaim(key);
    const entry = existing?.entry;
    const segmentNumber = existing?.segmentNumber ?? this.getOpenSegmentNumber();
    if (operation.kind === 'outcome') {
      if (entry?.requestId !== operation.params.requestId || entry.outcome !== undefined) {
        this.commands.push({
          kind: 'replyOutcome',
          operationId: operation.operationId,
          recorded: entry?.outcome !== undefined,
        });
        return undefined;
      }
      return { segmentNumber, key, entry: { ...entry, outcome: removeLargeBody(operation.params.outcome) } };
    }
    const params = operation.params;
    const decision = entry ? this.decideClaim(operation, entry) : 'take';
    if (decision === 'take') {
      const { fingerprint, requestId, attemptId, target } = params;
      return { segmentNumber, key, entry: { fingerprint, requestId, attemptId, target, claimedAtMs: nowMs } };
    }
    if (decision === 'ask' && entry) {
      this.queryAttemptStatus(key, entry, operation);
      return undefined;
    }
    if (decision === 'adopt' && entry) {
      const outcome = getRecordedOutcome(operation.resolvedAttempt?.status);
      return { segmentNumber, key, entry: { ...entry, outcome } };
    }
    if (typeof decision === 'object') {
      this.commands.push({ kind: 'replyClaim', operationId: operation.operationId, reply: decision });
    }
    return undefined;
  }

  private decideClaim(
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
    if (operation.resolvedAttempt?.attemptId !== entry.attemptId) {
      return 'ask';
    }
    switch (operation.resolvedAttempt.status.kind) {
      case 'neverSeen':
      case 'refused':
        return 'take';
      case 'running':
        return { kind: 'inProgress' };
      case 'finished':
        return getRecordedOutcome(operation.resolvedAttempt.status) ? 'adopt' : { kind: 'undecided' };
      case 'otherIncarnation':
        return { kind: 'undecided' };
      case 'unreachable':
        return { kind: 'agentSilent' };
    }
  }

  private queryAttemptStatus(key: string, entry: ClaimEntry, operation: Operation): void {
    const waiting = this.awaitingStatus.get(key);
    if (waiting) {
      waiting.push(operation);
      return;
    }
    this.awaitingStatus.set(key, [operation]);
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
    const isFull = JSON.stringify(claims).length > this.segmentSealLength;
    const mark = `${this.writerId}-${++this.writeCount}`;
    const value: ClaimSegment = { mark, sealed: (cached?.value.sealed ?? false) || isFull, claims };
    this.writeInFlight = { segmentNumber, value, claims: claimOperations, outcomes };
    this.commands.push({ kind: 'write', segmentNumber, value, ifVersion: cached?.version ?? 0 });
  }

  private completeWrite(write: WriteInFlight): void {
    for (const operation of write.claims) {
      const entry = write.value.claims[operation.params.key];
      const isOwnAttempt = operation.kind === 'claim' && entry?.attemptId === operation.params.attemptId;
      const outcome = entry?.outcome;
      if (isOwnAttempt && !outcome) {
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
    this.failOperations(this.pending.splice(0));
  }

  private failOperations(operations: readonly Operation[]): void {
    for (const operation of operations) {
      if (operation.kind === 'claim') {
        const reply: ClaimReply = { kind: 'unavailable' };
        this.commands.push({ kind: 'replyClaim', operationId: operation.operationId, reply });
      } else {
        this.commands.push({ kind: 'replyOutcome', operationId: operation.operationId, recorded: false });
      }
    }
  }

  private findClaim(key: string): { readonly segmentNumber: number; readonly entry: ClaimEntry } | undefined {
    for (const [segmentNumber, segment] of this.segments) {
      const entry = segment.value.claims[key];
      if (entry) {
        return { segmentNumber, entry };
      }
    }
    return undefined;
  }

  private getOpenSegmentNumber(): number {
    const last = Math.max(0, ...this.segments.keys());
    const isOpen = this.segments.get(last)?.value.sealed === false;
    return isOpen ? last : last + 1;
  }

  /** Removes the oldest segments whose claims have all expired; the newest segment always stays. */
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

/** Omits a body that is too long to record. */
function removeLargeBody(outcome: RecordedOutcome | 'didNotRun'): RecordedOutcome | 'didNotRun' {
  if (outcome === 'didNotRun' || (outcome.body?.length ?? 0) <= MAX_RECORDED_BODY_LENGTH) {
    return outcome;
  }
  return { head: outcome.head };
}

/** Returns the outcome of an attempt whose response is complete and still available on the agent. */
function getRecordedOutcome(status: AttemptStatusResult | undefined): RecordedOutcome | undefined {
  return status?.kind === 'finished' && status.end.kind === 'complete' ? status.outcome : undefined;
}
