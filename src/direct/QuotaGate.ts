import type { ServerResponse } from 'node:http';
import { runInBackground } from '../kernel/index.js';
import {
  getRequestCost,
  QuotaCredit,
  type CallerAccess,
  type Organisation,
  type QuotaClient,
} from '../organisations/index.js';
import type { CallerRequest } from './CallerRequest.js';
import type { RequestRefusal } from './RequestResolver.js';

/** Time after which a caller may return whose request is refused without a decision of an issuer, in milliseconds. */
const UNDECIDED_RETRY_MS = 1_000;
/** Refusal after an unexpected error. */
const UNDECIDED: RequestRefusal = {
  kind: 'refused',
  status: 503,
  detail: 'the quota of the organisation cannot be checked',
  retryAfterMs: UNDECIDED_RETRY_MS,
};

/** Source of the credit. */
export type QuotaSource = Pick<QuotaClient, 'take' | 'giveBack' | 'changeUnsent' | 'isUnsentExcessive'>;

/** What happens to a request at the gate. */
export interface GateOutcomes {
  /** Returns why a request is refused that has waited for its credit; undefined if it may go on. */
  readonly findRefusal: (request: CallerRequest) => RequestRefusal | undefined;
  readonly refuse: (refusal: RequestRefusal) => void;
  readonly forward: (request: CallerRequest) => void;
}

/** Admits requests of organisations with a quota once their credit is granted, and returns the credit of those that did not run. */
export class QuotaGate {
  private waiting = 0;

  /** @param quotas - Source of the credit. */
  constructor(private readonly quotas: QuotaSource) {}

  /** Number of requests that wait for their credit. */
  get waitingCount(): number {
    return this.waiting;
  }

  /**
   * Forwards or refuses a request; at once if its organisation has no quota. A request whose caller has left in the
   * meantime is neither forwarded nor refused.
   * @param request - The request.
   * @param response - Response to its caller.
   * @param outcomes - What happens to the request.
   */
  admit(request: CallerRequest, response: ServerResponse, outcomes: GateOutcomes): void {
    const { access } = request;
    if (access.kind !== 'organisation' || !access.organisation.quota) {
      outcomes.forward(request);
      return;
    }
    const { organisation } = access;
    const { promptTokens, maxOutputTokens } = request.headers;
    const cost = getRequestCost(access.organisation.quota, promptTokens + maxOutputTokens);
    runInBackground('credit of a request', () =>
      this.decide(request, organisation, cost, response, outcomes),
    );
  }

  /**
   * Returns why a request that no server has is refused since its organisation's limit was lowered; undefined if it may go on.
   * @param access - What the request's key gives access to.
   */
  findRefusal(access: CallerAccess): RequestRefusal | undefined {
    if (access.kind !== 'organisation' || !this.quotas.isUnsentExcessive(access.organisation)) {
      return undefined;
    }
    const detail = 'the quota of the organisation was lowered';
    return { kind: 'refused', status: 429, detail, retryAfterMs: UNDECIDED_RETRY_MS };
  }

  private async decide(
    request: CallerRequest,
    organisation: Organisation,
    cost: number,
    response: ServerResponse,
    { findRefusal, refuse, forward }: GateOutcomes,
  ): Promise<void> {
    this.waiting++;
    const decision = await this.quotas
      .take(organisation, cost, request.headers.requestId)
      .catch((error: unknown) => {
        refuse(UNDECIDED);
        throw error;
      })
      .finally(() => this.waiting--);
    const hasLeft = response.destroyed || response.closed;
    if (!decision.isGranted) {
      if (!hasLeft) {
        const detail = 'the organisation has used its quota';
        refuse({ kind: 'refused', status: 429, detail, retryAfterMs: decision.retryInMs });
      }
      return;
    }
    const credit = new QuotaCredit(this.quotas, organisation, cost);
    const refusal = hasLeft ? undefined : findRefusal(request);
    if (hasLeft || refusal) {
      credit.end();
    } else {
      response.once('close', () => credit.end());
      forward({ ...request, credit });
    }
    if (refusal) {
      refuse(refusal);
    }
  }
}
