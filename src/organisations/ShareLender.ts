import type { OrganisationId } from '../domain/index.js';
import { delay, PeriodicTask, runInBackground, type Clock, type Service } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import {
  getQuotaGroup,
  IssuerFollowing,
  QUOTA_GROUP_COUNT,
  QUOTA_LEASE_MS,
  QuotaShare,
  ROUTER_COUNT_MEMORY_MS,
  type FollowingStep,
} from './decisions/index.js';
import type { IssuerLinks } from './IssuerLinks.js';
import { IssuerSelector } from './IssuerSelector.js';
import {
  QUOTA_METHODS,
  type GroupQuotas,
  type ReleaseShareParams,
  type ReleaseShareReply,
  type RenewShareParams,
  type RenewShareReply,
} from './messages.js';
import type { Organisation } from './Organisation.js';
import type { OrganisationDirectory } from './OrganisationDirectory.js';
import type { QuotaFleet } from './QuotaFleet.js';

/** Interval at which a router checks its issuers, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Timeout of a call that renews or withdraws a share, in milliseconds. */
const RENEW_TIMEOUT_MS = 500;
/** Time that a request waits while the share is on its way to an issuer, in milliseconds. */
const JOIN_WAIT_MS = 50;
/** Interval at which such a request checks whether the share has arrived, in milliseconds. */
const JOIN_POLL_MS = 5;
/** Time after such a wait in which no other request waits, in milliseconds. */
const JOIN_PAUSE_MS = 300;
/** Number of calls without an answer after which another issuer is used. */
const MAX_SILENCES = 2;

/** Dependencies of {@link ShareLender}. */
export interface ShareLenderDependencies {
  readonly clock: Clock;
  /** ID of this router, the same after a restart. */
  readonly routerId: string;
  readonly links: IssuerLinks;
  readonly fleet: QuotaFleet;
  /** Returns the credit of the requests that were not sent yet, by organisation of a group. */
  readonly listUnsent: (group: number) => RenewShareParams['unsent'];
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Share of the quotas of one group of organisations, and the issuer that has it. */
export interface LentShare {
  readonly following: IssuerFollowing;
  readonly share: QuotaShare;
}

/** State of one group of organisations. */
interface GroupState extends LentShare {
  /** Newest version of the quotas that the issuer knows. */
  issuerVersion: number;
  /** Resolves when the share has arrived at an issuer or the wait is over; undefined if no request waits for it. */
  arrival: Promise<void> | undefined;
  /** Time until which no request waits, since the last ones have waited in vain. */
  noWaitUntilMs: number;
}

/** Lends the router's shares of the quotas to issuers: renews them, and withdraws them before another issuer gets them. */
export class ShareLender implements Service {
  private readonly groups: readonly GroupState[];
  private readonly selector: IssuerSelector;
  private readonly checkTask: PeriodicTask;
  /** When the number of routers was first known. */
  private countKnownAtMs = Infinity;
  /** Organisations with a quota by group, as of a configuration. */
  private limited:
    | {
        readonly directory: OrganisationDirectory | undefined;
        readonly byGroup: readonly (readonly Organisation[])[];
      }
    | undefined;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: ShareLenderDependencies) {
    this.groups = Array.from({ length: QUOTA_GROUP_COUNT }, () => ({
      following: new IssuerFollowing(),
      share: new QuotaShare(),
      issuerVersion: -1,
      arrival: undefined,
      noWaitUntilMs: -Infinity,
    }));
    this.selector = new IssuerSelector(deps);
    this.checkTask = new PeriodicTask(deps.clock, CHECK_INTERVAL_MS, () => this.check());
  }

  /** Number of groups whose share is at an issuer. */
  get issuedGroupCount(): number {
    const nowMs = this.deps.clock.nowMs();
    return this.groups.filter(({ following }) => following.isMember(nowMs)).length;
  }

  start(): Promise<void> {
    this.checkTask.start();
    return Promise.resolve();
  }

  stop(): Promise<void> {
    this.checkTask.stop();
    return Promise.resolve();
  }

  /**
   * Returns the share of a group.
   * @param group - Number of the group.
   * @throws Error if there is no such group.
   */
  getShare(group: number): LentShare {
    return this.getGroup(group);
  }

  /**
   * Waits for a share that is on its way to an issuer, unless that failed a moment ago.
   * @param group - Number of the share's group.
   */
  async waitForShare(group: number): Promise<void> {
    const { clock, fleet } = this.deps;
    const state = this.getGroup(group);
    const nowMs = clock.nowMs();
    if (state.following.isMember(nowMs) || !fleet.hasAgents || nowMs < state.noWaitUntilMs) {
      return;
    }
    state.arrival ??= this.pollShare(state);
    await state.arrival;
  }

  /**
   * Records that the issuer of a group has not answered a request for credit.
   * @param group - Number of the group.
   */
  recordSilence(group: number): void {
    this.getGroup(group).following.recordSilence();
    this.check();
  }

