import {
  ROUTER_METHODS,
  type ResponseChunk,
  type ResponseEnd,
  type AssignParams,
  type ClaimParams,
  type OutcomeParams,
  type ReleaseParams,
  type OtherServerParams,
  type ReplicaReport,
  type StalledParams,
} from '../domain/index.js';
import type { ServiceContainer } from '../kernel/index.js';
import type { PullReply } from '../state/index.js';
import type { PeerConnection, PeerMethods } from '../transport/index.js';
import { SERVICE_NAMES } from './serviceNames.js';

/**
 * Creates the methods that agents call on the connections that a router opened to them.
 * @param services - Service container of the process.
 */
export function getCallbackMethods(services: ServiceContainer): PeerMethods {
  const attempts = services.getOrThrow(SERVICE_NAMES.attempts);
  const scheduler = services.getOrThrow(SERVICE_NAMES.scheduler);
  const permits = services.getOrThrow(SERVICE_NAMES.permits);
  return {
    [ROUTER_METHODS.chunk]: (chunk: ResponseChunk) => attempts.onChunk(chunk),
    [ROUTER_METHODS.end]: (end: ResponseEnd) => attempts.onEnd(end),
    [ROUTER_METHODS.stalled]: (params: StalledParams) => attempts.onStalled(params),
    [ROUTER_METHODS.report]: (report: ReplicaReport) => scheduler.onReport(report),
    [ROUTER_METHODS.loadPermit]: (params: { itemId: string }) => permits.acquire(params.itemId),
    [ROUTER_METHODS.permitDone]: (params: { permitId: string }) => permits.release(params.permitId),
  };
}

/**
 * Creates the methods that other routers call on a router.
 * @param services - Service container of the process.
 */
export function getRouterMethods(services: ServiceContainer): PeerMethods {
  const scheduler = services.getOrThrow(SERVICE_NAMES.scheduler);
  const claims = services.getOrThrow(SERVICE_NAMES.claims);
  const pacer = services.getOrThrow(SERVICE_NAMES.pacer);
  return {
    [ROUTER_METHODS.assign]: async (params: AssignParams, connection) => {
      const stopListening = connection.onClose(() => scheduler.abandon(params));
      try {
        return await scheduler.assign(params);
      } finally {
        stopListening();
      }
    },
    [ROUTER_METHODS.abandon]: (params: { requestId: string; modelId: string }) => scheduler.abandon(params),
    [ROUTER_METHODS.release]: (params: ReleaseParams) => scheduler.release(params),
    [ROUTER_METHODS.hasOtherServer]: (params: OtherServerParams) => scheduler.hasOtherServer(params),
    [ROUTER_METHODS.claim]: (params: ClaimParams) => claims.claim(params),
    [ROUTER_METHODS.recordOutcome]: (params: OutcomeParams) => claims.recordOutcome(params),
    [ROUTER_METHODS.permit]: (params: { remainingMs: number }, connection) =>
      acquireForPeer(pacer, params, connection),
    [ROUTER_METHODS.permitDone]: (params: { permitId: string }) => pacer.release(params.permitId),
    [ROUTER_METHODS.pullConfiguration]: (params: PullParams) => pull(services, params),
  };
}

interface PullParams {
  readonly revision: number;
  readonly wantsInstances: boolean;
}

async function acquireForPeer(
  pacer: { acquire(remainingMs: number): Promise<string>; release(permitId: string): void },
  params: { readonly remainingMs: number },
  connection: PeerConnection,
): Promise<string> {
  const permitId = await pacer.acquire(params.remainingMs);
  if (!connection.isOpen) {
    pacer.release(permitId);
  }
  return permitId;
}

function pull(services: ServiceContainer, params: PullParams): PullReply {
  const delta = services.getOrThrow(SERVICE_NAMES.stateWatcher).getDelta(params.revision);
  const membership = services.getOrThrow(SERVICE_NAMES.membership);
  if (!params.wantsInstances || membership.revision === 0) {
    return { delta };
  }
  return { delta, instances: { list: membership.getAll(), revision: membership.revision } };
}
