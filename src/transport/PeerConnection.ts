import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import { WebSocket } from 'ws';
import type { Clock } from '../kernel/index.js';
import { Repeater } from '../kernel/index.js';
import type { TrafficMeter } from './TrafficMeter.js';

/** Time between two heartbeats in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Heartbeat intervals of silence after which a connection is abandoned. */
const SILENT_INTERVALS = 2;

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

/** Authenticated json-rpc-2.0 connection between two of our processes, with heartbeats both ways. */
export class PeerConnection {
  private readonly rpc: JSONRPCServerAndClient;
  private readonly heartbeat: Repeater;
  private readonly closeListeners = new Set<() => void>();
  private lastHeardAtMs: number;
  private closed = false;

  /**
   * @param socket - Open socket.
   * @param clock - Source of time.
   * @param methods - What this end offers.
   * @param peerName - Name of the other end, for logs.
   * @param traffic - Counts the bytes.
   */
  constructor(
    private readonly socket: WebSocket,
    private readonly clock: Clock,
    methods: PeerMethods,
    readonly peerName: string,
    private readonly traffic: TrafficMeter,
  ) {
    const client = new JSONRPCClient((payload) => this.send(JSON.stringify(payload)));
    const server = new JSONRPCServer({ errorListener: () => undefined });
    for (const [name, method] of Object.entries(methods)) {
      server.addMethod(name, (params) => method(params as never, this));
    }
    this.rpc = new JSONRPCServerAndClient(server, client);
    this.lastHeardAtMs = clock.nowMs();
    this.heartbeat = new Repeater(clock, HEARTBEAT_INTERVAL_MS, () => this.beat());
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
    return (await this.rpc.request(method, params)) as T;
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
    const silentMs = this.clock.nowMs() - this.lastHeardAtMs;
    if (silentMs > SILENT_INTERVALS * HEARTBEAT_INTERVAL_MS) {
      this.abandon();
      return;
    }
    if (this.socket.readyState === WebSocket.OPEN) {
      this.traffic.noteSent(0);
      this.socket.ping();
    }
  }

  private noteHeard(payloadBytes: number): void {
    this.traffic.noteReceived(payloadBytes);
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
    void this.rpc.receiveAndSend(payload);
  }

  private send(text: string): void {
    if (this.socket.readyState !== WebSocket.OPEN) {
      throw new ConnectionLostError();
    }
    this.traffic.noteSent(text.length);
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
