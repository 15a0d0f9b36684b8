import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import { WebSocket } from 'ws';
import type { Clock } from '../kernel/index.js';
import { PeriodicTask } from '../kernel/index.js';
import type { TrafficMeter } from './TrafficMeter.js';

/** Time between two heartbeats in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Heartbeat intervals of silence after which a connection is abandoned. */
const SILENT_INTERVALS = 2;

/** Time without use after which the end that opened a connection closes it, in milliseconds. */
const IDLE_CLOSE_MS = 15_000;
/** Time without a sign of the other end after which an unused connection is taken for lost, in milliseconds. */
const FORGOTTEN_CLOSE_MS = 60_000;

/** Time given to the other end to take what was sent before a connection closes, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

/** Raised by a call whose connection went away; the call may have been carried out. */
export class ConnectionLostError extends Error {
  /** @param isRefused - Whether nothing listens at the address, so that the process that did has ended. */
  constructor(readonly isRefused = false) {
    super('The connection was lost before the answer came.');
  }
}

/** Methods that one end offers; each takes the caller's parameters and its connection. */
export type PeerMethods = Readonly<Record<string, (params: never, connection: PeerConnection) => unknown>>;

/** Authenticated json-rpc-2.0 connection between two of our processes, watched by heartbeats while it is in use. */
export class PeerConnection {
  private readonly rpc: JSONRPCServerAndClient;
  private readonly heartbeat: PeriodicTask;
  private readonly closeListeners = new Set<() => void>();
  private lastHeardAtMs: number;
  /** When the connection last began to be in use; undefined while it is not. */
  private usedSinceMs: number | undefined;
  private useCount = 0;
  private closed = false;

  /**
   * @param socket - Open socket.
   * @param clock - Source of time.
   * @param methods - What this end offers.
   * @param peerName - Name of the other end, for logs.
   * @param traffic - Counts the bytes.
   * @param isDialer - Whether this end opened the connection.
   */
  constructor(
    private readonly socket: WebSocket,
    private readonly clock: Clock,
    methods: PeerMethods,
    readonly peerName: string,
    private readonly traffic: TrafficMeter,
    private readonly isDialer: boolean,
  ) {
    const client = new JSONRPCClient((payload) => this.send(JSON.stringify(payload)));
    const server = new JSONRPCServer({ errorListener: () => undefined });
    for (const [name, method] of Object.entries(methods)) {
      server.addMethod(name, (params) => method(params as never, this));
    }
    this.rpc = new JSONRPCServerAndClient(server, client);
    this.lastHeardAtMs = clock.nowMs();
    this.heartbeat = new PeriodicTask(clock, HEARTBEAT_INTERVAL_MS, () => this.beat());
    this.heartbeat.start();
    socket.on('message', (message) => this.receive(String(message)));
    socket.on('ping', () => this.noteHeard(0));
    socket.on('pong', () => this.noteHeard(0));
    socket.on('close', () => this.finish());
    socket.on('error', () => this.abandon());
  }

  /** Whether calls can still be made. */
  get isOpen(): boolean {
    return !this.closed;
  }

  /**
   * Calls a method of the other end.
   * @param method - Name of the method.
   * @param params - Parameters.
   */
  async call<T>(method: string, params: unknown): Promise<T> {
    if (this.closed) {
      throw new ConnectionLostError();
    }
    const release = this.acquire();
    try {
      return (await this.rpc.request(method, params)) as T;
    } finally {
      release();
    }
  }

  /** Notes that something depends on the connection, which is watched until the returned function is called. */
  acquire(): () => void {
    this.useCount++;
    this.usedSinceMs ??= this.clock.nowMs();
    let isHeld = true;
    return () => {
      if (isHeld) {
        isHeld = false;
        this.useCount--;
        this.usedSinceMs = this.useCount === 0 ? undefined : this.usedSinceMs;
      }
    };
  }

  /**
   * Sends a notification, which has no answer.
   * @param method - Name of the method.
   * @param params - Parameters.
   */
  notify(method: string, params: unknown): void {
    if (!this.closed) {
      this.rpc.notify(method, params);
    }
  }

  /**
   * Listens for the end of the connection; returns what ends the listening.
   * @param listener - Called once when the connection is gone.
   */
  onClose(listener: () => void): () => void {
    if (this.closed) {
      listener();
      return () => undefined;
    }
    this.closeListeners.add(listener);
    return () => this.closeListeners.delete(listener);
  }

  /** Closes the connection after everything sent has left, or after a short while. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.onClose(resolve);
      this.clock.schedule(CLOSE_TIMEOUT_MS, resolve);
      this.socket.close();
    });
    this.abandon();
  }

  /** Drops the connection at once, without waiting for the other end. */
  abandon(): void {
    this.socket.terminate();
    this.finish();
  }

  private beat(): void {
    const nowMs = this.clock.nowMs();
    if (this.usedSinceMs === undefined) {
      this.closeWhenIdle(nowMs);
      return;
    }
    const silentMs = nowMs - Math.max(this.lastHeardAtMs, this.usedSinceMs);
    if (silentMs > SILENT_INTERVALS * HEARTBEAT_INTERVAL_MS) {
      this.abandon();
      return;
    }
    if (this.socket.readyState === WebSocket.OPEN) {
      this.traffic.recordSent(0);
      this.socket.ping();
    }
  }

  /** The end that opened the connection closes it; the other does so only when it heard nothing for much longer. */
  private closeWhenIdle(nowMs: number): void {
    const limitMs = this.isDialer ? IDLE_CLOSE_MS : FORGOTTEN_CLOSE_MS;
    if (nowMs - this.lastHeardAtMs > limitMs) {
      this.abandon();
    }
  }

  private noteHeard(payloadBytes: number): void {
    this.traffic.recordReceived(payloadBytes);
    this.lastHeardAtMs = this.clock.nowMs();
  }

  private receive(text: string): void {
    this.noteHeard(text.length);
    let payload: unknown;
    try {
      payload = JSON.parse(text);
    } catch {
      this.abandon();
      return;
    }
    this.rpc.receiveAndSend(payload).catch(() => this.abandon());
  }

  private send(text: string): void {
    if (this.socket.readyState !== WebSocket.OPEN) {
      throw new ConnectionLostError();
    }
    this.traffic.recordSent(text.length);
    this.socket.send(text);
  }

  private finish(): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.heartbeat.stop();
    this.rpc.rejectAllPendingRequests('The connection was lost before the answer came.');
    for (const listener of this.closeListeners) {
      listener();
    }
  }
}
