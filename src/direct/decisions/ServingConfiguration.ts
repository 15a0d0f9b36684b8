import type { ServiceId } from '../../domain/index.js';
import type { OrganisationDirectory } from '../../organisations/index.js';

/** Kind of a route, which determines whether its requests may be retried; a stream only if it can be resumed. */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** Service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly serviceId: ServiceId;
  readonly weight: number;
}

/** Rule that maps requests of one host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Maximum duration of a request, in milliseconds. */
  readonly timeoutMs: number;
  /** Expected time to the first chunk of the response, in milliseconds. */
  readonly latencyTargetMs: number;
  /** Maximum expected time between two events, in milliseconds; absent for routes without streams. */
  readonly maxGapMs?: number;
  /** Priority among the routes of a service; 0 is the highest. */
  readonly priority: number;
  /** Maximum number of backend servers that may run one request. */
  readonly maxAttempts: number;
  readonly isResumable: boolean;
  /** Whether callers need no key; absent if they need one where the configuration has organisations. */
  readonly isPublic?: boolean;
}

/** Memory and load times of one model on a backend server. */
export interface ModelFootprint {
  readonly weightsMb: number;
  readonly adapterMb: number;
  readonly adapterCount: number;
  /** Time to load from the weight store, in milliseconds. */
  readonly storeLoadMs: number;
  /** Time to load from the server's disk, in milliseconds. */
  readonly diskLoadMs: number;
  /** Time to load from the server's host memory, in milliseconds. */
  readonly memoryLoadMs: number;
}

/** Properties of the model engines of a service. */
export interface EngineProfile {
  /** Number of requests that one engine batches. */
  readonly batchSlotCount: number;
  /** Memory of one engine for weights and adapters, in MB. */
  readonly weightsMb: number;
  readonly adapterSlotCount: number;
  /** Number of loads from the weight store that may start in a second, over all engines. */
  readonly loadsPerSecond: number;
  readonly models: ReadonlyMap<string, ModelFootprint>;
  /** Path of health checks of the service, whose responses name the engine's incarnation; absent if it has none. */
  readonly healthPath?: string;
}

/** Group of interchangeable backend servers. */
export interface BackendService {
  readonly serviceId: ServiceId;
  /** Maximum number of connections to one server from all routers together. */
  readonly maxConnections: number;
  /** Absent for a plain service. */
  readonly engine?: EngineProfile;
}

/** Size limits and timeouts for the requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration that operators publish. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, BackendService>;
  readonly callerLimits: CallerLimits;
  /** Organisations whose keys callers must present; absent if callers need no key. */
  readonly organisations?: OrganisationDirectory;
}

/** Latency target up to which requests are interactive in any case, in milliseconds. */
export const MIN_INTERACTIVE_TARGET_MS = 1_000;
/** Longest latency target of interactive requests as a share of the longest target of the service's streams. */
const INTERACTIVE_TARGET_SHARE = 0.5;

/**
 * Returns the longest latency target of interactive requests by service, in milliseconds: callers of routes with much
 * shorter targets than others of the same service wait live for the response, those of the others do not.
 * @param routes - Routes of a configuration.
 */
export function getMaxInteractiveTargetsMs(routes: readonly Route[]): Map<ServiceId, number> {
  const targetsMs = new Map<ServiceId, number>();
  for (const route of routes) {
    for (const { serviceId } of route.kind === 'stream' ? route.targets : []) {
      const shareMs = INTERACTIVE_TARGET_SHARE * route.latencyTargetMs;
      targetsMs.set(serviceId, Math.max(MIN_INTERACTIVE_TARGET_MS, shareMs, targetsMs.get(serviceId) ?? 0));
    }
  }
  return targetsMs;
}

/**
 * Whether the requests of a route may run more than once.
 * @param route - The route.
 */
export function isRetryable(route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable);
}
