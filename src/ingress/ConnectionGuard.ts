import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { runInBackground, type Clock } from '../kernel/index.js';
import type { Log, Metrics } from '../telemetry/index.js';
import { chooseCostliest, chooseLargestHead, chooseQuietest } from './chooseVictim.js';
import { ConnectionInlet, type InletOwner } from './ConnectionInlet.js';
import type { IngressLimits } from './IngressLimits.js';
import { TurnQueue } from './TurnQueue.js';

/** Processor time for waiting connections between two polls of the sockets, in milliseconds. */
const ROUND_MS = 5;
/** Processor time of a connection in one turn, in milliseconds. */
const TURN_MS = 0.5;
/** Processor time that a connection may take at once for bytes that have just been read, in milliseconds. */
const MAX_ALLOWANCE_MS = 1;
/** Maximum of that time over all connections between two polls, in milliseconds. */
const MAX_CREDIT_MS = 10;
/** Share of a processor at which that time is granted again. */
const CREDIT_SHARE = 0.5;
/** Minimum time between two log lines about closed connections, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;

/** Why a connection is closed. */
type ClosingReason =
  /** All connections that are allowed are open. */
  | 'connections'
  /** Unfinished heads take too much memory. */
  | 'heads'
  /** Bytes that wait for processor time take too much memory. */
  | 'waiting';

/** Dependencies of a {@link ConnectionGuard}. */
export interface ConnectionGuardDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Bounds the processor time and memory that untrusted connections to an HTTP server take before their requests are complete. */
export class ConnectionGuard implements InletOwner {
  readonly clock: Clock;
  private readonly inlets = new Map<Socket, ConnectionInlet>();
  private readonly queue = new TurnQueue<ConnectionInlet>();
  private isRoundScheduled = false;
  private unfinishedBytes = 0;
  private waitingBytes = 0;
  private openRequestCount = 0;
  private creditMs = MAX_CREDIT_MS;
  private creditedAtMs = 0;
  private closedCount = 0;
  private loggedAtMs = -Infinity;
  private hasUpgradeListener = false;

  /**
   * @param server - HTTP server whose connections are bounded.
   * @param field - Settings field that holds its address.
   * @param limits - Limits.
   * @param deps - Dependencies.
   */
  constructor(
    private readonly server: Server,
    private readonly field: string,
    private readonly limits: IngressLimits,
    private readonly deps: ConnectionGuardDependencies,
  ) {
    this.clock = deps.clock;
    server.on('connection', (socket: Socket) => this.add(socket));
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) =>
      this.inlets.get(request.socket)?.beginRequest(request, response),
    );
  }

  get isCrowded(): boolean {
    return this.openRequestCount >= this.limits.pipelinedCount;
  }

  get isAwaited(): boolean {
    return !this.queue.isEmpty;
  }

  onRequests(count: number): void {
    this.openRequestCount += count;
  }

  onHeld(): void {
    this.deps.metrics.count(`${this.field}_pipelining_held`);
  }

  getAllowanceMs(): number {
    const nowMs = this.clock.nowMs();
    const grantedMs = (nowMs - this.creditedAtMs) * CREDIT_SHARE;
    this.creditMs = Math.min(MAX_CREDIT_MS, this.creditMs + grantedMs);
    this.creditedAtMs = nowMs;
    return Math.min(MAX_ALLOWANCE_MS, this.creditMs);
  }

  onAllowanceUsed(usedMs: number): void {
    this.creditMs -= usedMs;
  }

  requestTurn(inlet: ConnectionInlet): void {
    this.queue.add(inlet, inlet.isCostly);
    if (!this.isRoundScheduled) {
      this.isRoundScheduled = true;
      setImmediate(() => this.runRound());
    }
  }

  onUnfinished(byteCount: number): void {
    this.unfinishedBytes += byteCount;
    while (this.unfinishedBytes > this.limits.unfinishedBytes) {
      const victim = chooseLargestHead(this.inlets.values(), this.clock.nowMs());
      if (!victim) {
        return;
      }
      this.close(victim, 'heads');
    }
  }

  onWaiting(byteCount: number): void {
    this.waitingBytes += byteCount;
    while (this.waitingBytes > this.limits.waitingBytes) {
      const victim = chooseCostliest(this.inlets.values(), this.clock.nowMs());
      if (!victim) {
        return;
      }
      this.close(victim, 'waiting');
    }
  }

  private add(socket: Socket): void {
    this.watchUpgrades();
    if (this.inlets.size >= this.limits.connectionCount) {
      const victim = chooseQuietest(this.inlets.values(), this.clock.nowMs());
      if (!victim) {
        this.deps.metrics.count(`${this.field}_connections_refused`);
        socket.destroy();
        return;
      }
      this.close(victim, 'connections');
    }
    const inlet = new ConnectionInlet(socket, this);
    this.inlets.set(socket, inlet);
    socket.once('close', () => this.remove(socket, inlet));
  }

  /** Listens for upgrades if the server handles them; a listener on another one would take them out of its requests. */
  private watchUpgrades(): void {
    if (!this.hasUpgradeListener && this.server.listenerCount('upgrade') > 0) {
      this.hasUpgradeListener = true;
      this.server.prependListener('upgrade', (request: IncomingMessage) =>
        this.inlets.get(request.socket)?.endHttp(),
      );
    }
  }

  private runRound(): void {
    this.isRoundScheduled = false;
    const endsAtMs = this.clock.nowMs() + ROUND_MS;
    do {
      const inlet = this.queue.take();
      if (!inlet) {
        return;
      }
      runInBackground('turn of a connection', () => inlet.run(TURN_MS));
    } while (this.clock.nowMs() < endsAtMs);
    if (!this.isRoundScheduled && !this.queue.isEmpty) {
      this.isRoundScheduled = true;
      setImmediate(() => this.runRound());
    }
  }

  private close(inlet: ConnectionInlet, reason: ClosingReason): void {
    const { metrics, log } = this.deps;
    metrics.count(`${this.field}_connections_closed_${reason}`);
    this.closedCount++;
    const nowMs = this.clock.nowMs();
    if (nowMs - this.loggedAtMs >= LOG_INTERVAL_MS) {
      this.loggedAtMs = nowMs;
      log.warn('untrusted connection closed', {
        field: this.field,
        reason,
        stage: inlet.stage,
        quietMs: Math.round(nowMs - inlet.quietSinceMs),
        usedMs: Math.round(inlet.getDebtMs(nowMs)),
        connectionCount: this.inlets.size,
        unfinishedBytes: this.unfinishedBytes,
        waitingBytes: this.waitingBytes,
        closedCount: this.closedCount,
      });
    }
    inlet.refuse();
    this.remove(inlet.socket, inlet);
  }

  private remove(socket: Socket, inlet: ConnectionInlet): void {
    if (this.inlets.delete(socket)) {
      this.queue.delete(inlet);
      inlet.release();
    }
  }
}
