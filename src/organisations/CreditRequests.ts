import type { OrganisationId } from '../domain/index.js';
import { runInBackground, type Clock } from '../kernel/index.js';
import type { QuotaDecision } from './decisions/index.js';
import { getNewestTerms } from './getNewestTerms.js';
import type { IssuerLinks } from './IssuerLinks.js';
import { SUSPENSION_MS } from './IssuerSelector.js';
import { QUOTA_METHODS, type TakeCreditParams, type TakeCreditReply } from './messages.js';
import type { Quota } from './Organisation.js';
import type { QuotaFleet } from './QuotaFleet.js';
import type { ShareLender } from './ShareLender.js';

/**
 * Timeout of a request for credit, in milliseconds. Agents answer within a few milliseconds, but may be late by some 100 ms
 * after a start; giving up costs the router its share for the length of a lease.
 */
const TAKE_TIMEOUT_MS = 400;
/** Maximum number of requests in one call. */
const MAX_COSTS = 200;
/** Maximum number of requests of one organisation that wait for a call. */
const MAX_WAITING = 2_000;

/** Dependencies of {@link CreditRequests}. */
export interface CreditRequestsDependencies {
  readonly clock: Clock;
  /** ID of this router, the same after a restart. */
  readonly routerId: string;
  readonly links: IssuerLinks;
  readonly fleet: QuotaFleet;
  readonly lender: Pick<ShareLender, 'getShare' | 'recordSilence'>;
}

/** Request that waits for a call. */
interface WaitingTake {
  readonly cost: number;
  readonly resolve: (decision: QuotaDecision | undefined) => void;
}

/** Asks the issuer for the credit of one organisation's requests, and keeps the credit of those that were not sent yet. */
export class CreditRequests {
  /** Credit of the requests that were not sent yet. */
  private unsentCredit = 0;
  /** Cost of the requests in the call that is being made. */
  private asked = 0;
  private isCalling = false;
  private readonly waiting: WaitingTake[] = [];
  private spentCredit = 0;
  private answerReceivedAtMs = -Infinity;

  /**
   * @param deps - Dependencies.
   * @param organisationId - The organisation.
   * @param group - Number of the organisation's group.
   */
  constructor(
    private readonly deps: CreditRequestsDependencies,
    private readonly organisationId: OrganisationId,
    readonly group: number,
  ) {}

  /** Credit of the requests that were not sent yet, in the unit of the quota. */
  get unsent(): number {
    return this.unsentCredit;
  }

  /** The same with the cost of the requests in the call that is being made. */
  get unsentAndAsked(): number {
    return this.unsentCredit + this.asked;
  }

  /** What the issuer stated to be spent, in the unit of the quota. */
  get spent(): number {
    return this.spentCredit;
  }

  /** When the issuer stated it, in milliseconds; -Infinity before its first answer. */
  get answeredAtMs(): number {
    return this.answerReceivedAtMs;
  }

  /** Whether there are no requests, neither unsent nor waiting. */
  get isIdle(): boolean {
    return this.unsentCredit === 0 && !this.isCalling && this.waiting.length === 0;
  }

  /**
   * Changes the credit of the requests that were not sent yet; the result is at least 0.
   * @param change - What is added, in the unit of the quota.
   */
  changeUnsent(change: number): void {
    this.unsentCredit = Math.max(0, this.unsentCredit + change);
  }

  /**
   * Asks the issuer for the credit of one request; resolves with undefined if it does not decide.
   * @param quota - The request's quota.
   * @param cost - Cost of the request, in the unit of the quota.
   */
  ask(quota: Quota, cost: number): Promise<QuotaDecision | undefined> {
    if (this.waiting.length >= MAX_WAITING) {
      return Promise.resolve({ isGranted: false, retryInMs: SUSPENSION_MS });
    }
    return new Promise((resolve) => {
      this.waiting.push({ cost, resolve });
      if (!this.isCalling) {
        runInBackground('request for credit', () => this.callForWaiting(quota));
      }
    });
  }

  /** Asks for the credit of all waiting requests, with one call at a time. */
  private async callForWaiting(quota: Quota): Promise<void> {
    const { organisationId } = this;
    this.isCalling = true;
    try {
      while (this.waiting.length > 0) {
        const batch = this.waiting.splice(0, MAX_COSTS);
        const costs = batch.map(({ cost }) => cost);
        const { unsent } = this;
        const terms = { organisationId, ...getNewestTerms(this.deps.fleet, organisationId, quota) };
        this.asked = costs.reduce((sum, cost) => sum + cost, 0);
        const retriesInMs = await this.callIssuer({ ...terms, costs, unsent }).catch((error: unknown) => {
          for (const { resolve } of batch) {
            resolve(undefined);
          }
          throw error;
        });
        this.asked = 0;
        for (const [index, { cost, resolve }] of batch.entries()) {
          const retryInMs = retriesInMs?.[index];
          if (retryInMs === 0) {
            // Before the next call, which states the credit of unsent requests.
            this.changeUnsent(cost);
          }
          resolve(retryInMs === undefined ? undefined : toDecision(retryInMs));
        }
        if (!retriesInMs) {
          // The others have waited as long as this call.
          for (const { resolve } of this.waiting.splice(0)) {
            resolve(undefined);
          }
        }
      }
    } finally {
      this.asked = 0;
      this.isCalling = false;
      for (const { resolve } of this.waiting.splice(0)) {
        resolve(undefined);
      }
    }
  }

  /** Calls the issuer of the group; resolves with undefined if it does not decide, or too late. */
  private async callIssuer(
    request: Omit<TakeCreditParams, 'group' | 'routerId'>,
  ): Promise<readonly number[] | undefined> {
    const { clock, lender, links, routerId } = this.deps;
    const { group } = this;
    const { following } = lender.getShare(group);
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
        lender.recordSilence(group);
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
    this.spentCredit = Number.isFinite(result.value.spent) ? (result.value.spent ?? 0) : 0;
    this.answerReceivedAtMs = nowMs;
    return retriesInMs as readonly number[];
  }
}

function toDecision(retryInMs: number): QuotaDecision {
  return retryInMs === 0 ? { isGranted: true } : { isGranted: false, retryInMs };
}
