import type { Clock } from '../kernel/index.js';
import { ROUTER_METHODS, type RouterId } from '../domain/index.js';
import type { Membership } from '../state/index.js';
import type { PeerDialer } from '../transport/index.js';
import type { SchedulerService } from './SchedulerService.js';
import type { PacerService } from './PacerService.js';

/** Key whose home paces the loads from the weight store. */
const PACER_KEY = 'weight-store-pacer';
/** Urgency of a load that nobody waits for, in milliseconds. */
const UNURGENT_MS = 600_000;

/** Passes agents' questions for load permits on to the one router that paces the weight store. */
export class LoadPermitClient {
  private readonly issuers = new Map<string, RouterId>();

  /**
   * @param selfId - This router.
   * @param clock - Source of time.
   * @param membership - Routers there are.
   * @param dialer - Reaches other routers.
   * @param homes - Knows how urgent a load is.
   * @param pacer - Paces when this router is the one.
   */
  constructor(
    private readonly selfId: RouterId,
    private readonly clock: Clock,
    private readonly membership: Membership,
    private readonly dialer: PeerDialer,
    private readonly homes: SchedulerService,
    private readonly pacer: PacerService,
  ) {}

  /**
   * Waits for a permit; undefined when the pacing router can't be reached.
   * @param itemId - Model to load.
   */
  async acquire(itemId: string): Promise<string | undefined> {
    const remainingMs = Math.min(UNURGENT_MS, this.homes.mostUrgentRemainingMs(itemId));
    const pacerId = this.membership.rankOwners(PACER_KEY, this.clock.nowMs())[0] ?? this.selfId;
    if (pacerId === this.selfId) {
      return this.pacer.acquire(remainingMs);
    }
    try {
      const connection = await this.dialer.connect(this.membership.get(pacerId)?.peerAddress ?? '');
      const permitId = await connection.call<string>(ROUTER_METHODS.permit, { remainingMs });
      this.issuers.set(permitId, pacerId);
      return permitId;
    } catch {
      this.membership.markSuspect(pacerId, this.clock.nowMs());
      return undefined;
    }
  }

  /** @param permitId - Permit that is given back. */
  release(permitId: string): void {
    const issuerId = this.issuers.get(permitId);
    this.issuers.delete(permitId);
    if (issuerId === undefined) {
      this.pacer.release(permitId);
      return;
    }
    this.dialer.connect(this.membership.get(issuerId)?.peerAddress ?? '').then(
      (connection) => connection.notify(ROUTER_METHODS.permitDone, { permitId }),
      () => undefined,
    );
  }
}
