import type { Clock } from '../kernel/index.js';
import { ROUTER_METHODS, type RouterId } from '../domain/index.js';
import type { Membership } from '../state/index.js';
import type { PeerDialer } from '../transport/index.js';
import type { SchedulerService } from './SchedulerService.js';
import type { PacerService } from './PacerService.js';

/** Key whose owner router paces the loads from the weight store. */
const PACER_KEY = 'weight-store-pacer';
/** Remaining time that is sent for a load that no request waits for, in milliseconds. */
const MAX_REMAINING_MS = 600_000;

/** Acquires load permits for agents from the one router that paces the weight store. */
export class LoadPermitClient {
  private readonly issuerByPermit = new Map<string, RouterId>();

  /**
   * @param selfId - This router.
   * @param clock - Source of time.
   * @param membership - Known routers.
   * @param dialer - Opens connections to other routers.
   * @param scheduler - Provides the deadlines of the requests that wait for a load.
   * @param pacer - Paces the loads when this router is the owner of the key.
   */
  constructor(
    private readonly selfId: RouterId,
    private readonly clock: Clock,
    private readonly membership: Membership,
    private readonly dialer: PeerDialer,
    private readonly scheduler: SchedulerService,
    private readonly pacer: PacerService,
  ) {}

  /**
   * Waits for a permit; undefined when the pacing router cannot be reached.
   * @param itemId - Model to load.
   */
  async acquire(itemId: string): Promise<string | undefined> {
    const remainingMs = Math.min(MAX_REMAINING_MS, this.scheduler.getMinRemainingMs(itemId));
    const pacerId = this.membership.rankOwners(PACER_KEY, this.clock.nowMs())[0] ?? this.selfId;
    if (pacerId === this.selfId) {
      return this.pacer.acquire(remainingMs);
    }
    try {
      const connection = await this.dialer.connect(this.membership.get(pacerId)?.peerAddress ?? '');
      const permitId = await connection.call<string>(ROUTER_METHODS.permit, { remainingMs });
      this.issuerByPermit.set(permitId, pacerId);
      return permitId;
    } catch {
      this.membership.markSuspect(pacerId, this.clock.nowMs());
      return undefined;
    }
  }

  /** @param permitId - Permit to release. */
  release(permitId: string): void {
    const issuerId = this.issuerByPermit.get(permitId);
    this.issuerByPermit.delete(permitId);
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
