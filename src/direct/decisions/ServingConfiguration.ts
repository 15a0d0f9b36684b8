import type { ServiceId } from '../../domain/index.js';

/** Whether a request may be run again; a stream may be only where it can be resumed. */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** One of the services that share a route's requests. */
export interface RouteTarget {
  readonly serviceId: ServiceId;
  readonly weight: number;
}

/** Rule that sends requests of one host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time that a request may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the first piece of the answer that callers expect, in milliseconds. */
  readonly latencyTargetMs: number;
  /** Longest pause between two events that callers expect, in milliseconds; absent where nothing streams. */
  readonly maxGapMs?: number;
  /** Rank among the routes of a service; 0 goes first. */
  readonly priority: number;
  /** Most backend servers that may run one request. */
  readonly maxAttempts: number;
  readonly isResumable: boolean;
}

/** What one model needs of a backend server. */
export interface ModelFootprint {
  readonly weightsMb: number;
  readonly adapterMb: number;
  readonly adapterCount: number;
  /** Time to load from the weight store, in milliseconds. */
  readonly storeLoadMs: number;
  /** Time to load from the server's own disk, in milliseconds. */
  readonly diskLoadMs: number;
  /** Time to load from the server's host memory, in milliseconds. */
  readonly memoryLoadMs: number;
}

/** Model engines of a service. */
export interface EngineProfile {
  /** Requests that one engine batches. */
  readonly batchSlotCount: number;
  /** Memory of one engine for weights and adapters, in MB. */
  readonly weightsMb: number;
  readonly adapterSlotCount: number;
  /** Loads from the weight store that may begin in a second, over all engines. */
  readonly loadsPerSecond: number;
  readonly models: ReadonlyMap<string, ModelFootprint>;
}

/** Group of equal backend servers. */
export interface BackendService {
  readonly serviceId: ServiceId;
  /** Connections that one server takes from all routers together. */
  readonly maxConnections: number;
  /** Absent for a plain service. */
  readonly engine?: EngineProfile;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of everything that operators configure. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, BackendService>;
  readonly callerLimits: CallerLimits;
}

/** Whether a request of the route may run more than once. */
export function isRetryable(route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable);
}
