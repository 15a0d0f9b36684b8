import type { Placement, Versioned } from './Configuration.js';
import type { ResponseEnd, ResponseHead, RunRequest } from './Request.js';
import type { RefusalReason } from './Refusal.js';
import type { AttemptId, ModelId, OrganisationId, RequestId, ServerId } from './ids.js';
import type { Assignment, RequestClass } from './Request.js';

/** Names of the methods that agents provide to routers. */
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

/** Names of the methods that routers provide to agents and to each other. */
export const ROUTER_METHODS = {
  chunk: 'router.chunk',
  end: 'router.end',
  stalled: 'router.stalled',
  report: 'router.report',
  loadPermit: 'router.loadPermit',
  assign: 'home.assign',
  abandon: 'home.abandon',
  release: 'home.release',
  hasOtherServer: 'home.hasOtherServer',
  claim: 'home.claim',
  recordOutcome: 'home.recordOutcome',
  permit: 'pacer.permit',
  permitDone: 'pacer.done',
  pullConfiguration: 'configuration.pull',
} as const;

/** Identity and state of an agent, returned by `agent.hello`. */
export interface AgentHello {
  readonly serverId: ServerId;
  /** Identifies one run of the agent process. */
  readonly incarnation: string;
  readonly slotCount: number;
  readonly leaving: boolean;
}

/** State of a model on a server, reported by its agent to the model's owner routers. */
export interface ReplicaReport {
  readonly serverId: ServerId;
  readonly incarnation: string;
  readonly modelId: ModelId;
  readonly phase: 'absent' | 'loading' | 'ready' | 'unloading';
  /** Version of the placement that the agent applies. */
  readonly placementVersion: number;
  readonly slotCount: number;
  readonly leaving: boolean;
  /** Whether the agent can reach its backend server. */
  readonly reachable: boolean;
}

/** Requests that an agent report the state of a model from now on. */
export interface FollowParams {
  readonly modelId: ModelId;
  readonly placement?: Versioned<Placement>;
}

/** Requests that an agent load a model. */
export interface WakeParams extends FollowParams {
  readonly sizeBytes: number;
  readonly keepAliveMs: number;
}

/** An agent's reply to a load request. */
export interface WakeReply {
  readonly refusedBecause?: RefusalReason;
  readonly report: ReplicaReport;
}

/** Suitability of a server for a model that it has no grant for. */
export interface PlacementOffer {
  readonly serverId: ServerId;
  readonly freeBytes: number;
  readonly capacityBytes: number;
  readonly tier: 'memory' | 'disk' | 'remote';
  readonly grantCount: number;
  readonly leaving: boolean;
}

/** Requests that an agent run an attempt. */
export interface RunParams extends RunRequest {
  /** Incarnation of the addressed agent process; any other refuses the attempt. */
  readonly incarnation: string;
  readonly adapterSizeBytes: number;
}

/** An agent's immediate reply to a run request. */
export type RunReply =
  | { readonly kind: 'accepted' }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly detail: string;
      readonly retryAfterMs?: number;
    };

/** Queries the status of an attempt. */
export interface AttemptStatusParams {
  readonly attemptId: AttemptId;
  /** Incarnation of the addressed agent process; any other replies `otherIncarnation`. */
  readonly incarnation: string;
  /** Ordinal of the first response chunk to resend; absent when none is needed. */
  readonly fromOrdinal?: number;
}

/** Status of an attempt as known to its agent. */
export type AttemptStatusReply =
  | { readonly kind: 'neverSeen' | 'refused' | 'otherIncarnation' }
  | { readonly kind: 'running'; readonly chunkCount: number }
  /** The outcome is present until the response is acknowledged. */
  | { readonly kind: 'finished'; readonly end: ResponseEnd; readonly outcome?: RecordedOutcome };

/** Requests a server from the model's owner router. */
export interface AssignParams {
  readonly requestId: RequestId;
  readonly organisationId: OrganisationId;
  readonly modelId: ModelId;
  readonly requestClass: RequestClass;
  readonly remainingMs: number;
  readonly fingerprint: string;
  readonly idempotent: boolean;
  /** Servers on which earlier attempts at this request were refused or failed. */
  readonly excludedServerIds: readonly ServerId[];
}

/** The owner router's reply to an assignment request. */
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

/** Notifies a router that the backend server of an attempt does not respond; the attempt goes on. */
export interface StalledParams {
  readonly attemptId: AttemptId;
}

/** Asks the owner router whether a server other than the given one can take a request for a model. */
export interface OtherServerParams {
  readonly modelId: ModelId;
  readonly serverId: ServerId;
}

/** Reports the outcome of an assigned attempt to the owner router. */
export interface ReleaseParams {
  readonly requestId: RequestId;
  readonly modelId: ModelId;
  readonly outcome: 'completed' | 'refused' | 'crashed' | 'failed';
  readonly serviceMs: number;
}

/** Requests the claim on a non-idempotent request from the owner router of the claim shard. */
export interface ClaimParams {
  readonly claimShard: string;
  /** Organisation and idempotency key. */
  readonly key: string;
  readonly fingerprint: string;
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly target: AttemptTarget;
  /** Whether the requester proved that its earlier attempt under this claim did not run. */
  readonly earlierAttemptDidNotRun: boolean;
}

/** Agent process that an attempt is sent to. */
export interface AttemptTarget {
  readonly serverId: ServerId;
  readonly incarnation: string;
  readonly peerAddress: string;
}

/** Outcome recorded with a claim, replayed to retries by the caller. */
export interface RecordedOutcome {
  readonly head: ResponseHead;
  /** Absent when the body was too large to keep. */
  readonly body?: string;
}

/** Reply to a claim request. */
export type ClaimReply =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'recorded'; readonly outcome: RecordedOutcome }
  | { readonly kind: 'inProgress' }
  | { readonly kind: 'keyReused' }
  /** Whether the claimed request ran can no longer be determined. */
  | { readonly kind: 'undecided' }
  /** The agent of the claimed request did not reply; a later claim may receive the outcome. */
  | { readonly kind: 'agentSilent' }
  | { readonly kind: 'unavailable' };

/** Records the outcome of a claimed request. */
export interface OutcomeParams {
  readonly claimShard: string;
  readonly key: string;
  readonly requestId: RequestId;
  readonly outcome: RecordedOutcome | 'didNotRun';
}
