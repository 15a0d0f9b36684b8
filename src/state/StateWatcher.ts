import { delay, keepRunning, type Clock, type Random, type Service } from '../kernel/index.js';
import { ROUTER_METHODS, STATE_PREFIX } from '../domain/index.js';
import type { InstanceList, ObjectStore } from '../platform/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import type { PeerDialer } from '../transport/index.js';
import type { Membership, StateDelta, StateObject, StateStore } from './decisions/index.js';

/** Timeout of one long-polling watch, in milliseconds. */
const WATCH_TIMEOUT_MS = 30_000;
/** Initial delay after a failed watch, in milliseconds; doubled after each further failure. */
const FIRST_RETRY_MS = 200;
/** Maximum delay after a failed watch, in milliseconds. */
const MAX_RETRY_MS = 5_000;
/** Maximum time between two pulls from another router, in milliseconds; jittered down to half. */
const PULL_INTERVAL_MS = 2_000;

/** Dependencies of StateWatcher. */
export interface StateWatcherDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly instances: InstanceList;
  readonly state: StateStore;
  readonly membership: Membership;
  readonly dialer: PeerDialer;
  readonly seedAddresses: readonly string[];
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Keeps state and membership up to date from the platform, and from other routers to cover a platform outage. */
export class StateWatcher implements Service {
  private stopped = false;
  private platformUp = true;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: StateWatcherDependencies) {}

  /** Whether the last call to the platform succeeded. */
  get isPlatformUp(): boolean {
    return this.platformUp;
  }

  /** Reads state and membership once, then watches for changes. */
  async start(): Promise<void> {
    await Promise.all([this.readState(), this.readInstances(0)]);
    if (!this.platformUp) {
      await this.pull();
    }
    const { clock } = this.deps;
    keepRunning('watch of the state', clock, () => this.watchState());
    keepRunning('watch of the instances', clock, () => this.watchInstances());
    keepRunning('pull from other routers', clock, () => this.pullPeriodically());
  }

  stop(): Promise<void> {
    this.stopped = true;
    return Promise.resolve();
  }

  /**
   * Returns the changes for a pull by another router.
   * @param revision - Revision up to which the other router holds every change.
   */
  getDelta(revision: number): StateDelta {
    return this.deps.state.deltaSince(revision);
  }

  private async readState(): Promise<boolean> {
    const listing = await this.deps.store.list<unknown>(STATE_PREFIX);
    this.setPlatformUp(listing !== undefined);
    if (listing) {
      this.deps.state.applyDelta(listing as { objects: StateObject[]; revision: number });
    }
    return listing !== undefined;
  }

  private async watchState(): Promise<void> {
    let retryMs = FIRST_RETRY_MS;
    while (!this.stopped) {
      const since = this.deps.state.revision;
      const listing = await this.deps.store.watch<unknown>(STATE_PREFIX, since, WATCH_TIMEOUT_MS);
      this.setPlatformUp(listing !== undefined);
      if (listing) {
        this.deps.state.applyDelta(listing as { objects: StateObject[]; revision: number });
        retryMs = FIRST_RETRY_MS;
        continue;
      }
      await delay(this.deps.clock, this.deps.random.jitterMs(retryMs));
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  private async watchInstances(): Promise<void> {
    let retryMs = FIRST_RETRY_MS;
    while (!this.stopped) {
      if (await this.readInstances(WATCH_TIMEOUT_MS)) {
        retryMs = FIRST_RETRY_MS;
        continue;
      }
      await delay(this.deps.clock, this.deps.random.jitterMs(retryMs));
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  private async readInstances(timeoutMs: number): Promise<boolean> {
    const { membership, instances } = this.deps;
    const since = timeoutMs === 0 ? 0 : membership.revision;
    const listing = await instances.watch(since, timeoutMs);
    if (listing && listing.revision !== membership.revision) {
      membership.applyList(listing.instances, listing.revision);
    }
    return listing !== undefined;
  }

  private async pullPeriodically(): Promise<void> {
    while (!this.stopped) {
      await delay(this.deps.clock, this.deps.random.jitterMs(PULL_INTERVAL_MS));
      await this.pull();
    }
  }

  /** Pulls missing changes from one random other router. */
  private async pull(): Promise<void> {
    const addresses = this.getRouterAddresses();
    const address = addresses[this.deps.random.nextInt(Math.max(1, addresses.length))];
    if (address === undefined || this.stopped) {
      return;
    }
    try {
      const connection = await this.deps.dialer.connect(address);
      const params = {
        revision: this.deps.state.revision,
        wantsInstances: this.deps.membership.revision === 0,
      };
      const reply = await connection.call<PullReply>(ROUTER_METHODS.pullConfiguration, params);
      this.deps.metrics.count('state_pulled_objects', reply.delta.objects.length);
      this.deps.state.applyDelta(reply.delta);
      if (reply.instances && this.deps.membership.revision === 0) {
        this.deps.membership.applyList(reply.instances.list, reply.instances.revision);
      }
    } catch {
      this.deps.metrics.count('state_pulls_failed');
    }
  }

  private getRouterAddresses(): string[] {
    const addresses: string[] = [];
    for (const routerId of this.deps.membership.getRouterIds().slice(1)) {
      const instance = this.deps.membership.get(routerId);
      if (instance) {
        addresses.push(instance.peerAddress);
      }
    }
    return addresses.length > 0 ? addresses : [...this.deps.seedAddresses];
  }

  private setPlatformUp(isUp: boolean): void {
    if (isUp !== this.platformUp) {
      this.platformUp = isUp;
      this.deps.log.info(isUp ? 'platform reachable' : 'platform unreachable');
    }
  }
}

/** Reply to a pull. */
export interface PullReply {
  readonly delta: StateDelta;
  /** Instance list, when it was requested. */
  readonly instances?: { readonly list: Parameters<Membership['applyList']>[0]; readonly revision: number };
}
