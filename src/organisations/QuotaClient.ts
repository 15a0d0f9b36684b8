import { findFirstForKey } from '../kernel/rendezvous.js';
import type { OrganisationId } from '../domain/index.js';
import { delay, PeriodicTask, runInBackground, type Clock, type Service } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import {
  getBucketLimits,
  getQuotaGroup,
  IssuerFollowing,
  QUOTA_GROUP_COUNT,
  QuotaShare,
  QUOTA_LEASE_MS,
  ROUTER_COUNT_MEMORY_MS,
  type FollowingStep,
  type QuotaDecision,
  type QuotaTerms,
} from './decisions/index.js';
import {
  QUOTA_METHODS,
  type GiveBackParams,
  type GroupQuotas,
  type ReleaseShareParams,
  type ReleaseShareReply,
  type RenewShareParams,
  type RenewShareReply,
  type TakeCreditParams,
  type TakeCreditReply,
} from './messages.js';
import type { Organisation, Quota, QuotaTolerance } from './Organisation.js';
import { OrganisationCounters } from './OrganisationCounters.js';
import type { OrganisationDirectory } from './OrganisationDirectory.js';

/** Interval at which a router checks its issuers, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Timeout of a call that renews or withdraws a share, in milliseconds. */
const RENEW_TIMEOUT_MS = 500;
/**
 * Timeout of a request for credit, in milliseconds. Agents answer within a few milliseconds, but may be late by some 100 ms
 * after a start; giving up costs the router its share for the length of a lease.
 */
const TAKE_TIMEOUT_MS = 400;
/** Time that a request waits while the share is on its way to an issuer, in milliseconds. */
const JOIN_WAIT_MS = 50;
/** Interval at which such a request checks whether the share has arrived, in milliseconds. */
const JOIN_POLL_MS = 5;
/** Time after such a wait in which no other request waits, in milliseconds. */
const JOIN_PAUSE_MS = 300;
/** Number of calls without an answer after which another issuer is used. */
const MAX_SILENCES = 2;
/** Time for which an issuer that does not answer is not used, in milliseconds. */
const SUSPENSION_MS = 2_000;
/** Maximum number of suspended issuers. */
const MAX_SUSPENDED = 100;
/** Number of issuers in the order of a group that are considered. */
const MAX_CANDIDATES = 8;
/** Maximum number of requests in one call. */
const MAX_COSTS = 200;
/** Maximum number of requests of one organisation that wait for a call. */
const MAX_WAITING = 2_000;
/** Number of routers assumed where the configuration has no engines, whose agents would count them. */
const ASSUMED_ROUTER_COUNT = 24;

/** Result of a call of an agent's method. */
type IssuerCallResult<T> =
  | { readonly kind: 'answered'; readonly value: T }
  | { readonly kind: 'silent' }
  | { readonly kind: 'unsupported' };

/** Connections to the agents that issue credit. */
export interface IssuerLinks {
  call<T>(address: string, method: string, params: object, timeoutMs: number): Promise<IssuerCallResult<T>>;
  notify(address: string, method: string, params: object): void;
  isInTouch(address: string, method: string): boolean;
}

/** What a router knows of the fleet as far as it concerns quotas. */
export interface QuotaFleet {
  /** Number that changes with the listed engines. */
  readonly changeCount: number;
  /** Version of the configuration; undefined before the first one. */
  readonly version: number | undefined;
  readonly organisations: OrganisationDirectory | undefined;
  /** Whether the configuration has engines, each with an agent. */
  readonly hasAgents: boolean;
  /** Addresses of the listed engines. */
  getIssuers(): Iterable<string>;
  /** Returns the largest number of routers known since a time, in milliseconds; undefined if none is known. */
  getRouterCount(sinceMs: number): number | undefined;
}

