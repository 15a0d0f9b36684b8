import type { ServerId } from '../domain/index.js';
import type { BackendAttempt } from './BackendAttempt.js';
import type { KnownServer } from './decisions/index.js';
import type { ServerSearch } from './ServerSearch.js';

/** Attempt that has not been sent yet. */
export interface PreparedAttempt {
  readonly server: KnownServer;
  readonly attempt: BackendAttempt;
}

/** Attempt that has been sent. */
export interface SentAttempt extends PreparedAttempt {
  readonly attemptId: string;
  readonly sentAtMs: number;
}

/** Result of the search for a server that replaces a silent one. */
export type ReplacementResult =
  /** Another server has accepted a connection, and a retry was taken from the budget. */
  | { readonly kind: 'found'; readonly next: PreparedAttempt }
  /** The silent server keeps the request. */
  | {
      readonly kind: 'kept';
      readonly reason: 'resumed' | 'noRetryLeft' | 'noOtherServer' | 'replacementFailed';
    };

/** Access of one request to the retry budget. */
export interface RetryAllowance {
  /** Whether a retry is left. */
  isLeft(): boolean;
  /** Takes a retry; returns false if none is left. */
  tryTake(): boolean;
}

/**
 * Finds a server that takes a request over from a silent one. The silent server may go on, so everything that the move
 * needs is secured before its attempt is abandoned.
 */
export class SilentServerReplacement {
  /**
   * @param search - Search for the servers of the request.
   * @param retries - Retry budget.
   * @param createAttempt - Creates an attempt at a server after one more server may have run the request.
   */
  constructor(
    private readonly search: ServerSearch,
    private readonly retries: RetryAllowance,
    private readonly createAttempt: (server: KnownServer) => BackendAttempt,
  ) {}

  /**
   * Finds a replacement and connects to it.
   * @param silentAttempt - Attempt at the silent server.
   * @param serverId - The silent server.
   */
  async find(silentAttempt: BackendAttempt, serverId: ServerId): Promise<ReplacementResult> {
    if (!this.retries.isLeft()) {
      return { kind: 'kept', reason: 'noRetryLeft' };
    }
    const server = await this.search.findReplacement(serverId, silentAttempt.lastReceivedAtMs);
    if (!server) {
      return { kind: 'kept', reason: 'noOtherServer' };
    }
    const attempt = this.createAttempt(server);
    if (!(await attempt.connect())) {
      // Left out from now on, so that the next server is tried.
      this.search.exclude(server.entry.serverId);
      return this.find(silentAttempt, serverId);
    }
    if (!silentAttempt.isSilent || !this.retries.tryTake()) {
      attempt.cancel();
      return { kind: 'kept', reason: silentAttempt.isSilent ? 'noRetryLeft' : 'resumed' };
    }
    return { kind: 'found', next: { server, attempt } };
  }
}
