import type { Clock } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { ConfigurationRead } from './FleetSource.js';
import type { FleetView } from './decisions/index.js';

/** Dependencies of {@link ConfigurationApplier}. */
export interface ConfigurationApplierDependencies {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Call that returned a configuration, for the log. */
export interface ConfigurationCall {
  readonly kind: 'list' | 'watch';
  /** Time that the call took, in milliseconds. */
  readonly tookMs: number;
}

/** Applies configurations of the platform's store to a router's view, and records how and when they arrived. */
export class ConfigurationApplier {
  /** Whether the store has a newer configuration than the applied one, which could not be read. */
  private isNewestUnreadable = false;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: ConfigurationApplierDependencies) {
    const { metrics, view } = deps;
    metrics.gauge('configuration_version', () => view.configuration?.version ?? 0);
    metrics.gauge('configuration_confirmed_age_ms', () => this.getConfirmedAgeMs());
  }

  /**
   * Applies the result of a call; returns whether the view has changed.
   * @param result - The result.
   * @param call - The call.
   */
  apply(result: ConfigurationRead, call: ConfigurationCall): boolean {
    const { view, clock, log, metrics } = this.deps;
    const { configuration, problem, revision } = result;
    this.isNewestUnreadable = !configuration && (problem !== undefined || this.isNewestUnreadable);
    if (problem !== undefined) {
      metrics.count('unreadable_configurations');
      log.warn('configuration cannot be read', { source: call.kind, revision, problem });
    }
    const confirmedAgeMs = this.getConfirmedAgeMs();
    if (!this.isNewestUnreadable) {
      view.confirmConfiguration(clock.nowMs());
    }
    if (!configuration || !view.applyConfiguration(configuration)) {
      return false;
    }
    const { version, routes, callerLimits, organisations } = configuration;
    log.info('configuration applied', {
      version,
      routeCount: routes.length,
      headerTimeoutMs: callerLimits.headerTimeoutMs,
      idleTimeoutMs: callerLimits.idleTimeoutMs,
      organisationCount: organisations?.organisations.length ?? 0,
      source: call.kind,
      callMs: Math.round(call.tookMs),
      confirmedAgeMs,
    });
    for (const organisationProblem of organisations?.problems ?? []) {
      log.warn('organisation cannot be read', { version, problem: organisationProblem });
    }
    return true;
  }

  /** Time since the store last stated that there is no newer configuration than the applied one, in milliseconds; -1 if never. */
  private getConfirmedAgeMs(): number {
    const confirmedAtMs = this.deps.view.configurationKnowledge?.confirmedAtMs;
    return confirmedAtMs === undefined ? -1 : Math.round(this.deps.clock.nowMs() - confirmedAtMs);
  }
}
