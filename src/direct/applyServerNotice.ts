import type { Clock } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { AgentConnections } from './AgentConnections.js';
import { describeRateLimit, type FleetView, type ServerEntry } from './decisions/index.js';
import type { ServerNotice } from './HeaderCodec.js';

/** Dependencies of {@link applyServerNotice}. */
export interface ServerNoticeDependencies {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly agentConnections: AgentConnections;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Applies what a server states about itself in a response; the response that carries it is handled as any other.
 * @param deps - Dependencies.
 * @param entry - Entry of the server.
 * @param notice - The statements.
 */
export function applyServerNotice(
  deps: ServerNoticeDependencies,
  entry: ServerEntry,
  { isLeaving, pauseMs, maxRequestsPerSecond }: ServerNotice,
): void {
  const { view, clock, agentConnections, log, metrics } = deps;
  const { serverId, bornAtMs } = entry;
  if (isLeaving && view.recordLeaving(entry)) {
    metrics.count('servers_stated_leaving');
    log.decision('server states that it is leaving', { serverId, bornAtMs });
    agentConnections.notifyLeaving({ serverId, bornAtMs });
  }
  if (pauseMs !== undefined) {
    metrics.count('servers_paused');
    log.decision('server asks for a pause', { serverId, bornAtMs, pauseMs });
    view.holdServer(serverId, pauseMs, clock.nowMs());
  }
  if (maxRequestsPerSecond !== undefined && view.recordRateLimit(serverId, maxRequestsPerSecond)) {
    metrics.count('server_limit_changes');
    log.decision('server limits its requests', {
      serverId,
      bornAtMs,
      ...describeRateLimit(maxRequestsPerSecond),
    });
  }
}
