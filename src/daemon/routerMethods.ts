import {
  ROUTER_METHODS,
  type AnswerChunk,
  type AnswerEnd,
  type AssignParams,
  type ClaimParams,
  type OutcomeParams,
  type ReleaseParams,
  type ReplicaReport,
} from '../domain/index.js';
import type { Kernel } from '../kernel/index.js';
import type { PullReply } from '../state/index.js';
import type { PeerConnection, PeerMethods } from '../transport/index.js';
import { NAMES } from './serviceNames.js';

/**
 * The methods that agents call back on the connections a router opened to them.
 * @param kernel - Services of the process.
 */
export function getCallbackMethods(kernel: Kernel): PeerMethods {
  const attempts = kernel.getOrThrow(NAMES.attempts);
  const homes = kernel.getOrThrow(NAMES.homes);
  const permits = kernel.getOrThrow(NAMES.permits);
  return {
    [ROUTER_METHODS.chunk]: (chunk: AnswerChunk) => attempts.chunkArrived(chunk),
    [ROUTER_METHODS.end]: (end: AnswerEnd) => attempts.endArrived(end),
    [ROUTER_METHODS.report]: (report: ReplicaReport) => homes.reported(report),
    [ROUTER_METHODS.loadPermit]: (params: { itemId: string }) => permits.ask(params.itemId),
    [ROUTER_METHODS.permitDone]: (params: { permitId: string }) => permits.done(params.permitId),
  };
}

/**
 * The methods that a router offers to other routers.
 * @param kernel - Services of the process.
 */
export function getRouterMethods(kernel: Kernel): PeerMethods {
  const homes = kernel.getOrThrow(NAMES.homes);
  const claims = kernel.getOrThrow(NAMES.claims);
  const pacer = kernel.getOrThrow(NAMES.pacer);
  return {
    [ROUTER_METHODS.assign]: async (params: AssignParams, connection) => {
      const stopListening = connection.onClose(() => homes.abandon(params));
      const reply = await homes.assign(params);
      stopListening();
      return reply;
    },
    [ROUTER_METHODS.abandon]: (params: { requestId: string; modelId: string }) => homes.abandon(params),
    [ROUTER_METHODS.release]: (params: ReleaseParams) => homes.release(params),
    [ROUTER_METHODS.claim]: (params: ClaimParams) => claims.claim(params),
    [ROUTER_METHODS.recordOutcome]: (params: OutcomeParams) => claims.recordOutcome(params),
    [ROUTER_METHODS.permit]: (params: { remainingMs: number }, connection) =>
      askForPeer(pacer, params, connection),
    [ROUTER_METHODS.permitDone]: (params: { permitId: string }) => pacer.done(params.permitId),
    [ROUTER_METHODS.pullConfiguration]: (params: PullParams) => pull(kernel, params),
  };
}

interface PullParams {
  readonly revision: number;
  readonly wantsInstances: boolean;
}

async function askForPeer(
  pacer: { ask(remainingMs: number): Promise<string>; done(permitId: string): void },
  params: { readonly remainingMs: number },
  connection: PeerConnection,
): Promise<string> {
  const permitId = await pacer.ask(params.remainingMs);
  if (!connection.isOpen) {
    pacer.done(permitId);
  }
  return permitId;
}

function pull(kernel: Kernel, params: PullParams): PullReply {
  const delta = kernel.getOrThrow(NAMES.watcher).getDelta(params.revision);
  const membership = kernel.getOrThrow(NAMES.membership);
  if (!params.wantsInstances || membership.revision === 0) {
    return { delta };
  }
  return { delta, instances: { list: membership.getAll(), revision: membership.revision } };
}
