import { findFirstForKey } from './rendezvous.js';
import { setNewest } from './setNewest.js';
import type { StreamOrigin } from './StreamOrigins.js';

/** Number of agents that store an origin, so that the loss of one or two does not matter. */
export const ORIGIN_REPLICA_COUNT = 3;
/**
 * Time for which a router keeps an origin stored at that many agents, in milliseconds; longer than a stream usually lasts
 * with its pauses.
 */
const REPLICATION_MS = 30_000;
/** Maximum number of origins that a router keeps stored. */
const MAX_ORIGINS = 2_000;

/** Connections to agents, by the address of their engine; an agent that has restarted is on another connection. */
export type AgentsByAddress = ReadonlyMap<string, object>;

/** An origin that is to be sent to an agent. */
export interface OriginCopy {
  /** Address of the agent's engine. */
  readonly address: string;
  readonly origin: StreamOrigin;
}

/** An origin and the agents that were sent it. */
interface ReplicatedOrigin {
  readonly origin: StreamOrigin;
  readonly recordedAtMs: number;
  addresses: readonly string[];
}

/**
 * Decides which agents store the origins of a router's latest streams: the first few in an order that is the same on all
 * routers. When some of them leave, restart or are lost, or others come that rank before them, it names the agents that
 * still need a copy.
 */
export class OriginReplicas {
  private readonly origins = new Map<string, ReplicatedOrigin>();
  private agents: AgentsByAddress = new Map();

  /**
   * Records an origin and returns the copies to send.
   * @param origin - The origin.
   * @param nowMs - Current time.
   */
  record(origin: StreamOrigin, nowMs: number): OriginCopy[] {
    const replicated: ReplicatedOrigin = { origin, recordedAtMs: nowMs, addresses: [] };
    setNewest(this.origins, origin.requestId, replicated, MAX_ORIGINS);
    return place(replicated, this.agents.keys());
  }

  /**
   * Sets the agents that can store origins and returns the copies to send.
   * @param agents - Connected agents whose engines stay.
   * @param nowMs - Current time.
   */
  updateAgents(agents: AgentsByAddress, nowMs: number): OriginCopy[] {
    const lost = getMissing(this.agents, agents);
    const added = getMissing(agents, this.agents);
    this.agents = agents;
    if (lost.length === 0 && added.length === 0) {
      return [];
    }
    const copies: OriginCopy[] = [];
    for (const [requestId, replicated] of this.origins) {
      if (nowMs - replicated.recordedAtMs >= REPLICATION_MS) {
        this.origins.delete(requestId);
        continue;
      }
      const kept = replicated.addresses.filter((address) => !lost.includes(address));
      replicated.addresses = kept;
      const isComplete = kept.length >= ORIGIN_REPLICA_COUNT;
      copies.push(...place(replicated, isComplete ? [...kept, ...added] : agents.keys()));
    }
    return copies;
  }
}

/** Assigns an origin to the first candidates; returns the copies for those that were not sent it yet. */
function place(replicated: ReplicatedOrigin, candidates: Iterable<string>): OriginCopy[] {
  const { origin, addresses: sentAddresses } = replicated;
  replicated.addresses = findFirstForKey(origin.requestId, candidates, ORIGIN_REPLICA_COUNT);
  return replicated.addresses
    .filter((address) => !sentAddresses.includes(address))
    .map((address) => ({ address, origin }));
}

/** Returns the addresses of agents that others lack or have on another connection. */
function getMissing(agents: AgentsByAddress, others: AgentsByAddress): string[] {
  return [...agents.keys()].filter((address) => agents.get(address) !== others.get(address));
}
