import { findFirstForKey } from '../../kernel/rendezvous.js';
import { setNewest } from '../../kernel/setNewest.js';
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

/**
 * Number of pairs of an origin and an agent after which the next origins are placed at the next update; bounds the time for
 * which an update blocks the event loop.
 */
const MAX_RANKED_PAIRS = 50_000;

/** Connections to agents, by the address of their engine; an agent that has restarted is on another connection. */
export type AgentsByAddress = ReadonlyMap<string, object>;

/** An origin that is to be sent to an agent. */
export interface OriginCopy {
  /** Address of the agent's engine. */
  readonly address: string;
  readonly origin: StreamOrigin;
}

/** An origin and the connections of the agents that were sent it. */
interface ReplicatedOrigin {
  readonly origin: StreamOrigin;
  readonly recordedAtMs: number;
  holders: AgentsByAddress;
}

/**
 * Decides which agents store the origins of a router's latest streams: the first few in an order that is the same on all
 * routers. When some of them leave, restart or are lost, or others come that rank before them, it names the agents that
 * still need a copy.
 */
export class OriginReplicas {
  private readonly origins = new Map<string, ReplicatedOrigin>();
  private agents: AgentsByAddress = new Map();
  /** Origins to place again, and the agents that came since they were placed; undefined if all agents are to be ranked. */
  private readonly pending = new Map<string, readonly string[] | undefined>();

  /**
   * Records an origin and returns the copies to send.
   * @param origin - The origin.
   * @param nowMs - Current time.
   */
  record(origin: StreamOrigin, nowMs: number): OriginCopy[] {
    const replicated: ReplicatedOrigin = { origin, recordedAtMs: nowMs, holders: new Map() };
    setNewest(this.origins, origin.requestId, replicated, MAX_ORIGINS);
    this.pending.delete(origin.requestId);
    return this.place(replicated, [], this.agents.keys());
  }

  /**
   * Sets the agents that can store origins and returns the next copies to send.
   * @param agents - Connected agents whose engines stay.
   * @param nowMs - Current time.
   */
  updateAgents(agents: AgentsByAddress, nowMs: number): OriginCopy[] {
    const lost = getMissing(this.agents, agents);
    const added = getMissing(agents, this.agents);
    this.agents = agents;
    if (lost.length > 0 || added.length > 0) {
      for (const requestId of this.origins.keys()) {
        this.pending.set(requestId, this.pending.has(requestId) ? undefined : added);
      }
    }
    return this.placePending(nowMs);
  }

  /**
   * Places some of the origins again whose agents have changed; returns the copies to send.
   * @param nowMs - Current time.
   */
  placePending(nowMs: number): OriginCopy[] {
    const copies: OriginCopy[] = [];
    let rankedPairs = 0;
    for (const [requestId, added] of this.pending) {
      if (rankedPairs >= MAX_RANKED_PAIRS) {
        break;
      }
      this.pending.delete(requestId);
      const replicated = this.origins.get(requestId);
      if (!replicated || nowMs - replicated.recordedAtMs >= REPLICATION_MS) {
        this.origins.delete(requestId);
        continue;
      }
      const kept = [...replicated.holders]
        .filter(([address, connection]) => this.agents.get(address) === connection)
        .map(([address]) => address);
      const isComplete = added !== undefined && kept.length >= ORIGIN_REPLICA_COUNT;
      rankedPairs += isComplete ? added.length : this.agents.size;
      copies.push(...this.place(replicated, kept, isComplete ? [...kept, ...added] : this.agents.keys()));
    }
    return copies;
  }

  /** Assigns an origin to the first candidates; returns the copies for those that were not sent it yet. */
  private place(
    replicated: ReplicatedOrigin,
    sentAddresses: readonly string[],
    candidates: Iterable<string>,
  ): OriginCopy[] {
    const { origin } = replicated;
    const holders = new Map<string, object>();
    for (const address of findFirstForKey(origin.requestId, candidates, ORIGIN_REPLICA_COUNT)) {
      holders.set(address, this.agents.get(address) ?? {});
    }
    replicated.holders = holders;
    return [...holders.keys()]
      .filter((address) => !sentAddresses.includes(address))
      .map((address) => ({ address, origin }));
  }
}

/** Returns the addresses of agents that others lack or have on another connection. */
function getMissing(agents: AgentsByAddress, others: AgentsByAddress): string[] {
  return [...agents.keys()].filter((address) => agents.get(address) !== others.get(address));
}
