import type { Placement, Versioned } from './Configuration.js';
import type { ResponseEnd, ResponseHead, RunRequest } from './Request.js';
import type { RefusalReason } from './Refusal.js';
import type { AttemptId, ModelId, OrganisationId, RequestId, ServerId } from './ids.js';
import type { Assignment, RequestClass } from './Request.js';

/** Names of the methods that agents offer to routers. */
export const AGENT_METHODS = {
  hello: 'agent.hello',
  follow: 'agent.follow',
  wake: 'agent.wake',
  offer: 'agent.offer',
  run: 'agent.run',
  ask: 'agent.ask',
  resume: 'agent.resume',
  acknowledge: 'agent.acknowledge',
  cancel: 'agent.cancel',
  drain: 'agent.drain',
} as const;

/** Names of the methods that routers offer to agents and to each other. */
export const ROUTER_METHODS = {
  chunk: 'router.chunk',
  end: 'router.end',
  report: 'router.report',
  loadPermit: 'router.loadPermit',
  assign: 'home.assign',
  abandon: 'home.abandon',
  release: 'home.release',
  claim: 'home.claim',
  recordOutcome: 'home.recordOutcome',
  permit: 'pacer.permit',
  permitDone: 'pacer.done',
  pullConfiguration: 'configuration.pull',
} as const;

/** An agent as it introduces itself. */
export interface AgentHello {
  readonly serverId: ServerId;
  /** Names this run of the agent's process. */
  readonly incarnation: string;
  readonly slotCount: number;
  readonly leaving: boolean;
}

/** What an agent reports of one model to the model's homes. */
export interface ReplicaReport {
  readonly serverId: ServerId;
  readonly incarnation: string;
  readonly modelId: ModelId;
  readonly phase: 'absent' | 'loading' | 'ready' | 'unloading';
  /** Version of the placement that the agent acts on. */
  readonly placementVersion: number;
  readonly slotCount: number;
  readonly leaving: boolean;
  /** Whether the backend server answers its agent. */
  readonly reachable: boolean;
}

/** Asks an agent to report on a model from now on. */
export interface FollowParams {
  readonly modelId: ModelId;
  readonly placement?: Versioned<Placement>;
}

/** Asks an agent to load a model. */
export interface WakeParams extends FollowParams {
  readonly sizeBytes: number;
  readonly keepAliveMs: number;
}

/** An agent's answer to a wake-up. */
export interface WakeReply {
  readonly refusedBecause?: RefusalReason;
  readonly report: ReplicaReport;
}

/** What a server would be for a model that has no grant yet. */
export interface PlacementOffer {
  readonly serverId: ServerId;
  readonly freeBytes: number;
  readonly capacityBytes: number;
  readonly tier: 'memory' | 'disk' | 'remote';
  readonly grantCount: number;
  readonly leaving: boolean;
}

/** Asks an agent to run an attempt. */
export interface RunParams extends RunRequest {
  /** Process that is meant; another refuses. */
  readonly incarnation: string;
  readonly adapterSizeBytes: number;
}

/** An agent's immediate answer to a run order. */
export type RunReply =
  | { readonly kind: 'accepted' }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly detail: string;
      readonly retryAfterMs?: number;
    };

/** Asks what became of an attempt. */
export interface AttemptStatusParams {
  readonly attemptId: AttemptId;
  /** Process that is meant; another can't tell. */
  readonly incarnation: string;
  /** Number of the first piece of the answer that is still wanted; absent when none is. */
  readonly fromOrdinal?: number;
}

/** What became of an attempt, as its agent knows. */
export type AttemptStatusReply =
  | { readonly kind: 'neverSeen' | 'refused' | 'otherIncarnation' }
  | { readonly kind: 'running'; readonly chunkCount: number }
  /** The outcome is there as long as the answer was not acknowledged. */
  | { readonly kind: 'finished'; readonly end: ResponseEnd; readonly outcome?: RecordedOutcome };

/** Asks a home for a server. */
export interface AssignParams {
  readonly requestId: RequestId;
  readonly organisationId: OrganisationId;
  readonly modelId: ModelId;
  readonly requestClass: RequestClass;
  readonly remainingMs: number;
  readonly fingerprint: string;
  readonly idempotent: boolean;
  /** Servers that refused this request a moment ago. */
  readonly excludedServerIds: readonly ServerId[];
}

/** A home's answer. */
export type AssignReply =
  | {
      readonly kind: 'assigned';
      readonly assignment: Assignment & { readonly peerAddress: string; readonly incarnation: string };
    }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly detail: string;
      readonly retryAfterMs?: number;
    };

/** How an assigned attempt ended, told to the home. */
export interface ReleaseParams {
  readonly requestId: RequestId;
  readonly modelId: ModelId;
  readonly outcome: 'completed' | 'refused' | 'crashed' | 'failed';
  readonly serviceMs: number;
}

/** Asks the claims' home for the right to run a non-idempotent request. */
export interface ClaimParams {
  readonly claimShard: string;
  /** Organisation and idempotency key. */
  readonly key: string;
  readonly fingerprint: string;
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly target: AttemptTarget;
  /** Whether the requester proved that its own earlier attempt under this claim did not run. */
  readonly earlierAttemptDidNotRun: boolean;
}

/** Process that an attempt is sent to. */
export interface AttemptTarget {
  readonly serverId: ServerId;
  readonly incarnation: string;
  readonly peerAddress: string;
}

/** Outcome that a claim keeps for repeats. */
export interface RecordedOutcome {
  readonly head: ResponseHead;
  /** Absent when the body was too large to keep. */
  readonly body?: string;
}

/** Answer to a claim. */
export type ClaimReply =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'recorded'; readonly outcome: RecordedOutcome }
  | { readonly kind: 'inProgress' }
  | { readonly kind: 'keyReused' }
  /** Whether it ran can't be found out any more. */
  | { readonly kind: 'undecided' }
  | { readonly kind: 'unavailable' };

/** Records how a claimed request ended. */
export interface OutcomeParams {
  readonly claimShard: string;
  readonly key: string;
  readonly requestId: RequestId;
  readonly outcome: RecordedOutcome | 'didNotRun';
}
