import { findFirstForKey } from '../kernel/rendezvous.js';
import type { Log, Metrics } from '../telemetry/index.js';
import { QUOTA_GROUP_COUNT } from './decisions/index.js';
import type { IssuerLinks } from './IssuerLinks.js';
import { QUOTA_METHODS } from './messages.js';
import type { QuotaFleet } from './QuotaFleet.js';

/** Time for which an issuer that does not answer is not used, in milliseconds. */
export const SUSPENSION_MS = 2_000;
/** Maximum number of suspended issuers. */
const MAX_SUSPENDED = 100;
/** Number of issuers in the order of a group that are considered. */
const MAX_CANDIDATES = 8;

/** Dependencies of {@link IssuerSelector}. */
export interface IssuerSelectorDependencies {
  readonly links: IssuerLinks;
  readonly fleet: QuotaFleet;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Selects the issuer of each group of organisations: the first in rank that is in touch and not suspended. */
export class IssuerSelector {
  private readonly suspendedUntilMs = new Map<string, number>();
  /** Issuers of each group in their order, as of a change count of the fleet. */
  private candidates:
    { readonly changeCount: number; readonly byGroup: readonly (readonly string[])[] } | undefined;

  /** @param deps - Dependencies. */
  constructor(private readonly deps: IssuerSelectorDependencies) {}

  /**
   * Returns the address of the issuer that a group should use; undefined if none can be used.
   * @param group - Number of the group.
   * @param nowMs - Current time.
   */
  select(group: number, nowMs: number): string | undefined {
    const { links } = this.deps;
    return this.getCandidates(group).find(
      (address) =>
        links.isInTouch(address, QUOTA_METHODS.renew) && (this.suspendedUntilMs.get(address) ?? 0) <= nowMs,
    );
  }

  /**
   * Excludes an issuer that does not answer from the selection for {@link SUSPENSION_MS}.
   * @param issuer - Address of the issuer.
   * @param nowMs - Current time.
   */
  suspend(issuer: string, nowMs: number): void {
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

  private getCandidates(group: number): readonly string[] {
    const { fleet } = this.deps;
    if (this.candidates?.changeCount !== fleet.changeCount) {
      const issuers = [...new Set(fleet.getIssuers())];
      const byGroup = Array.from({ length: QUOTA_GROUP_COUNT }, (_, index) =>
        findFirstForKey(`quotas ${index}`, issuers, MAX_CANDIDATES),
      );
      this.candidates = { changeCount: fleet.changeCount, byGroup };
    }
    return this.candidates.byGroup[group] ?? [];
  }
}
