import { runInBackground, type Clock } from '../kernel/index.js';
import { AGENT_METHODS, type FollowParams, type ReplicaReport } from '../domain/index.js';
import type { PeerConnection, PeerDialer } from '../transport/index.js';

/** Delay before the first reconnect to an agent, doubled with every failure up to the limit, in milliseconds. */
const MIN_RECONNECT_MS = 250;
/** Longest delay between two reconnects to an agent, in milliseconds. */
const MAX_RECONNECT_MS = 4_000;

/** Receives the events of the connections to agents. */
export interface AgentConnectionListener {
  /** @param report - Report on a followed model. */
  onReport(report: ReplicaReport): void;
  /**
   * Handles the loss of the connection to an agent, or a failure to connect.
   * @param serverId - Server of the agent.
   */
  onServerLost(serverId: string): void;
}

/** Follows models on agents over one connection to each agent, and reconnects after failures. */
export class AgentConnections {
  private readonly followed = new Map<
    string,
    FollowParams & { readonly address: string; readonly serverId: string }
  >();
  private readonly connecting = new Set<string>();
  private readonly unsubscribeByKey = new Map<string, () => void>();
  /** Delay before the next reconnect, by followed model and server. */
  private readonly reconnectMs = new Map<string, number>();

  /**
   * @param clock - Source of time.
   * @param dialer - Opens connections.
   * @param listener - Receives reports and losses.
   */
  constructor(
    private readonly clock: Clock,
    private readonly dialer: PeerDialer,
    private readonly listener: AgentConnectionListener,
  ) {}

  /**
   * Follows a model on an agent, or sends the agent a newer placement.
   * @param serverId - Server of the agent.
   * @param address - Address of the agent.
   * @param params - The model and its placement.
   */
  follow(serverId: string, address: string, params: FollowParams): void {
    const key = `${params.modelId}@${serverId}`;
    const previous = this.followed.get(key);
    const isUnchanged =
      previous?.address === address && previous.placement?.version === params.placement?.version;
    this.followed.set(key, { ...params, address, serverId });
    if (!isUnchanged) {
      runInBackground('connection to an agent', () => this.connect(key));
    }
  }

  /**
   * Stops following a model on an agent.
   * @param serverId - Server of the agent.
   * @param modelId - The model.
   */
  unfollow(serverId: string, modelId: string): void {
    const key = `${modelId}@${serverId}`;
    this.followed.delete(key);
    this.reconnectMs.delete(key);
    this.unsubscribeByKey.get(key)?.();
    this.unsubscribeByKey.delete(key);
  }

  /**
   * Returns the connection to an agent.
   * @param address - Address of the agent.
   */
  getConnection(address: string): Promise<PeerConnection> {
    return this.dialer.connect(address);
  }

  private async connect(key: string): Promise<void> {
    if (this.connecting.has(key)) {
      return;
    }
    this.connecting.add(key);
    let sentParams: FollowParams | undefined;
    try {
      const target = this.followed.get(key);
      if (!target) {
        return;
      }
      sentParams = target;
      const connection = await this.dialer.connect(target.address);
      const params: FollowParams = { modelId: target.modelId, placement: target.placement };
      const report = await connection.call<ReplicaReport>(AGENT_METHODS.follow, params);
      this.unsubscribeByKey.get(key)?.();
      const release = connection.acquire();
      const stopListening = connection.onClose(() => this.onConnectionLost(key));
      this.unsubscribeByKey.set(key, () => {
        release();
        stopListening();
      });
      this.reconnectMs.delete(key);
      this.listener.onReport(report);
    } catch {
      this.onConnectionLost(key);
    } finally {
      this.connecting.delete(key);
    }
    const latest = this.followed.get(key);
    if (latest && sentParams && latest !== sentParams) {
      runInBackground('connection to an agent', () => this.connect(key));
    }
  }

  private onConnectionLost(key: string): void {
    const target = this.followed.get(key);
    if (!target) {
      return;
    }
    this.listener.onServerLost(target.serverId);
    const delayMs = this.reconnectMs.get(key) ?? MIN_RECONNECT_MS;
    this.reconnectMs.set(key, Math.min(MAX_RECONNECT_MS, delayMs * 2));
    this.clock.schedule(delayMs, () => runInBackground('connection to an agent', () => this.connect(key)));
  }
}
