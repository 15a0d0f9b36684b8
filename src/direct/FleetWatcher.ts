import { delay, type Clock, type Random, type Service } from '../kernel/index.js';
import { PeriodicTask } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type {
  ConfigurationRead,
  FleetSource,
  ServerChanges,
  ServerListing,
  SourceFailure,
} from './FleetSource.js';
import type { FleetView } from './decisions/index.js';

/**
 * Longest that one watch of the configuration waits, in milliseconds. A connection that went silent is noticed after this
 * and the call's time-out, which together keep clear of the platform's shortest bound for news, two seconds.
 */
const CONFIGURATION_WAIT_MS = 1_000;
/** The same for servers, and after the pause for their changes, which comes on top. */
const SERVERS_WAIT_MS = 1_000;
const GATHERED_WAIT_MS = 500;
/** Pause after changes of servers, in milliseconds, so that many of them cost one call: agents tell faster of models. */
const GATHER_MS = 600;
/** First pause after a failed call, doubled up to the limit, in milliseconds. */
const FIRST_RETRY_MS = 50;
/** Longest pause after a failed call, in milliseconds; a returned store must be seen well within two seconds. */
const MAX_RETRY_MS = 400;
/** Interval at which lapsed servers are looked at, in milliseconds. */
const EXPIRY_INTERVAL_MS = 100;

/** What the watcher is made of. */
export interface FleetWatcherDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly source: FleetSource;
  readonly view: FleetView;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** A part of the fleet that is listed once and then watched. */
interface Watched<R> {
  readonly subject: string;
  readonly list: () => Promise<R | SourceFailure>;
  readonly watch: (revision: number) => Promise<R | SourceFailure>;
  /** Takes what came; gives the revision to go on from, or nothing to list again. */
  readonly take: (result: R) => Promise<number | undefined>;
}

/** Keeps a router's view of the fleet current: one watch for the configuration, one for the servers. */
export class FleetWatcher implements Service {
  private readonly expiry: PeriodicTask;
  private readonly downSubjects = new Set<string>();
  private readonly unreadable = new Set<string>();
  private changeListener: () => void = () => undefined;
  private stopped = false;

  /** @param deps - What the watcher is made of. */
  constructor(private readonly deps: FleetWatcherDependencies) {
    this.expiry = new PeriodicTask(deps.clock, EXPIRY_INTERVAL_MS, () => this.expire());
  }

  /** @param listener - Called after each change of the view. */
  onChange(listener: () => void): void {
    this.changeListener = listener;
  }

  start(): Promise<void> {
    this.expiry.start();
    void this.followServers();
    void this.followConfiguration();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.stopped = true;
    this.expiry.stop();
    this.deps.source.close();
    return Promise.resolve();
  }

  private followServers(): Promise<void> {
    const { source, clock } = this.deps;
    let waitMs = SERVERS_WAIT_MS;
    return this.follow<ServerListing | ServerChanges>({
      subject: 'servers',
      list: () => source.listServers(),
      watch: (revision) => source.watchServers(revision, waitMs),
      take: async (result) => {
        this.applyServers(result);
        waitMs = SERVERS_WAIT_MS;
        if (result.kind === 'changed' && result.changes.length > 0) {
          await delay(clock, GATHER_MS);
          waitMs = GATHERED_WAIT_MS;
        }
        return result.revision;
      },
    });
  }

  private followConfiguration(): Promise<void> {
    const { source, clock, view } = this.deps;
    return this.follow<ConfigurationRead>({
      subject: 'configuration',
      list: () => source.readConfiguration(),
      watch: (revision) => source.watchConfiguration(revision, CONFIGURATION_WAIT_MS),
      take: async (result) => {
        this.applyConfiguration(result);
        if (view.configuration) {
          return result.revision;
        }
        // An unwritten configuration may be of a kind that can't be watched yet, so it is read again instead.
        await delay(clock, MAX_RETRY_MS);
        return undefined;
      },
    });
  }

