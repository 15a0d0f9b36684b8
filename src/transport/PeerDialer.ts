import { WebSocket } from 'ws';
import type { Clock } from '../kernel/index.js';
import { ConnectionLostError, PeerConnection, type PeerMethods } from './PeerConnection.js';
import { MAX_MESSAGE_BYTES } from './PeerServer.js';
import type { TrafficMeter } from './TrafficMeter.js';

/** Time given to open a connection, in milliseconds. */
const DIAL_TIMEOUT_MS = 1_000;
/** Time after a failed dial during which the address is not dialled again, in milliseconds. */
const REDIAL_PAUSE_MS = 250;

/** Opens connections to other processes of the system and keeps one for each address. */
export class PeerDialer {
  private readonly connections = new Map<string, Promise<PeerConnection>>();
  private readonly failedAtMsByAddress = new Map<string, number>();
  /** Addresses at which nothing listened at the last dial. */
  private readonly refusedAddresses = new Set<string>();
  private methods: PeerMethods = {};

  /**
   * @param selfName - Name of this process, told to the other end.
   * @param secret - Credential shown to the other end.
   * @param clock - Source of time.
   * @param traffic - Counts the bytes.
   */
  constructor(
    private readonly selfName: string,
    private readonly secret: string,
    private readonly clock: Clock,
    private readonly traffic: TrafficMeter,
  ) {}

  /** @param methods - What this process offers on the connections it opens. */
  exposeMethods(methods: PeerMethods): void {
    this.methods = methods;
  }

  /**
   * Gives the open connection to an address, opening one where there is none.
   * @param address - Host and port.
   * @throws ConnectionLostError when the address can't be reached.
   */
  async connect(address: string): Promise<PeerConnection> {
    const existing = this.connections.get(address);
    if (existing) {
      return existing;
    }
    const failedAtMs = this.failedAtMsByAddress.get(address) ?? -Infinity;
    if (this.clock.nowMs() - failedAtMs < REDIAL_PAUSE_MS) {
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
      this.noteRefused(address, error);
      throw error;
    }
  }

  /** Drops all connections. */
  async close(): Promise<void> {
    for (const pending of [...this.connections.values()]) {
      const connection = await pending.catch(() => undefined);
      connection?.abandon();
    }
  }

  private noteRefused(address: string, error: unknown): void {
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
