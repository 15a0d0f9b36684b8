import { delay, keepRunning, type Clock, type Random, type Service } from '../kernel/index.js';
import { PeriodicTask } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import { ConfigurationApplier, type ConfigurationCall } from './ConfigurationApplier.js';
import type {
  ConfigurationRead,
  FleetSource,
  ServerChanges,
  ServerListing,
  SourceFailure,
  StorePosition,
} from './FleetSource.js';
import { getWatchTimes, StoreEras, type FleetView, type WatchTimes } from './decisions/index.js';

/** Delay after the first failed call, in milliseconds; doubled after each further one up to the maximum. */
const MIN_RETRY_MS = 50;
/**
 * Maximum delay after a failed call, in milliseconds; a store that is reachable again must be detected well within
 * two seconds.
 */
const MAX_RETRY_MS = 400;
/** Interval at which expired servers are checked, in milliseconds. */
const EXPIRY_INTERVAL_MS = 100;

/** Dependencies of {@link FleetWatcher}. */
export interface FleetWatcherDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly source: FleetSource;
  readonly view: FleetView;
  readonly log: Log;
  readonly metrics: Metrics;
  /**
   * Returns the time in which a change in the store must take effect, in milliseconds. Watches wait as long as it allows,
   * because each call has a price.
   */
  readonly getUpdateLimitMs: () => number;
}

/** A subject that is listed once and then watched. */
interface WatchedSubject<R extends StorePosition> {
  readonly subject: string;
  readonly list: () => Promise<R | SourceFailure>;
  readonly watch: (revision: number) => Promise<R | SourceFailure>;
  /** Applies a list; returns whether to watch it from its revision on, instead of listing again. */
  readonly applyList: (result: R, isRestored: boolean) => Promise<boolean>;
  /** Applies the result of a watch; returns whether to watch on from its revision, instead of listing again. */
  readonly applyChanges: (result: R) => Promise<boolean>;
}

