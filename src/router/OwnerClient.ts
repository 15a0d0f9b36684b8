import type { Clock } from '../kernel/index.js';
import {
  ROUTER_METHODS,
  type AssignParams,
  type AssignReply,
  type ClaimParams,
  type ClaimReply,
  type OutcomeParams,
  type ReleaseParams,
  type RouterId,
} from '../domain/index.js';
import type { ClaimsService, SchedulerService } from '../home/index.js';
import type { PeerDialer } from '../transport/index.js';
import type { Membership } from '../state/index.js';

/** Homes that are tried for one question. */
const MAX_HOMES_TRIED = 3;

/** Finds the home of a model or of a claim, on this router or another, and asks it. */
export class OwnerClient {
  /**
   * @param selfId - This router.
   * @param clock - Source of time.
   * @param membership - Routers there are.
   * @param dialer - Reaches other routers.
   * @param homes - Homes on this router.
   * @param claims - Claims on this router.
   */
  constructor(
    private readonly selfId: RouterId,
    private readonly clock: Clock,
    private readonly membership: Membership,
    private readonly dialer: PeerDialer,
    private readonly homes: SchedulerService,
    private readonly claims: ClaimsService,
  ) {}

  /**
   * Asks the model's home for a server; the reply names the home that gave it.
   * @param params - The request.
   */
  async assign(params: AssignParams): Promise<{ readonly homeId: RouterId; readonly reply: AssignReply }> {
    const askedAtMs = this.clock.nowMs();
    for (const homeId of this.candidates(params.modelId)) {
      const remainingMs = params.remainingMs - (this.clock.nowMs() - askedAtMs);
      const reply = await this.ask<AssignReply>(
        homeId,
        ROUTER_METHODS.assign,
        { ...params, remainingMs },
        () => this.homes.assign({ ...params, remainingMs }),
      );
      if (reply && !(reply.kind === 'refused' && reply.reason === 'routerStopping')) {
        return { homeId, reply };
      }
    }
    const detail = 'No router can be reached that is the home of the model.';
    return {
      homeId: this.selfId,
      reply: { kind: 'refused', reason: 'noServer', detail, retryAfterMs: 1_000 },
    };
  }

  /**
   * Tells the home that a request was given up.
   * @param homeId - Home that was asked; undefined while it is being asked.
   * @param params - The request.
   */
  abandon(
    homeId: RouterId | undefined,
    params: { readonly requestId: string; readonly modelId: string },
  ): void {
    const target = homeId ?? this.candidates(params.modelId)[0];
    if (target !== undefined) {
      this.tell(target, ROUTER_METHODS.abandon, params, () => this.homes.abandon(params));
    }
  }

  /**
   * Tells the home that an assigned request ended.
   * @param homeId - Home that assigned it.
   * @param params - How it ended.
   */
  release(homeId: RouterId, params: ReleaseParams): void {
    this.tell(homeId, ROUTER_METHODS.release, params, () => this.homes.release(params));
  }

  /** @param params - Claim to ask for. */
  async claim(params: ClaimParams): Promise<ClaimReply> {
    for (const homeId of this.candidates(params.claimShard)) {
      const reply = await this.ask<ClaimReply>(homeId, ROUTER_METHODS.claim, params, () =>
        this.claims.claim(params),
      );
      if (reply) {
        return reply;
      }
    }
    return { kind: 'unavailable' };
  }

  /** @param params - Outcome to keep; false when it could not be kept. */
  async recordOutcome(params: OutcomeParams): Promise<boolean> {
    for (const homeId of this.candidates(params.claimShard)) {
      const recorded = await this.ask<boolean>(homeId, ROUTER_METHODS.recordOutcome, params, () =>
        this.claims.recordOutcome(params),
      );
      if (recorded) {
        return true;
      }
    }
    return false;
  }

  private candidates(key: string): RouterId[] {
    return this.membership.rankOwners(key, this.clock.nowMs()).slice(0, MAX_HOMES_TRIED);
  }

  private async ask<T>(
    homeId: RouterId,
    method: string,
    params: unknown,
    askSelf: () => Promise<T>,
  ): Promise<T | undefined> {
    if (homeId === this.selfId) {
      return askSelf();
    }
    try {
      const connection = await this.dialer.connect(this.membership.get(homeId)?.peerAddress ?? '');
      return await connection.call<T>(method, params);
    } catch {
      this.membership.markSuspect(homeId, this.clock.nowMs());
      return undefined;
    }
  }

  private tell(homeId: RouterId, method: string, params: unknown, tellSelf: () => void): void {
    if (homeId === this.selfId) {
      tellSelf();
      return;
    }
    this.dialer.connect(this.membership.get(homeId)?.peerAddress ?? '').then(
      (connection) => connection.notify(method, params),
      () => this.membership.markSuspect(homeId, this.clock.nowMs()),
    );
  }
}
