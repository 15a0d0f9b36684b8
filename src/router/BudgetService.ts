import type { Clock } from '../kernel/index.js';
import { BUDGET_PREFIX, type OrganisationConfiguration } from '../domain/index.js';
import { updateAndResolve, type ObjectStore } from '../platform/index.js';
import { BudgetSlices, type BudgetObject } from './decisions/index.js';

/** Tries to reserve tokens before the request is refused; concurrent writes by other routers use up tries. */
const MAX_SLICE_TRIES = 5;
/** Length of the date in an ISO 8601 timestamp, in characters. */
const DAY_LENGTH = 10;

/** Reservation of tokens for one request. */
export interface BudgetReservation {
  /** @param tokenCount - Tokens that were generated; the rest is refunded. */
  settle(tokenCount: number): void;
}

/** Enforces the daily token limit of each organisation across all routers. */
export class BudgetService {
  private readonly slicesByOrganisation = new Map<
    string,
    { readonly day: string; readonly slices: BudgetSlices }
  >();
  private markNumber = 0;

  /**
   * @param clock - Source of time.
   * @param store - Object store of the platform.
   * @param writerId - Identifier of this process incarnation, used in write marks.
   */
  constructor(
    private readonly clock: Clock,
    private readonly store: ObjectStore,
    private readonly writerId: string,
  ) {}

  /**
   * Reserves tokens for a request; returns undefined when the budget is exhausted or the platform is unavailable.
   * @param organisation - Organisation that is charged.
   * @param tokenCount - Maximum number of tokens that the request may generate.
   */
  async reserve(
    organisation: OrganisationConfiguration,
    tokenCount: number,
  ): Promise<BudgetReservation | undefined> {
    if (organisation.tokensPerDay === undefined) {
      return { settle: () => undefined };
    }
    const slices = this.getSlices(organisation, organisation.tokensPerDay);
    for (let attempt = 0; attempt < MAX_SLICE_TRIES; attempt++) {
      if (slices.tryReserve(tokenCount)) {
        return { settle: (spentTokens) => slices.refund(tokenCount - spentTokens) };
      }
      if (!(await this.takeSlice(organisation.organisation, slices, tokenCount))) {
        return undefined;
      }
    }
    return undefined;
  }

  /** Takes a slice; returns true when the reservation should be tried again. */
  private async takeSlice(
    organisationId: string,
    slices: BudgetSlices,
    neededTokens: number,
  ): Promise<boolean> {
    const path = `${BUDGET_PREFIX}${organisationId}/${this.today()}`;
    const current = await this.store.read<BudgetObject>(path);
    if (current.kind === 'unavailable') {
      return false;
    }
    const takenTokens = current.kind === 'found' ? current.object.value.takenTokens : 0;
    const version = current.kind === 'found' ? current.object.version : 0;
    const sliceTokens = slices.nextSliceTokens(takenTokens, neededTokens);
    if (sliceTokens === 0) {
      return false;
    }
    const value: BudgetObject = {
      mark: `${this.writerId}-${++this.markNumber}`,
      takenTokens: takenTokens + sliceTokens,
    };
    const result = await updateAndResolve(this.store, path, value, version);
    if (result.kind === 'written') {
      slices.addSlice(sliceTokens);
    }
    return result.kind === 'written' || result.kind === 'conflict';
  }

  private getSlices(organisation: OrganisationConfiguration, limitTokens: number): BudgetSlices {
    const day = this.today();
    const existing = this.slicesByOrganisation.get(organisation.organisation);
    if (existing?.day === day) {
      return existing.slices;
    }
    const slices = new BudgetSlices(limitTokens);
    this.slicesByOrganisation.set(organisation.organisation, { day, slices });
    return slices;
  }

  private today(): string {
    return new Date(this.clock.nowMs()).toISOString().slice(0, DAY_LENGTH);
  }
}
