import type { OrganisationId } from '../domain/index.js';
import type { Clock, Service } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import { CreditRequests } from './CreditRequests.js';
import {
  getBucketLimits,
  getQuotaGroup,
  ROUTER_COUNT_MEMORY_MS,
  type QuotaDecision,
} from './decisions/index.js';
import { getNewestTerms } from './getNewestTerms.js';
import type { IssuerLinks } from './IssuerLinks.js';
import { QUOTA_METHODS, type GiveBackParams } from './messages.js';
import type { Organisation, Quota, QuotaTolerance } from './Organisation.js';
import { OrganisationCounters } from './OrganisationCounters.js';
import type { QuotaFleet } from './QuotaFleet.js';
import { ShareLender } from './ShareLender.js';

/** Number of routers assumed where the configuration has no engines, whose agents would count them. */
const ASSUMED_ROUTER_COUNT = 24;

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

const GRANTED: QuotaDecision = { isGranted: true };

/**
 * Obtains the credit for the requests of organisations that have a quota over all routers. An agent issues it; the router
 * lends its share of the quotas to that agent and takes it back before another one gets it. Without an agent, it keeps to
 * its equal share.
 */
export class QuotaClient implements Service {
  private readonly lender: ShareLender;
  private readonly requests = new Map<OrganisationId, CreditRequests>();
  private readonly counters: OrganisationCounters;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: QuotaClientDependencies) {
    this.lender = new ShareLender({ ...deps, listUnsent: (group) => this.listUnsent(group) });
    this.counters = new OrganisationCounters(deps.metrics);
    deps.metrics.gauge('quota_groups_with_issuer', () => this.issuedGroupCount);
  }

  /** Number of groups whose share is at an issuer. */
  get issuedGroupCount(): number {
    return this.lender.issuedGroupCount;
  }

  start(): Promise<void> {
    return this.lender.start();
  }

  stop(): Promise<void> {
    return this.lender.stop();
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
    const requests = this.getRequests(organisationId);
    const { group } = requests;
    const { following } = this.lender.getShare(group);
    await this.lender.waitForShare(group);
    const { clock } = this.deps;
    const { issuer } = following;
    const issued = following.isMember(clock.nowMs()) ? await requests.ask(quota, cost) : undefined;
    const decision = issued ?? this.takeShare(organisationId, quota, requests, cost);
    if (!issued && decision.isGranted) {
      requests.changeUnsent(cost);
    }
    this.counters.count(decision.isGranted ? 'quota_granted' : 'quota_refused', organisationId);
    if (!decision.isGranted) {
      const ageMs = clock.nowMs() - requests.answeredAtMs;
      this.deps.log.decision('quota exceeded', {
        requestId,
        organisationId,
        unit: quota.unit,
        ratePerSecond: quota.ratePerSecond,
        burst: quota.burst,
        cost,
        spent: requests.spent,
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
    const requests = this.getRequests(organisationId);
    requests.changeUnsent(-cost);
    const { group } = requests;
    const { following, share } = this.lender.getShare(group);
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
    this.getRequests(organisationId).changeUnsent(change);
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
    return this.getRequests(organisationId).unsent * (this.getRouterCount() ?? Infinity) > maxUnsent;
  }

  private takeShare(
    organisationId: OrganisationId,
    quota: Quota,
    { group, unsent }: CreditRequests,
    cost: number,
  ): QuotaDecision {
    const { clock, fleet, getTolerance } = this.deps;
    const { following, share } = this.lender.getShare(group);
    const nowMs = clock.nowMs();
    const limits = getBucketLimits(getNewestTerms(fleet, organisationId, quota), getTolerance());
    const isOwn = following.issuer === undefined;
    return share.take(organisationId, limits, this.getRouterCount(), isOwn, unsent, cost, nowMs);
  }

  /** Number of routers that share a quota; undefined before an agent has reported it. */
  private getRouterCount(): number | undefined {
    const { clock, fleet } = this.deps;
    const known = fleet.getRouterCount(clock.nowMs() - ROUTER_COUNT_MEMORY_MS);
    return known ?? (fleet.hasAgents ? undefined : ASSUMED_ROUTER_COUNT);
  }

  private listUnsent(group: number): (readonly [OrganisationId, number])[] {
    const unsent: (readonly [OrganisationId, number])[] = [];
    for (const [organisationId, requests] of this.requests) {
      const amount = requests.unsentAndAsked;
      if (amount > 0 && requests.group === group) {
        unsent.push([organisationId, amount]);
      }
    }
    return unsent;
  }

  private getRequests(organisationId: OrganisationId): CreditRequests {
    let requests = this.requests.get(organisationId);
    if (!requests) {
      this.forgetRemoved();
      const deps = { ...this.deps, lender: this.lender };
      requests = new CreditRequests(deps, organisationId, getQuotaGroup(organisationId));
      this.requests.set(organisationId, requests);
    }
    return requests;
  }

  /** Forgets organisations that the configuration no longer has and that have no requests. */
  private forgetRemoved(): void {
    const directory = this.deps.fleet.organisations;
    for (const [organisationId, requests] of this.requests) {
      if (!directory?.find(organisationId) && requests.isIdle) {
        this.requests.delete(organisationId);
      }
    }
  }
}
