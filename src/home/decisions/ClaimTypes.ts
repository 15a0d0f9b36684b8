import type {
  AttemptStatusReply,
  AttemptId,
  AttemptTarget,
  ClaimReply,
  RecordedOutcome,
  RequestId,
} from '../../domain/index.js';

/** One claim as it is kept in the platform. */
export interface ClaimEntry {
  readonly fingerprint: string;
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly target: AttemptTarget;
  readonly claimedAtMs: number;
  readonly outcome?: RecordedOutcome | 'didNotRun';
}

/** A piece of the log; one object of the platform. */
export interface ClaimSegment {
  /** Changes with every write, so that a writer recognises its own. */
  readonly mark: string;
  /** A sealed segment gets no further claims. */
  readonly sealed: boolean;
  readonly claims: Readonly<Record<string, ClaimEntry>>;
}

/** A segment with its place in the log. */
export interface NumberedSegment {
  readonly segmentNumber: number;
  readonly version: number;
  readonly value: ClaimSegment;
}

/** What a claim log wants done; every `list`, `write` and `ask` is answered by the method of that name. */
export type ClaimCommand =
  | { readonly kind: 'list' }
  | {
      readonly kind: 'write';
      readonly segmentNumber: number;
      readonly value: ClaimSegment;
      readonly ifVersion: number;
    }
  | { readonly kind: 'remove'; readonly segmentNumber: number; readonly ifVersion: number }
  | {
      readonly kind: 'ask';
      readonly key: string;
      readonly attemptId: AttemptId;
      readonly target: AttemptTarget;
    }
  | { readonly kind: 'replyClaim'; readonly operationId: number; readonly reply: ClaimReply }
  | { readonly kind: 'replyOutcome'; readonly operationId: number; readonly recorded: boolean };

/** Outcome of a write to the platform. */
export type ClaimWriteResult =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' };

/** What an agent said of an attempt; `unreachable` when it could not be asked. */
export type AttemptStatusResult = AttemptStatusReply | { readonly kind: 'unreachable' };
