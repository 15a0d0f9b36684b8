import { QUOTA_LEASE_MS } from './quotaTerms.js';

/** Interval at which a router renews its share at an issuer, in milliseconds. */
const RENEW_INTERVAL_MS = 500;
/** Interval at which it tries to withdraw its share from an issuer that does not answer, in milliseconds. */
const RELEASE_INTERVAL_MS = 200;
/** Interval at which it calls an issuer that has not counted it yet or has not answered, in milliseconds. */
const JOIN_INTERVAL_MS = 50;

/** Time of an issuer, which a router returns to prove how recent its message is. */
export interface IssuerStamp {
  /** Process of the issuer. */
  readonly issuerId: string;
  /** Time on the issuer's clock, in milliseconds. */
  readonly atMs: number;
}

/** What a router sends next. */
export type FollowingStep =
  | { readonly kind: 'none' }
  | { readonly kind: 'renew'; readonly issuer: string; readonly echo: IssuerStamp | undefined }
  | { readonly kind: 'release'; readonly issuer: string };

/**
 * Decides which issuer has a router's share of the quotas of one group.
 *
 * The share moves only when the former issuer certainly no longer counts it: the issuer has confirmed the withdrawal, or the
 * lease from its latest stamp is over. A frozen issuer that continues finds on its own clock that the lease has ended.
 */
export class IssuerFollowing {
  private followedIssuer: string | undefined;
  private echo: IssuerStamp | undefined;
  private echoReceivedAtMs = -Infinity;
  private leasedUntilMs = -Infinity;
  private isCalling = false;
  private calledAtMs = -Infinity;
  private silences = 0;

  /** Issuer that has the share or is to have it; undefined while the router keeps its share. */
  get issuer(): string | undefined {
    return this.followedIssuer;
  }

  /** Number of calls in a row that the issuer has not answered. */
  get silenceCount(): number {
    return this.silences;
  }

  /**
   * Whether the issuer has the share now.
   * @param nowMs - Current time.
   */
  isMember(nowMs: number): boolean {
    return this.followedIssuer !== undefined && nowMs < this.leasedUntilMs;
  }

  /**
   * Returns what to send next; its outcome must be recorded.
   * @param preferred - Issuer that should have the share; undefined if none can be reached.
   * @param nowMs - Current time.
   */
  plan(preferred: string | undefined, nowMs: number): FollowingStep {
    if (this.followedIssuer !== preferred && nowMs >= this.leasedUntilMs) {
      this.follow(preferred);
    }
    const { followedIssuer: issuer } = this;
    if (
      issuer === undefined ||
      this.isCalling ||
      nowMs - this.calledAtMs < this.getIntervalMs(preferred, nowMs)
    ) {
      return { kind: 'none' };
    }
    this.isCalling = true;
    this.calledAtMs = nowMs;
    if (issuer !== preferred) {
      return { kind: 'release', issuer };
    }
    if (this.echo) {
      this.leasedUntilMs = Math.max(this.leasedUntilMs, this.echoReceivedAtMs + QUOTA_LEASE_MS);
    }
    return { kind: 'renew', issuer, echo: this.echo };
  }

  /**
   * Records the answer to a renewal.
   * @param issuer - The issuer that was called.
   * @param stamp - Its stamp; undefined if it did not answer.
   * @param nowMs - Current time.
   */
  recordRenewal(issuer: string, stamp: IssuerStamp | undefined, nowMs: number): void {
    if (issuer !== this.followedIssuer) {
      return;
    }
    this.isCalling = false;
    if (!stamp) {
      this.silences++;
      return;
    }
    this.silences = 0;
    if (this.echo?.issuerId !== stamp.issuerId) {
      // Without an echo of its own stamp, the issuer has not counted this router yet: it is called again at once.
      this.calledAtMs = -Infinity;
    }
    this.echo = stamp;
    this.echoReceivedAtMs = nowMs;
  }

  /**
   * Records the answer to a withdrawal.
   * @param issuer - The issuer that was called.
   * @param isReleased - Whether it has confirmed the withdrawal.
   */
  recordRelease(issuer: string, isReleased: boolean): void {
    if (issuer === this.followedIssuer) {
      this.isCalling = false;
      this.leasedUntilMs = isReleased ? -Infinity : this.leasedUntilMs;
    }
  }

  /** Records that the issuer has not answered, so that it is called soon. */
  recordSilence(): void {
    this.silences++;
    this.calledAtMs = -Infinity;
  }

  private getIntervalMs(preferred: string | undefined, nowMs: number): number {
    if (this.followedIssuer !== preferred) {
      return RELEASE_INTERVAL_MS;
    }
    return this.isMember(nowMs) && this.silences === 0 ? RENEW_INTERVAL_MS : JOIN_INTERVAL_MS;
  }

  private follow(issuer: string | undefined): void {
    this.followedIssuer = issuer;
    this.echo = undefined;
    this.leasedUntilMs = -Infinity;
    this.isCalling = false;
    this.calledAtMs = -Infinity;
    this.silences = 0;
  }
}
