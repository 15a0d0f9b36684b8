import type { ServerId } from '../domain/index.js';
import { PeriodicTask, type Clock, type Service } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { PaceEstimator } from './decisions/index.js';

/** Interval at which the paces of the servers are logged, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;
/** Maximum number of servers in a log line, half of them the slowest and half the fastest. */
const MAX_LOGGED_SERVERS = 32;
/** Maximum number of servers with a metric of their own. */
const MAX_SERVER_METRICS = 64;

/** Dependencies of {@link PaceReporter}. */
export interface PaceReporterDependencies {
  readonly clock: Clock;
  readonly pace: PaceEstimator;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns whether the paces are taken into account when servers are chosen. */
  readonly isEnabled: () => boolean;
}

/** Shows a router's knowledge of the paces of servers in its log and metrics. */
export class PaceReporter implements Service {
  private readonly task: PeriodicTask;
  /** Servers that have a metric, by its name. */
  private readonly serversByMetric = new Map<string, ServerId>();

  /** @param deps - Dependencies. */
  constructor(private readonly deps: PaceReporterDependencies) {
    this.task = new PeriodicTask(deps.clock, LOG_INTERVAL_MS, () => this.report());
    deps.metrics.gauge('servers_with_pace', () => deps.pace.serverCount);
  }

  start(): Promise<void> {
    this.task.start();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.task.stop();
    return Promise.resolve();
  }

  private report(): void {
    const sorted = this.getSorted();
    if (sorted.length === 0) {
      return;
    }
    this.updateMetrics(sorted);
    const half = MAX_LOGGED_SERVERS / 2;
    const logged =
      sorted.length > MAX_LOGGED_SERVERS ? [...sorted.slice(0, half), ...sorted.slice(-half)] : sorted;
    this.deps.log.decision('pace of servers', {
      isEnabled: this.deps.isEnabled(),
      serverCount: sorted.length,
      paceFactors: logged.map(({ serverId, factor }) => `${serverId}=${factor.toFixed(2)}`).join(' '),
    });
  }

  /** Gives new servers a metric as long as there are few, and takes it from those whose pace is no longer known. */
  private updateMetrics(sorted: readonly { serverId: ServerId }[]): void {
    const { pace, metrics } = this.deps;
    const known = new Set(sorted.map(({ serverId }) => serverId));
    for (const [name, serverId] of this.serversByMetric) {
      if (!known.has(serverId)) {
        this.serversByMetric.delete(name);
        metrics.removeGauge(name);
      }
    }
    for (const { serverId } of sorted) {
      const name = `server_pace_${serverId.replace(/[^a-zA-Z0-9_]/g, '_')}`;
      if (this.serversByMetric.size < MAX_SERVER_METRICS && !this.serversByMetric.has(name)) {
        this.serversByMetric.set(name, serverId);
        metrics.gauge(name, () => pace.getPaceFactor(serverId));
      }
    }
  }

  private getSorted(): { serverId: ServerId; factor: number }[] {
    const { pace } = this.deps;
    return [...pace.serverIds]
      .map((serverId) => ({ serverId, factor: pace.getPaceFactor(serverId) }))
      .sort((left, right) => left.factor - right.factor);
  }
}
