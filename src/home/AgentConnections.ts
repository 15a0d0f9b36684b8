import type { Clock } from '../kernel/index.js';
import { AGENT_METHODS, type FollowParams, type ReplicaReport } from '../domain/index.js';
import type { PeerConnection, PeerDialer } from '../transport/index.js';

/** Time before the first new try to reach an agent, doubled with every failure up to the limit, in milliseconds. */
const FIRST_RECONNECT_MS = 250;
/** Longest time between two tries to reach an agent, in milliseconds. */
const MAX_RECONNECT_MS = 4_000;

/** Takes what happens on a link. */
export interface LinkListener {
  /** @param report - Report of a followed model. */
  onReport(report: ReplicaReport): void;
  /**
   * Notes that an agent can't be reached.
   * @param serverId - Its server.
   */
  lost(serverId: string): void;
}

/** Follows models on agents, over one connection to each agent, for as long as a home wants it. */
export class AgentConnections {
  private readonly followed = new Map<
    string,
    FollowParams & { readonly address: string; readonly serverId: string }
  >();
  private readonly busy = new Set<string>();
  private readonly stopListening = new Map<string, () => void>();
  /** Time before the next new try, by what is followed. */
  private readonly reconnectMs = new Map<string, number>();

  /**
   * @param clock - Source of time.
   * @param dialer - Opens connections.
   * @param listener - Takes what happens.
   */
  constructor(
    private readonly clock: Clock,
    private readonly dialer: PeerDialer,
    private readonly listener: LinkListener,
  ) {}

  /**
   * Follows a model on an agent, or tells the agent a newer placement.
   * @param serverId - Server of the agent.
   * @param address - Address of the agent.
   * @param params - What to follow.
   */
  follow(serverId: string, address: string, params: FollowParams): void {
    const key = `${params.modelId}@${serverId}`;
    const known = this.followed.get(key);
    const isSame = known?.address === address && known.placement?.version === params.placement?.version;
    this.followed.set(key, { ...params, address, serverId });
    if (!isSame) {
      void this.connect(key);
    }
  }

  /**
   * Ends the following of a model on an agent.
   * @param serverId - Server of the agent.
   * @param modelId - The model.
   */
  unfollow(serverId: string, modelId: string): void {
    const key = `${modelId}@${serverId}`;
    this.followed.delete(key);
    this.reconnectMs.delete(key);
    this.stopListening.get(key)?.();
    this.stopListening.delete(key);
  }

  /**
   * Gives the connection to an agent.
   * @param address - Address of the agent.
   */
  connection(address: string): Promise<PeerConnection> {
    return this.dialer.connect(address);
  }

  private async connect(key: string): Promise<void> {
    if (this.busy.has(key)) {
      return;
    }
    this.busy.add(key);
    let sent: FollowParams | undefined;
    try {
      const target = this.followed.get(key);
      if (!target) {
        return;
      }
      sent = target;
      const connection = await this.dialer.connect(target.address);
      const params: FollowParams = { modelId: target.modelId, placement: target.placement };
      const report = await connection.call<ReplicaReport>(AGENT_METHODS.follow, params);
      this.stopListening.get(key)?.();
      const release = connection.acquire();
      const stopListening = connection.onClose(() => this.lost(key));
      this.stopListening.set(key, () => {
        release();
        stopListening();
      });
      this.reconnectMs.delete(key);
      this.listener.onReport(report);
    } catch {
      this.lost(key);
    } finally {
      this.busy.delete(key);
    }
    const latest = this.followed.get(key);
    if (latest && sent && latest !== sent) {
      void this.connect(key);
    }
  }

  private lost(key: string): void {
    const target = this.followed.get(key);
    if (!target) {
      return;
    }
    this.listener.lost(target.serverId);
    const delayMs = this.reconnectMs.get(key) ?? FIRST_RECONNECT_MS;
    this.reconnectMs.set(key, Math.min(MAX_RECONNECT_MS, delayMs * 2));
    this.clock.schedule(delayMs, () => void this.connect(key));
  }
}
