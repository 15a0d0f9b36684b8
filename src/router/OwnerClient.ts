import type { Clock } from '../kernel/index.js';
import {
  ROUTER_METHODS,
  type AssignParams,
  type AssignReply,
  type ClaimParams,
  type ClaimReply,
  type OtherServerParams,
  type OutcomeParams,
  type ReleaseParams,
  type RouterId,
} from '../domain/index.js';
import type { ClaimsService, SchedulerService } from '../home/index.js';
import type { PeerDialer } from '../transport/index.js';
import type { Membership } from '../state/index.js';

/** Maximum number of owner routers tried per call. */
const MAX_OWNERS_TRIED = 3;

/** Calls the router that owns a model or a claim shard, which may be this one. */
export class OwnerClient {
  /**
   * @param selfId - Id of this router.
   * @param clock - Source of time.
   * @param membership - Instances of the fleet, which determine the owners.
   * @param dialer - Connects to other routers.
   * @param scheduler - Schedulers of the models owned by this router.
   * @param claims - Claims owned by this router.
   */
  constructor(
    private readonly selfId: RouterId,
    private readonly clock: Clock,
    private readonly membership: Membership,
    private readonly dialer: PeerDialer,
    private readonly scheduler: SchedulerService,
    private readonly claims: ClaimsService,
  ) {}

  /**
   * Requests a server from the router that owns the model; returns its reply and its id.
   * @param params - Request to assign.
   */
  async assign(params: AssignParams): Promise<{ readonly ownerId: RouterId; readonly reply: AssignReply }> {
    const startedAtMs = this.clock.nowMs();
    for (const ownerId of this.candidates(params.modelId)) {
      const remainingMs = params.remainingMs - (this.clock.nowMs() - startedAtMs);
      const reply = await this.call<AssignReply>(
        ownerId,
        ROUTER_METHODS.assign,
        { ...params, remainingMs },
        () => this.scheduler.assign({ ...params, remainingMs }),
      );
      if (reply && !(reply.kind === 'refused' && reply.reason === 'routerStopping')) {
        return { ownerId, reply };
      }
    }
    const detail = 'No router can be reached that is the home of the model.';
    return {
      ownerId: this.selfId,
      reply: { kind: 'refused', reason: 'noServer', detail, retryAfterMs: 1_000 },
    };
  }

  /**
   * Notifies the owner that a request was abandoned.
   * @param ownerId - Router that assigned the request; undefined while the assignment is pending.
   * @param params - Abandoned request.
   */
  abandon(
    ownerId: RouterId | undefined,
    params: { readonly requestId: string; readonly modelId: string },
  ): void {
    const target = ownerId ?? this.candidates(params.modelId)[0];
    if (target !== undefined) {
      this.notify(target, ROUTER_METHODS.abandon, params, () => this.scheduler.abandon(params));
    }
  }

  /**
   * Notifies the owner that an assigned request ended.
   * @param ownerId - Router that assigned the request.
   * @param params - Outcome of the request.
   */
  release(ownerId: RouterId, params: ReleaseParams): void {
    this.notify(ownerId, ROUTER_METHODS.release, params, () => this.scheduler.release(params));
  }

  /**
   * Whether a server other than the given one can take a request; false when the owner does not reply.
   * @param ownerId - Router that assigned the request.
   * @param params - The model and the server.
   */
  async hasOtherServer(ownerId: RouterId, params: OtherServerParams): Promise<boolean> {
    const reply = await this.call<boolean>(ownerId, ROUTER_METHODS.hasOtherServer, params, () =>
      Promise.resolve(this.scheduler.hasOtherServer(params)),
    );
    return reply === true;
  }

  /** @param params - Claim to acquire. */
  async claim(params: ClaimParams): Promise<ClaimReply> {
    for (const ownerId of this.candidates(params.claimShard)) {
      const reply = await this.call<ClaimReply>(ownerId, ROUTER_METHODS.claim, params, () =>
        this.claims.claim(params),
      );
      if (reply) {
        return reply;
      }
    }
    return { kind: 'unavailable' };
  }

  /** @param params - Outcome to record; resolves to false when no owner recorded it. */
  async recordOutcome(params: OutcomeParams): Promise<boolean> {
    for (const ownerId of this.candidates(params.claimShard)) {
      const recorded = await this.call<boolean>(ownerId, ROUTER_METHODS.recordOutcome, params, () =>
        this.claims.recordOutcome(params),
      );
      if (recorded) {
        return true;
      }
    }
    return false;
  }

  private candidates(key: string): RouterId[] {
    return this.membership.rankOwners(key, this.clock.nowMs()).slice(0, MAX_OWNERS_TRIED);
  }

  private async call<T>(
    ownerId: RouterId,
    method: string,
    params: unknown,
    callLocal: () => Promise<T>,
  ): Promise<T | undefined> {
    if (ownerId === this.selfId) {
      return callLocal();
    }
    try {
      const connection = await this.dialer.connect(this.membership.get(ownerId)?.peerAddress ?? '');
      return await connection.call<T>(method, params);
    } catch {
      this.membership.markSuspect(ownerId, this.clock.nowMs());
      return undefined;
    }
  }

  private notify(ownerId: RouterId, method: string, params: object, notifyLocal: () => void): void {
    if (ownerId === this.selfId) {
      notifyLocal();
      return;
    }
    this.dialer.connect(this.membership.get(ownerId)?.peerAddress ?? '').then(
      (connection) => connection.notify(method, params),
      () => this.membership.markSuspect(ownerId, this.clock.nowMs()),
    );
  }
}