/** Keeps a router's view of the fleet current with one watch of the configuration and one of the servers. */
export class FleetWatcher implements Service {
  private readonly expiryTask: PeriodicTask;
  private readonly configurationApplier: ConfigurationApplier;
  /** When each subject became unreachable, and the number of failed calls since. */
  private readonly downSubjects = new Map<string, { readonly sinceMs: number; failureCount: number }>();
  private readonly unreadableIds = new Set<string>();
  private readonly eras = new StoreEras();
  /** Functions that end the pending waits of all subjects after a restore of the store. */
  private readonly restoreListeners = new Set<() => void>();
  private changeListener: () => void = () => undefined;
  private stopped = false;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: FleetWatcherDependencies) {
    this.expiryTask = new PeriodicTask(deps.clock, EXPIRY_INTERVAL_MS, () => this.expire());
    this.configurationApplier = new ConfigurationApplier(deps);
  }

  /**
   * Sets the listener for changes of the view.
   * @param listener - Called after each change.
   */
  onChange(listener: () => void): void {
    this.changeListener = listener;
  }

  start(): Promise<void> {
    this.expiryTask.start();
    const { clock } = this.deps;
    keepRunning('watch of servers', clock, () => this.watchServers());
    keepRunning('watch of configuration', clock, () => this.watchConfiguration());
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.stopped = true;
    this.expiryTask.stop();
    this.deps.source.close();
    return Promise.resolve();
  }

  private getTimes(): WatchTimes {
    return getWatchTimes(this.deps.getUpdateLimitMs());
  }

  private watchServers(): Promise<void> {
    const { source, clock } = this.deps;
    let waitMs = this.getTimes().waitMs;
    return this.watchSubject<ServerListing | ServerChanges>({
      subject: 'servers',
      list: () => source.listServers(),
      watch: (revision) => source.watchServers(revision, waitMs),
      applyList: (result, isRestored) => {
        this.applyServers(result, isRestored);
        return Promise.resolve(true);
      },
      applyChanges: async (result) => {
        this.applyServers(result, false);
        const times = this.getTimes();
        waitMs = times.waitMs;
        if (result.kind === 'changed' && result.changes.length > 0) {
          await this.awaitUnlessRestored(delay(clock, times.changesDelayMs));
          waitMs = times.delayedWaitMs;
        }
        return true;
      },
    });
  }

  private watchConfiguration(): Promise<void> {
    const { source, clock } = this.deps;
    let calledAtMs = clock.nowMs();
    const apply = (result: ConfigurationRead, kind: ConfigurationCall['kind']) =>
      this.applyConfiguration(result, { kind, tookMs: clock.nowMs() - calledAtMs });
    return this.watchSubject<ConfigurationRead>({
      subject: 'configuration',
      list: () => {
        calledAtMs = clock.nowMs();
        return source.readConfiguration();
      },
      watch: (revision) => {
        calledAtMs = clock.nowMs();
        return source.watchConfiguration(revision, this.getTimes().waitMs);
      },
      applyList: async (result) => {
        apply(result, 'list');
        const isPresent = result.configuration !== undefined || result.problem !== undefined;
        const isWatchable = isPresent && this.deps.view.configuration !== undefined;
        if (!isWatchable) {
          // A kind of object that was never written may not be watchable yet, so a missing configuration is read again
          // instead.
          await delay(clock, MAX_RETRY_MS);
        }
        return isWatchable;
      },
      applyChanges: (result) => {
        apply(result, 'watch');
        // The list has the whole object, of which the event may be a part.
        return Promise.resolve(result.problem === undefined);
      },
    });
  }

  /**
   * Lists a subject and watches it from the listed revision on; lists again when the history is gone or the store was
   * restored from a copy, since the same revisions then stand for other changes.
   */
  private async watchSubject<R extends StorePosition & { readonly kind: string }>(
    watched: WatchedSubject<R>,
  ): Promise<void> {
    let position: StorePosition | undefined;
    let listedEra: number | undefined;
    let retryMs = MIN_RETRY_MS;
    while (!this.stopped) {
      if (position && position.era !== this.eras.newest) {
        position = undefined;
      }
      const isList = position === undefined;
      const call = position === undefined ? watched.list() : watched.watch(position.revision);
      const result = await this.awaitUnlessRestored(call);
      if (!result) {
        continue;
      }
      if (isFailure(result)) {
        position = result.kind === 'historyGone' ? undefined : position;
        retryMs = await this.backOff(watched.subject, result, retryMs);
        continue;
      }
      this.markAvailable(watched.subject);
      const isUsable = this.recordEra(watched.subject, result.era);
      if (!isUsable) {
        await delay(this.deps.clock, MIN_RETRY_MS);
        continue;
      }
      retryMs = MIN_RETRY_MS;
      if (isList) {
        const isRestored = listedEra !== undefined && listedEra !== result.era;
        listedEra = result.era;
        position = (await watched.applyList(result, isRestored)) ? toPosition(result) : undefined;
      } else if (result.era === position?.era) {
        position = (await watched.applyChanges(result)) ? toPosition(result) : undefined;
      }
    }
  }

  /** Waits for a call; resolves early with undefined when another subject finds that the store was restored. */
  private async awaitUnlessRestored<T>(call: Promise<T>): Promise<T | undefined> {
    let endWait: () => void = () => undefined;
    const restored = new Promise<undefined>((resolve) => {
      endWait = () => resolve(undefined);
    });
    this.restoreListeners.add(endWait);
    const result = await Promise.race([call, restored]);
    this.restoreListeners.delete(endWait);
    return result;
  }

  /** Records the era of an answer; returns false if the answer is from before a known restore. */
  private recordEra(subject: string, era: number): boolean {
    const { log, metrics } = this.deps;
    const before = this.eras.newest;
    const relation = this.eras.record(era);
    switch (relation) {
      case 'current':
        return true;
      case 'outdated':
        metrics.count('platform_outdated_answers');
        log.decision('outdated answer of the platform store dropped', {
          subject,
          era,
          newestEra: before ?? 0,
        });
        return false;
      case 'restored':
        metrics.count('platform_restores');
        log.warn('platform store was restored from a copy', { subject, era, before: before ?? 0 });
        for (const endWait of [...this.restoreListeners]) {
          endWait();
        }
        return true;
    }
  }

  private applyServers(result: ServerListing | ServerChanges, isRestored: boolean): void {
    const { view, clock } = this.deps;
    const nowMs = clock.nowMs();
    if (result.kind === 'listed') {
      if (isRestored) {
        view.applyRestoredList(result.entries, nowMs);
      } else {
        view.applyList(result.entries, nowMs);
      }
      for (const serverId of result.unreadableIds) {
        this.recordUnreadable(serverId);
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
        this.recordUnreadable(change.serverId);
        return;
      case 'gone':
        view.removeEntry(change.serverId, nowMs);
        log.info('server no longer listed', { serverId: change.serverId });
        return;
    }
  }

  private applyConfiguration(result: ConfigurationRead, call: ConfigurationCall): void {
    const receivedAtMs = this.deps.clock.nowMs();
    if (this.configurationApplier.apply(result, call)) {
      this.changeListener();
      this.deps.metrics.recordMs('configuration_apply_ms', this.deps.clock.nowMs() - receivedAtMs);
    }
  }

  private recordUnreadable(serverId: string): void {
    this.deps.metrics.count('unreadable_server_entries');
    if (!this.unreadableIds.has(serverId)) {
      this.unreadableIds.add(serverId);
      this.deps.log.warn('server entry cannot be read', { serverId });
    }
  }

  private markAvailable(subject: string): void {
    const { view, clock, log } = this.deps;
    const outage = this.downSubjects.get(subject);
    if (outage) {
      this.downSubjects.delete(subject);
      const { sinceMs, failureCount } = outage;
      const downMs = Math.round(clock.nowMs() - sinceMs);
      log.info('platform store is reachable again', { subject, downMs, failureCount });
    }
    if (this.downSubjects.size === 0) {
      view.markStoreAvailable(clock.nowMs());
    }
  }

  private async backOff(subject: string, failure: SourceFailure, retryMs: number): Promise<number> {
    const { view, clock, log, metrics, random } = this.deps;
    metrics.count('platform_failures');
    if (failure.kind === 'historyGone') {
      log.info('platform store no longer has the requested history', { subject });
      return MIN_RETRY_MS;
    }
    view.markStoreUnavailable(clock.nowMs());
    const outage = this.downSubjects.get(subject);
    if (outage) {
      outage.failureCount++;
    } else {
      this.downSubjects.set(subject, { sinceMs: clock.nowMs(), failureCount: 1 });
      log.warn('platform store is unreachable', { subject, detail: failure.detail });
    }
    await delay(clock, random.jitterMs(retryMs));
    return Math.min(MAX_RETRY_MS, retryMs * 2);
  }

  private expire(): void {
    const expiredIds = this.deps.view.expire(this.deps.clock.nowMs());
    for (const serverId of expiredIds) {
      this.deps.log.info('expired server removed', { serverId });
    }
    if (expiredIds.length > 0) {
      this.changeListener();
    }
  }
}

function toPosition({ era, revision }: StorePosition): StorePosition {
  return { era, revision };
}

function isFailure(result: { readonly kind: string }): result is SourceFailure {
  return result.kind === 'historyGone' || result.kind === 'unavailable';
}
