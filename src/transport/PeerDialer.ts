import { WebSocket } from 'ws';
import type { Clock } from '../kernel/index.js';
import { ConnectionLostError, PeerConnection, type PeerMethods } from './PeerConnection.js';
import { MAX_MESSAGE_BYTES } from './PeerServer.js';
import type { TrafficMeter } from './TrafficMeter.js';

/** Timeout of the opening handshake, in milliseconds. */
const DIAL_TIMEOUT_MS = 1_000;
/** Minimum time between a failed dial and the next dial of the same address, in milliseconds. */
const REDIAL_DELAY_MS = 250;

/** Last failed dial of an address. */
interface FailedDial {
  readonly atMs: number;
  readonly isRefused: boolean;
}

/** Opens connections to other processes of the fleet and caches one per address. */
export class PeerDialer {
  private readonly connections = new Map<string, Promise<PeerConnection>>();
  /** Failed dials after which an address is not dialled again yet, in the order of their times. */
  private readonly failedDials = new Map<string, FailedDial>();
  private methods: PeerMethods = {};

  /**
   * @param selfName - Name of this process, sent to the other end.
   * @param secret - Secret that authenticates this process to the other end.
   * @param clock - Source of time.
   * @param traffic - Meter of the bytes exchanged.
   */
  constructor(
    private readonly selfName: string,
    private readonly secret: string,
    private readonly clock: Clock,
    private readonly traffic: TrafficMeter,
  ) {}

  /** Number of addresses whose failed dials are remembered. */
  get failedDialCount(): number {
    return this.failedDials.size;
  }

  /** @param methods - Methods provided to the other ends of connections that are opened from now on. */
  exposeMethods(methods: PeerMethods): void {
    this.methods = methods;
  }

  /**
   * Returns the open connection to an address, or opens one.
   * @param address - Host and port of the other process.
   * @throws ConnectionLostError when the address can't be reached.
   */
  async connect(address: string): Promise<PeerConnection> {
    const existing = this.connections.get(address);
    if (existing) {
      return existing;
    }
    this.pruneFailedDials();
    const failed = this.failedDials.get(address);
    if (failed) {
      throw new ConnectionLostError(failed.isRefused);
    }
    const pending = this.dial(address);
    this.connections.set(address, pending);
    try {
      const connection = await pending;
      connection.onClose(() => this.connections.delete(address));
      return connection;
    } catch (error) {
      this.connections.delete(address);
      const isRefused = error instanceof ConnectionLostError && error.isRefused;
      this.failedDials.set(address, { atMs: this.clock.nowMs(), isRefused });
      throw error;
    }
  }

  /** Terminates all connections. */
  async close(): Promise<void> {
    for (const pending of [...this.connections.values()]) {
      const connection = await pending.catch(() => undefined);
      connection?.terminate();
    }
  }

  /** Forgets the failed dials that no longer keep their addresses from being dialled. */
  private pruneFailedDials(): void {
    const nowMs = this.clock.nowMs();
    for (const [address, { atMs }] of this.failedDials) {
      if (nowMs - atMs < REDIAL_DELAY_MS) {
        return;
      }
      this.failedDials.delete(address);
    }
  }

  private async dial(address: string): Promise<PeerConnection> {
    const socket = new WebSocket(`ws://${address}/`, {
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAX_MESSAGE_BYTES,
      headers: { authorization: `Bearer ${this.secret}`, 'x-monsoonglade-peer': this.selfName },
    });
    return new Promise((resolve, reject) => {
      socket.once('open', () =>
        resolve(new PeerConnection(socket, this.clock, this.methods, address, this.traffic, true)),
      );
      socket.once('error', (error: NodeJS.ErrnoException) =>
        reject(new ConnectionLostError(error.code === 'ECONNREFUSED')),
      );
    });
  }
}
