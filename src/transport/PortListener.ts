import type { Server } from 'node:http';
import { ConnectionGuard, DEFAULT_INGRESS_LIMITS, type IngressLimits } from '../ingress/index.js';
import type { Clock, Timer } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import { ListenError } from './ListenError.js';
import { listenOrThrow, type ListenAddress } from './listenOrThrow.js';

/** Delay before the second attempt to bind a port, in milliseconds; doubles with each further one. */
const FIRST_RETRY_DELAY_MS = 50;
/** Maximum delay between two attempts, in milliseconds. */
const MAX_RETRY_DELAY_MS = 500;
/** Minimum time between two log lines about failed attempts or about errors, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;
/** Codes of errors that end without a change of the settings. */
const TEMPORARY_ERROR_CODES = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/** Dependencies of a {@link PortListener}. */
export interface PortListenerDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether the start fails if the port is not available; by default it is tried again. */
  readonly failsIfTaken?: boolean;
  /** Limits of connections; the defaults if absent. */
  readonly ingressLimits?: IngressLimits;
}

/**
 * Binds a server to its port, however long the port is not available, bounds what its connections take, and logs the errors of the
 * bound server.
 */
export class PortListener {
  private retryTimer: Timer | undefined;
  private endWait: (() => void) | undefined;
  private isStopped = false;
  private attempts = 0;
  private errorCount = 0;
  private loggedAtMs = -Infinity;

  /**
   * @param server - Server to bind.
   * @param address - Address to bind to.
   * @param field - Settings field that holds the address.
   * @param deps - Dependencies.
   */
  constructor(
    private readonly server: Server,
    private readonly address: ListenAddress,
    private readonly field: string,
    private readonly deps: PortListenerDependencies,
  ) {
    // Without a listener, an error such as that of a failed accept ends the process.
    server.on('error', (error: NodeJS.ErrnoException) => this.onError(error));
    new ConnectionGuard(server, field, deps.ingressLimits ?? DEFAULT_INGRESS_LIMITS, deps);
  }

  /**
   * Binds the server and tries again while the port is not available; resolves when it is bound or `stop` was called.
   * @throws ListenError when the server cannot be bound with these settings.
   */
  async start(): Promise<void> {
    let delayMs = FIRST_RETRY_DELAY_MS;
    while (!(await this.tryListen()) && !this.isStopped) {
      await this.wait(delayMs);
      delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS);
    }
  }

  /** Ends the attempts; a server that is bound stays so. */
  stop(): void {
    this.isStopped = true;
    this.retryTimer?.cancel();
    this.endWait?.();
  }

  /** Returns whether no further attempt is needed. */
  private async tryListen(): Promise<boolean> {
    if (this.isStopped) {
      return true;
    }
    this.attempts++;
    try {
      await listenOrThrow(this.server, this.address, this.field);
    } catch (error) {
      if (!(error instanceof ListenError) || !this.isRetried(error)) {
        throw error;
      }
      this.logWarning('port not available, trying again', { code: error.code, attempts: this.attempts });
      return false;
    }
    this.loggedAtMs = -Infinity;
    if (this.isStopped) {
      // The server was closed before the system had bound it.
      this.server.close();
    } else if (this.attempts > 1) {
      this.deps.log.info('port bound', { ...this.describe(), attempts: this.attempts });
    }
    return true;
  }

  private isRetried(error: ListenError): boolean {
    return this.deps.failsIfTaken !== true && TEMPORARY_ERROR_CODES.has(error.code);
  }

  private onError(error: NodeJS.ErrnoException): void {
    if (!this.server.listening) {
      // The error of an attempt to bind, which tryListen handles.
      return;
    }
    this.errorCount++;
    this.deps.metrics.count('server_errors');
    this.logWarning('server error', { error: error.message, errorCount: this.errorCount });
  }

  private logWarning(text: string, fields: Readonly<Record<string, string | number>>): void {
    const nowMs = this.deps.clock.nowMs();
    if (nowMs - this.loggedAtMs >= LOG_INTERVAL_MS) {
      this.loggedAtMs = nowMs;
      this.deps.log.warn(text, { ...this.describe(), ...fields });
    }
  }

  private describe(): { field: string; address: string } {
    return { field: this.field, address: `${this.address.host}:${this.address.port}` };
  }

  private wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.endWait = resolve;
      this.retryTimer = this.deps.clock.schedule(delayMs, resolve);
    });
  }
}