  /** Lists a subject, then watches it from there on; lists again when the history is gone. */
  private async follow<R extends { readonly kind: string }>(watched: Watched<R>): Promise<void> {
    let revision: number | undefined;
    let retryMs = FIRST_RETRY_MS;
    while (!this.stopped) {
      const result = revision === undefined ? await watched.list() : await watched.watch(revision);
      if (isFailure(result)) {
        revision = result.kind === 'historyGone' ? undefined : revision;
        retryMs = await this.backOff(watched.subject, result, retryMs);
        continue;
      }
      this.noteUp(watched.subject);
      revision = await watched.take(result);
      retryMs = FIRST_RETRY_MS;
    }
  }

  private applyServers(result: ServerListing | ServerChanges): void {
    const { view, clock } = this.deps;
    const nowMs = clock.nowMs();
    if (result.kind === 'listed') {
      view.applyList(result.entries, nowMs);
      for (const serverId of result.unreadableIds) {
        this.noteUnreadable(serverId);
      }
    } else {
      for (const change of result.changes) {
        this.applyChange(change, nowMs);
      }
      if (result.changes.length === 0) {
        return;
      }
    }
    this.changeListener();
  }

  private applyChange(change: ServerChanges['changes'][number], nowMs: number): void {
    const { view, log } = this.deps;
    switch (change.kind) {
      case 'present': {
        const before = view.getEntry(change.entry.serverId);
        view.applyEntry(change.entry);
        if (before?.isLeaving !== change.entry.isLeaving) {
          log.info(change.entry.isLeaving ? 'server leaving' : 'server ready', {
            serverId: change.entry.serverId,
            address: change.entry.address,
          });
        }
        return;
      }
      case 'unreadable':
        this.noteUnreadable(change.serverId);
        return;
      case 'gone':
        view.removeEntry(change.serverId, nowMs);
        log.info('server no longer listed', { serverId: change.serverId });
        return;
    }
  }

  private applyConfiguration(result: ConfigurationRead): void {
    const { configuration } = result;
    if (configuration && this.deps.view.applyConfiguration(configuration)) {
      this.deps.log.info('configuration in force', {
        version: configuration.version,
        routeCount: configuration.routes.length,
      });
      this.changeListener();
    }
  }

  private noteUnreadable(serverId: string): void {
    this.deps.metrics.count('unreadable_server_entries');
    if (!this.unreadable.has(serverId)) {
      this.unreadable.add(serverId);
      this.deps.log.warn('server entry cannot be read', { serverId });
    }
  }

  private noteUp(subject: string): void {
    const { view, clock, log } = this.deps;
    if (this.downSubjects.delete(subject)) {
      log.info('platform store answers again', { subject });
    }
    if (this.downSubjects.size === 0) {
      view.markStoreAvailable(clock.nowMs());
    }
  }

  private async backOff(subject: string, failure: SourceFailure, retryMs: number): Promise<number> {
    const { view, clock, log, metrics, random } = this.deps;
    metrics.count('platform_failures');
    if (failure.kind === 'historyGone') {
      log.info('platform store forgot its history', { subject });
      return FIRST_RETRY_MS;
    }
    view.markStoreUnavailable(clock.nowMs());
    if (!this.downSubjects.has(subject)) {
      this.downSubjects.add(subject);
      log.warn('platform store does not answer', { subject, detail: failure.detail });
    }
    await delay(clock, random.jitterMs(retryMs));
    return Math.min(MAX_RETRY_MS, retryMs * 2);
  }

  private expire(): void {
    const gone = this.deps.view.expire(this.deps.clock.nowMs());
    for (const serverId of gone) {
      this.deps.log.info('lapsed server given up', { serverId });
    }
    if (gone.length > 0) {
      this.changeListener();
    }
  }
}

function isFailure(result: { readonly kind: string }): result is SourceFailure {
  return result.kind === 'historyGone' || result.kind === 'unavailable';
}