  private async pollShare(state: GroupState): Promise<void> {
    const { clock } = this.deps;
    this.check();
    const endsAtMs = clock.nowMs() + JOIN_WAIT_MS;
    while (!state.following.isMember(clock.nowMs()) && clock.nowMs() < endsAtMs) {
      await delay(clock, JOIN_POLL_MS);
    }
    state.noWaitUntilMs = clock.nowMs() + JOIN_PAUSE_MS;
    state.arrival = undefined;
  }

  /** Renews the shares at the issuers or moves them, as far as it is due. */
  private check(): void {
    const { clock, fleet } = this.deps;
    const nowMs = clock.nowMs();
    if (this.countKnownAtMs === Infinity && fleet.getRouterCount(nowMs) !== undefined) {
      this.countKnownAtMs = nowMs;
    }
    for (const [group, state] of this.groups.entries()) {
      const { following, share } = state;
      const quotas = this.getQuotas(group);
      const hasQuotas = quotas.length > 0;
      if (!hasQuotas && following.issuer === undefined) {
        continue;
      }
      if (following.issuer !== undefined && following.silenceCount >= MAX_SILENCES) {
        this.selector.suspend(following.issuer, nowMs);
      }
      const preferred = hasQuotas ? this.selector.select(group, nowMs) : undefined;
      const before = following.issuer;
      const step = following.plan(preferred, nowMs);
      if (following.issuer !== before) {
        state.issuerVersion = -1;
        share.lendOut();
      }
      if (step.kind !== 'none') {
        runInBackground('share of the quotas', () => this.execute(step, group, state, quotas));
      }
    }
  }

  private async execute(
    step: Exclude<FollowingStep, { readonly kind: 'none' }>,
    group: number,
    state: GroupState,
    quotas: readonly Organisation[],
  ): Promise<void> {
    const { clock, links, routerId, fleet, listUnsent } = this.deps;
    const { issuer } = step;
    switch (step.kind) {
      case 'release': {
        const params: ReleaseShareParams = { group, routerId };
        const result = await links.call<ReleaseShareReply>(
          issuer,
          QUOTA_METHODS.release,
          params,
          RENEW_TIMEOUT_MS,
        );
        const isReleased = result.kind === 'answered' && result.value.isReleased;
        state.following.recordRelease(issuer, isReleased);
        if (isReleased) {
          this.check();
        }
        return;
      }
      case 'renew': {
        const nowMs = clock.nowMs();
        const params: RenewShareParams = {
          group,
          routerId,
          echo: step.echo,
          routerCount: fleet.getRouterCount(nowMs - ROUTER_COUNT_MEMORY_MS) ?? 1,
          isCountReliable: nowMs - this.countKnownAtMs >= QUOTA_LEASE_MS,
          unsent: listUnsent(group),
          quotas: step.echo ? this.getNewQuotas(state.issuerVersion, quotas) : undefined,
        };
        const result = await links.call<RenewShareReply>(
          issuer,
          QUOTA_METHODS.renew,
          params,
          RENEW_TIMEOUT_MS,
        );
        const reply = result.kind === 'answered' && isStamp(result.value) ? result.value : undefined;
        state.following.recordRenewal(issuer, reply, clock.nowMs());
        if (reply && issuer === state.following.issuer) {
          state.issuerVersion = reply.version;
        }
        if (reply && !step.echo) {
          this.check();
        }
      }
    }
  }

  private getNewQuotas(
    issuerVersion: number,
    organisations: readonly Organisation[],
  ): GroupQuotas | undefined {
    const { version } = this.deps.fleet;
    if (version === undefined || issuerVersion >= version) {
      return undefined;
    }
    const limits: (readonly [OrganisationId, number, number])[] = [];
    for (const { organisationId, quota } of organisations) {
      if (quota) {
        limits.push([organisationId, quota.ratePerSecond, quota.burst]);
      }
    }
    return { version, limits };
  }

  /** Returns the organisations with a quota in a group. */
  private getQuotas(group: number): readonly Organisation[] {
    const { organisations: directory } = this.deps.fleet;
    if (!this.limited || this.limited.directory !== directory) {
      const byGroup = this.groups.map((): Organisation[] => []);
      for (const organisation of directory?.organisations ?? []) {
        if (organisation.quota) {
          byGroup[getQuotaGroup(organisation.organisationId)]?.push(organisation);
        }
      }
      this.limited = { directory, byGroup };
    }
    return this.limited.byGroup[group] ?? [];
  }

  private getGroup(group: number): GroupState {
    const state = this.groups[group];
    if (!state) {
      throw new Error(`There is no group ${group} of organisations.`);
    }
    return state;
  }
}

function isStamp(value: unknown): value is RenewShareReply {
  const { issuerId, atMs, version } = Object(value) as Record<string, unknown>;
  return typeof issuerId === 'string' && Number.isFinite(atMs) && Number.isFinite(version);
}
