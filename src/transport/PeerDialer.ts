import { WebSocket } from 'ws';
import type { Clock } from '../kernel/index.js';
import { ConnectionLostError, PeerConnection, type PeerMethods } from './PeerConnection.js';
import { MAX_MESSAGE_BYTES } from './PeerServer.js';
import type { TrafficMeter } from './TrafficMeter.js';

/** Timeout of the opening handshake, in milliseconds. */
const DIAL_TIMEOUT_MS = 1_000;
/** Minimum time between a failed dial and the next dial of the same address, in milliseconds. */
const REDIAL_DELAY_MS = 250;

/** Opens connections to other processes of the fleet and caches one per address. */
export class PeerDialer {
  private readonly connections = new Map<string, Promise<PeerConnection>>();
  private readonly failedAtMsByAddress = new Map<string, number>();
  /** Addresses that refused the connection at the last dial. */
  private readonly refusedAddresses = new Set<string>();
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
    const failedAtMs = this.failedAtMsByAddress.get(address) ?? -Infinity;
    if (this.clock.nowMs() - failedAtMs < REDIAL_DELAY_MS) {
      throw new ConnectionLostError(this.refusedAddresses.has(address));
    }
    const pending = this.dial(address);
    this.connections.set(address, pending);
    try {
      const connection = await pending;
      connection.onClose(() => this.connections.delete(address));
      this.failedAtMsByAddress.delete(address);
      return connection;
    } catch (error) {
      this.connections.delete(address);
      this.failedAtMsByAddress.set(address, this.clock.nowMs());
      this.recordRefused(address, error);
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

  private recordRefused(address: string, error: unknown): void {
    if (error instanceof ConnectionLostError && error.isRefused) {
      this.refusedAddresses.add(address);
    } else {
      this.refusedAddresses.delete(address);
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
