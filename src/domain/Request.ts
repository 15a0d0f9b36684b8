import type { AdapterId, AttemptId, ModelId, OrganisationId, RequestId, ServerId, ServiceId } from './ids.js';

/** Interactive requests have priority over batch requests, which wait for a loaded replica or a period of low load. */
export type RequestClass = 'interactive' | 'batch';

/** A caller's request as validated by a router. */
export interface CallerRequest {
  readonly requestId: RequestId;
  readonly organisationId: OrganisationId;
  readonly serviceId: ServiceId;
  /** Absent for a plain service. */
  readonly modelId?: ModelId;
  readonly adapterId?: AdapterId;
  readonly requestClass: RequestClass;
  readonly idempotent: boolean;
  readonly idempotencyKey?: string;
  readonly deadlineAtMs: number;
  /** Method and path for the backend server. */
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** Hash of organisation, method, path and body; equal requests have equal fingerprints. */
  readonly fingerprint: string;
}

/** An attempt as sent by a router to an agent. */
export interface RunRequest {
  readonly attemptId: AttemptId;
  readonly organisationId: OrganisationId;
  readonly serviceId: ServiceId;
  readonly modelId?: ModelId;
  readonly adapterId?: AdapterId;
  readonly requestClass: RequestClass;
  /** Time left until the deadline; relative, since the clocks of two instances differ. */
  readonly remainingMs: number;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly fingerprint: string;
  /** Separates the prompt prefixes of different organisations in the engine's cache. */
  readonly cacheSalt: string;
  /** Whether the request may be retried when its outcome is unknown. */
  readonly idempotent: boolean;
  /** Whether the request runs alone on the server because it is suspected of causing a crash. */
  readonly alone: boolean;
}

/** Status and content type of a backend server's response. */
export interface ResponseHead {
  readonly status: number;
  readonly contentType: string;
}

/** A numbered chunk of a response; the first has ordinal 0. */
export interface ResponseChunk {
  readonly attemptId: AttemptId;
  readonly ordinal: number;
  readonly head?: ResponseHead;
  readonly text: string;
}

/** End of an attempt, as reported by its agent. */
export type ResponseEnd =
  | {
      readonly kind: 'complete';
      readonly attemptId: AttemptId;
      readonly chunkCount: number;
      readonly tokenCount: number;
    }
  | {
      readonly kind: 'failed';
      readonly attemptId: AttemptId;
      readonly crashed: boolean;
      readonly detail: string;
    }
  /** The agent accepted the attempt but did not send it to the backend server. */
  | { readonly kind: 'notRun'; readonly attemptId: AttemptId; readonly detail: string }
  | { readonly kind: 'cancelled'; readonly attemptId: AttemptId };

/** Server assigned to an attempt by the owner router. */
export interface Assignment {
  readonly serverId: ServerId;
  /** Time spent in the queue, in milliseconds. */
  readonly queuedMs: number;
  /** Part of the queueing time during which the model was loading, in milliseconds. */
  readonly loadMs: number;
  readonly alone: boolean;
}