/** Dependencies of {@link QuotaClient}. */
export interface QuotaClientDependencies {
  readonly clock: Clock;
  /** ID of this router, the same after a restart. */
  readonly routerId: string;
  readonly links: IssuerLinks;
  readonly fleet: QuotaFleet;
  readonly getTolerance: () => QuotaTolerance;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** State of one group of organisations. */
interface GroupState {
  readonly following: IssuerFollowing;
  readonly share: QuotaShare;
  /** Newest version of the quotas that the issuer knows. */
  issuerVersion: number;
  /** Resolves when the share has arrived at an issuer or the wait is over; undefined if no request waits for it. */
  arrival: Promise<void> | undefined;
  /** Time until which no request waits, since the last ones have waited in vain. */
  noWaitUntilMs: number;
}

/** Request that waits for a call. */
interface WaitingTake {
  readonly cost: number;
  readonly resolve: (decision: QuotaDecision | undefined) => void;
}

/** State of one organisation. */
interface OrganisationState {
  readonly group: number;
  /** Credit of the requests that were not sent yet. */
  unsent: number;
  /** Cost of the requests in the call that is being made. */
  asked: number;
  isCalling: boolean;
  readonly waiting: WaitingTake[];
  /** What the issuer stated to be spent, and when; shown in the log. */
  spent: number;
  answeredAtMs: number;
}

const GRANTED: QuotaDecision = { isGranted: true };

/**
 * Obtains the credit for the requests of organisations that have a quota over all routers. An agent issues it; the router
 * lends its share of the quotas to that agent and takes it back before another one gets it. Without an agent, it keeps to
 * its equal share.
 */
export class QuotaClient implements Service {
  private readonly groups: readonly GroupState[];
  private readonly states = new Map<OrganisationId, OrganisationState>();
  private readonly suspendedUntilMs = new Map<string, number>();
  private readonly counters: OrganisationCounters;
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
  /** Issuers of each group in their order, as of a change count of the fleet. */
  private candidates:
    { readonly changeCount: number; readonly byGroup: readonly (readonly string[])[] } | undefined;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: QuotaClientDependencies) {
    this.groups = Array.from({ length: QUOTA_GROUP_COUNT }, () => ({
      following: new IssuerFollowing(),
      share: new QuotaShare(),
      issuerVersion: -1,
      arrival: undefined,
      noWaitUntilMs: -Infinity,
    }));
    this.counters = new OrganisationCounters(deps.metrics);
    this.checkTask = new PeriodicTask(deps.clock, CHECK_INTERVAL_MS, () => this.check());
    deps.metrics.gauge('quota_groups_with_issuer', () => this.issuedGroupCount);
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
   * Takes the credit for one request, within about half a second.
   * @param organisation - The request's organisation.
   * @param cost - Cost of the request, in the unit of the quota.
   * @param requestId - ID of the request, for the log.
   */
  async take(organisation: Organisation, cost: number, requestId: string): Promise<QuotaDecision> {
    const { organisationId, quota } = organisation;
    if (!quota) {
      return GRANTED;
    }
    const state = this.getState(organisationId);
    const { group } = state;
    const groupState = this.getGroup(group);
    const { following } = groupState;
    await this.waitForShare(groupState);
    const { clock } = this.deps;
    const { issuer } = following;
    const issued = following.isMember(clock.nowMs())
      ? await this.askIssuer(organisation, quota, group, state, cost)
      : undefined;
    const decision = issued ?? this.takeShare(organisationId, quota, group, state, cost);
    state.unsent += !issued && decision.isGranted ? cost : 0;
    this.counters.count(decision.isGranted ? 'quota_granted' : 'quota_refused', organisationId);
    if (!decision.isGranted) {
      const ageMs = clock.nowMs() - state.answeredAtMs;
      this.deps.log.decision('quota exceeded', {
        requestId,
        organisationId,
        unit: quota.unit,
        ratePerSecond: quota.ratePerSecond,
        burst: quota.burst,
        cost,
        spent: state.spent,
        knowledgeAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
        issuer: issued ? (issuer ?? '') : 'share',
        retryInMs: Math.round(decision.retryInMs),
      });
    }
    return decision;
  }

  /**
   * Returns the credit of a request that did not run.
   * @param organisation - The request's organisation.
   * @param cost - Cost of the request.
   */
  giveBack({ organisationId, quota }: Organisation, cost: number): void {
    if (!quota) {
      return;
    }
    const { clock, links, routerId } = this.deps;
    const state = this.getState(organisationId);
    state.unsent = Math.max(0, state.unsent - cost);
    const { group } = state;
    const { following, share } = this.getGroup(group);
    if (following.issuer === undefined) {
      share.giveBack(organisationId, cost);
    } else if (following.isMember(clock.nowMs())) {
      const params: GiveBackParams = { group, routerId, organisationId, cost };
      links.notify(following.issuer, QUOTA_METHODS.giveBack, params);
    }
  }

  /**
   * Changes the credit of requests that were not sent yet.
   * @param organisation - The requests' organisation.
   * @param change - Negative for a request that is sent, positive for one that proved not to have run.
   */
  changeUnsent({ organisationId }: Organisation, change: number): void {
    const state = this.getState(organisationId);
    state.unsent = Math.max(0, state.unsent + change);
  }

  /**
   * Whether a limit was lowered and this router's unsent requests have more credit than its share of the lower one allows.
   * They could be sent together once a server is there.
   * @param organisation - The requests' organisation, as of the version at which their credit was taken.
   */
  isUnsentExcessive({ organisationId, quota }: Organisation): boolean {
    const newest = this.deps.fleet.organisations?.find(organisationId)?.quota;
    if (!quota || !newest || (newest.ratePerSecond >= quota.ratePerSecond && newest.burst >= quota.burst)) {
      return false;
    }
    const { maxUnsent } = getBucketLimits(newest, this.deps.getTolerance());
    return this.getState(organisationId).unsent * (this.getRouterCount() ?? Infinity) > maxUnsent;
  }

  /** Waits for a share that is on its way to an issuer, unless that failed a moment ago. */
  private async waitForShare(state: GroupState): Promise<void> {
    const { clock, fleet } = this.deps;
    const nowMs = clock.nowMs();
    if (state.following.isMember(nowMs) || !fleet.hasAgents || nowMs < state.noWaitUntilMs) {
      return;
    }
    state.arrival ??= this.pollShare(state);
    await state.arrival;
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

  /** Asks the issuer for credit; resolves with undefined if it does not decide. */
  private askIssuer(
    organisation: Organisation,
    quota: Quota,
    group: number,
    state: OrganisationState,
    cost: number,
  ): Promise<QuotaDecision | undefined> {
    if (state.waiting.length >= MAX_WAITING) {
      return Promise.resolve({ isGranted: false, retryInMs: SUSPENSION_MS });
    }
    return new Promise((resolve) => {
      state.waiting.push({ cost, resolve });
      if (!state.isCalling) {
        runInBackground('request for credit', () => this.callForWaiting(organisation, quota, group, state));
      }
    });
  }

  /** Asks for the credit of all waiting requests of an organisation, with one call at a time. */
  private async callForWaiting(
    { organisationId }: Organisation,
    quota: Quota,
    group: number,
    state: OrganisationState,
  ): Promise<void> {
    state.isCalling = true;
    try {
      while (state.waiting.length > 0) {
        const batch = state.waiting.splice(0, MAX_COSTS);
        const costs = batch.map(({ cost }) => cost);
        const { unsent } = state;
        const terms = { organisationId, ...this.getTerms(organisationId, quota) };
        state.asked = costs.reduce((sum, cost) => sum + cost, 0);
        const retriesInMs = await this.callIssuer(group, { ...terms, costs, unsent }, state).catch(
          (error: unknown) => {
            for (const { resolve } of batch) {
              resolve(undefined);
            }
            throw error;
          },
        );
        state.asked = 0;
        for (const [index, { cost, resolve }] of batch.entries()) {
          const retryInMs = retriesInMs?.[index];
          if (retryInMs === 0) {
            // Before the next call, which states the credit of unsent requests.
            state.unsent += cost;
          }
          resolve(retryInMs === undefined ? undefined : toDecision(retryInMs));
        }
        if (!retriesInMs) {
          // The others have waited as long as this call.
          for (const { resolve } of state.waiting.splice(0)) {
            resolve(undefined);
          }
        }
      }
    } finally {
      state.asked = 0;
      state.isCalling = false;
      for (const { resolve } of state.waiting.splice(0)) {
        resolve(undefined);
      }
    }
  }

  /** Calls the issuer of a group; resolves with undefined if it does not decide, or too late. */
  private async callIssuer(
    group: number,
    request: Omit<TakeCreditParams, 'group' | 'routerId'>,
    state: OrganisationState,
  ): Promise<readonly number[] | undefined> {
    const { clock, links, routerId } = this.deps;
    const { following } = this.getGroup(group);
    const { issuer } = following;
    const askedAtMs = clock.nowMs();
    if (issuer === undefined || !following.isMember(askedAtMs)) {
      return undefined;
    }
    const params: TakeCreditParams = { group, routerId, ...request };
    const result = await links.call<TakeCreditReply>(issuer, QUOTA_METHODS.take, params, TAKE_TIMEOUT_MS);
    const nowMs = clock.nowMs();
    if (result.kind !== 'answered') {
      if (issuer === following.issuer) {
        following.recordSilence();
        this.check();
      }
      return undefined;
    }
    const retriesInMs: unknown = Object(result.value).retriesInMs;
    const isDecided =
      Array.isArray(retriesInMs) &&
      retriesInMs.length === request.costs.length &&
      retriesInMs.every((retryInMs) => Number.isFinite(retryInMs) && retryInMs >= 0);
    // A process that was frozen may receive its answer when the share is elsewhere.
    const isCurrent =
      issuer === following.issuer && following.isMember(nowMs) && nowMs - askedAtMs <= 2 * TAKE_TIMEOUT_MS;
    if (!isDecided || !isCurrent) {
      return undefined;
    }
    state.spent = Number.isFinite(result.value.spent) ? (result.value.spent ?? 0) : 0;
    state.answeredAtMs = nowMs;
    return retriesInMs as readonly number[];
  }

  private takeShare(
    organisationId: OrganisationId,
    quota: Quota,
    group: number,
    state: OrganisationState,
    cost: number,
  ): QuotaDecision {
    const { clock, getTolerance } = this.deps;
    const { following, share } = this.getGroup(group);
    const nowMs = clock.nowMs();
    const limits = getBucketLimits(this.getTerms(organisationId, quota), getTolerance());
    const isOwn = following.issuer === undefined;
    return share.take(organisationId, limits, this.getRouterCount(), isOwn, state.unsent, cost, nowMs);
  }

  /** Number of routers that share a quota; undefined before an agent has reported it. */
  private getRouterCount(): number | undefined {
    const { clock, fleet } = this.deps;
    const known = fleet.getRouterCount(clock.nowMs() - ROUTER_COUNT_MEMORY_MS);
    return known ?? (fleet.hasAgents ? undefined : ASSUMED_ROUTER_COUNT);
  }

  /** Renews the shares at the issuers or moves them, as far as it is due. */
  private check(): void {
    const { clock, fleet, links } = this.deps;
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
        this.suspend(following.issuer, nowMs);
      }
      const isUsable = (address: string) =>
        links.isInTouch(address, QUOTA_METHODS.renew) && (this.suspendedUntilMs.get(address) ?? 0) <= nowMs;
      const preferred = hasQuotas
        ? this.getCandidates(fleet, group).find((address) => isUsable(address))
        : undefined;
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
    const { clock, links, routerId, fleet } = this.deps;
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
          unsent: this.listUnsent(group),
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

  private listUnsent(group: number): (readonly [OrganisationId, number])[] {
    const unsent: (readonly [OrganisationId, number])[] = [];
    for (const [organisationId, state] of this.states) {
      const amount = state.unsent + state.asked;
      if (amount > 0 && state.group === group) {
        unsent.push([organisationId, amount]);
      }
    }
    return unsent;
  }

  /** Returns the newest quota of an organisation; that of a request may be from an earlier version of the configuration. */
  private getTerms(organisationId: OrganisationId, { ratePerSecond, burst }: Quota): QuotaTerms {
    const { version = -1, organisations } = this.deps.fleet;
    const newest = organisations?.find(organisationId)?.quota;
    return newest
      ? { version, ratePerSecond: newest.ratePerSecond, burst: newest.burst }
      : { version: -1, ratePerSecond, burst };
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

  private getCandidates(fleet: QuotaFleet, group: number): readonly string[] {
    if (this.candidates?.changeCount !== fleet.changeCount) {
      const issuers = [...new Set(fleet.getIssuers())];
      const byGroup = this.groups.map((_, index) =>
        findFirstForKey(`quotas ${index}`, issuers, MAX_CANDIDATES),
      );
      this.candidates = { changeCount: fleet.changeCount, byGroup };
    }
    return this.candidates.byGroup[group] ?? [];
  }

  private suspend(issuer: string, nowMs: number): void {
    if ((this.suspendedUntilMs.get(issuer) ?? 0) > nowMs) {
      return;
    }
    for (const [address, untilMs] of this.suspendedUntilMs) {
      if (untilMs <= nowMs || this.suspendedUntilMs.size >= MAX_SUSPENDED) {
        this.suspendedUntilMs.delete(address);
      }
    }
    this.suspendedUntilMs.set(issuer, nowMs + SUSPENSION_MS);
    this.deps.metrics.count('quota_issuers_suspended');
    this.deps.log.warn('issuer of quotas does not answer', { issuer });
  }

  private getGroup(group: number): GroupState {
    const state = this.groups[group];
    if (!state) {
      throw new Error(`There is no group ${group} of organisations.`);
    }
    return state;
  }

  private getState(organisationId: OrganisationId): OrganisationState {
    let state = this.states.get(organisationId);
    if (!state) {
      this.forgetRemoved();
      state = {
        group: getQuotaGroup(organisationId),
        unsent: 0,
        asked: 0,
        isCalling: false,
        waiting: [],
        spent: 0,
        answeredAtMs: -Infinity,
      };
      this.states.set(organisationId, state);
    }
    return state;
  }

  /** Forgets organisations that the configuration no longer has and that have no requests. */
  private forgetRemoved(): void {
    const directory = this.deps.fleet.organisations;
    for (const [organisationId, { unsent, isCalling, waiting }] of this.states) {
      if (!directory?.find(organisationId) && unsent === 0 && !isCalling && waiting.length === 0) {
        this.states.delete(organisationId);
      }
    }
  }
}

function toDecision(retryInMs: number): QuotaDecision {
  return retryInMs === 0 ? GRANTED : { isGranted: false, retryInMs };
}

function isStamp(value: unknown): value is RenewShareReply {
  const { issuerId, atMs, version } = Object(value) as Record<string, unknown>;
  return typeof issuerId === 'string' && Number.isFinite(atMs) && Number.isFinite(version);
}
