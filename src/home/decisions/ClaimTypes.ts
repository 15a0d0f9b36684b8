import type {
  AttemptStatusReply,
  AttemptId,
  AttemptTarget,
  ClaimReply,
  RecordedOutcome,
  RequestId,
} from '../../domain/index.js';

/** A claim as stored in the platform. */
export interface ClaimEntry {
  readonly fingerprint: string;
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly target: AttemptTarget;
  readonly claimedAtMs: number;
  readonly outcome?: RecordedOutcome | 'didNotRun';
}

/** Part of the claim log that is stored as one object of the platform. */
export interface ClaimSegment {
  /** Unique for every write, so that a writer recognises its own. */
  readonly mark: string;
  /** Whether no further claims are added. */
  readonly sealed: boolean;
  readonly claims: Readonly<Record<string, ClaimEntry>>;
}

/** A segment with its number in the log and its version in the platform. */
export interface NumberedSegment {
  readonly segmentNumber: number;
  readonly version: number;
  readonly value: ClaimSegment;
}

/**
 * Command of a claim log to its caller. The results of `list`, `write` and `ask` are passed to `onSegmentsListed`,
 * `onSegmentWritten` and `onAttemptStatus`.
 */
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

/** Result of a write to the platform. */
export type ClaimWriteResult =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' };

/** Status of an attempt as its agent reported it; `unreachable` when the agent did not reply. */
export type AttemptStatusResult = AttemptStatusReply | { readonly kind: 'unreachable' };
