import type { AdapterId, AttemptId, ModelId, OrganisationId, RequestId, ServerId, ServiceId } from './ids.js';

/** Interactive requests go before batch requests, which wait for a warm replica or a quiet moment. */
export type RequestClass = 'interactive' | 'batch';

/** What a router knows of a caller's request. */
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
  /** Hash of organisation, path and body; equal requests have equal fingerprints. */
  readonly fingerprint: string;
}

/** One attempt as a router hands it to an agent. */
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
  /** Keeps prompt prefixes of two organisations apart in the engine's cache. */
  readonly cacheSalt: string;
  /** Whether the request may be run again when its outcome is unknown. */
  readonly idempotent: boolean;
  /** Whether the request is alone on the server because it is suspected of a crash. */
  readonly alone: boolean;
}

/** Head of a backend server's answer. */
export interface ResponseHead {
  readonly status: number;
  readonly contentType: string;
}

/** One numbered piece of an answer; the first has number 0. */
export interface ResponseChunk {
  readonly attemptId: AttemptId;
  readonly ordinal: number;
  readonly head?: ResponseHead;
  readonly text: string;
}

/** How an attempt ended. */
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
  /** The agent accepted it, but the backend server never got it. */
  | { readonly kind: 'notRun'; readonly attemptId: AttemptId; readonly detail: string }
  | { readonly kind: 'cancelled'; readonly attemptId: AttemptId };

/** Where a home sends an attempt. */
export interface Assignment {
  readonly serverId: ServerId;
  /** Time spent in the queue, in milliseconds. */
  readonly queuedMs: number;
  /** Part of the queueing time in which the model was being loaded, in milliseconds. */
  readonly loadMs: number;
  readonly alone: boolean;
}
