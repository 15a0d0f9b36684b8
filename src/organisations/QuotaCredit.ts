import type { QuotaClient } from './QuotaClient.js';
import type { Organisation } from './Organisation.js';

/** Credit that was taken for one request, from the grant until the request has ended. */
export class QuotaCredit {
  private isSent = false;
  private hasEnded = false;

  /**
   * @param client - Where the credit was taken.
   * @param organisation - The request's organisation.
   * @param cost - Cost of the request.
   */
  constructor(
    private readonly client: Pick<QuotaClient, 'giveBack' | 'changeUnsent'>,
    private readonly organisation: Organisation,
    private readonly cost: number,
  ) {}

  /**
   * Records whether the request may have been sent to a server that runs it.
   * @param isSent - Whether it may have been sent; false again after a proof that it did not run.
   */
  recordSent(isSent: boolean): void {
    if (isSent === this.isSent || this.hasEnded) {
      return;
    }
    this.isSent = isSent;
    this.client.changeUnsent(this.organisation, isSent ? -this.cost : this.cost);
  }

  /** Ends the credit with its request; returns it if the request did not run. */
  end(): void {
    if (!this.hasEnded && !this.isSent) {
      this.client.giveBack(this.organisation, this.cost);
    }
    this.hasEnded = true;
  }
}
