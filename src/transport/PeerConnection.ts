import {
  createJSONRPCNotification,
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import { WebSocket } from 'ws';
import type { Clock } from '../kernel/index.js';
import { PeriodicTask, runInBackground } from '../kernel/index.js';
import type { TrafficMeter } from './TrafficMeter.js';

/** Time between two heartbeats, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time since the last received data after which a heartbeat pings the other end, in milliseconds. */
const MAX_UNPROVEN_MS = 600;
/** Maximum time between two pings, in milliseconds; far below the other end's idle timeout. */
const PING_INTERVAL_MS = 5_000;
/** Heartbeat intervals without received data after which a connection in use is terminated. */
const MAX_SILENT_INTERVALS = 2;

/** Idle timeout at the end that opened the connection, in milliseconds. */
const DIALER_IDLE_TIMEOUT_MS = 15_000;
/** Idle timeout at the end that accepted the connection, in milliseconds; longer, so that the dialer closes first. */
const ACCEPTOR_IDLE_TIMEOUT_MS = 60_000;

/** Timeout of the closing handshake, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

/** Unsent data, in bytes, from which on the other end is taken to have stopped reading; far more than one burst of notifications. */
const MAX_UNSENT_BYTES = 4 * 1024 * 1024;

/** Thrown by a call whose connection is lost; the method may have been executed. */
export class ConnectionLostError extends Error {
  /** @param isRefused - Whether the address refused the connection, which means that its process has ended. */
  constructor(readonly isRefused = false) {
    super('The connection was lost before the answer came.');
  }
}

/** Methods that one end provides; each receives the caller's parameters and the connection. */
export type PeerMethods = Readonly<Record<string, (params: never, connection: PeerConnection) => unknown>>;

/** A notification in the form in which it is sent. */
interface EncodedNotification {
  readonly method: string;
  readonly text: string;
}

/** Notifications by their parameters, so that one that goes to many connections is encoded once. */
const encodedNotifications = new WeakMap<object, EncodedNotification>();

/** Authenticated JSON-RPC 2.0 connection between two processes of the fleet, with heartbeats while it is in use. */
export class PeerConnection {
  private readonly rpc: JSONRPCServerAndClient;
  private readonly heartbeat: PeriodicTask;
  private readonly closeListeners = new Set<() => void>();
  private lastReceivedAtMs: number;
  private lastPingAtMs = -Infinity;
  /** Time at which the current use began; undefined while the connection is not in use. */
  private usedSinceMs: number | undefined;
  private useCount = 0;
  private closed = false;
  private isUnread = false;

  /**
   * @param socket - Open WebSocket.
   * @param clock - Source of time.
   * @param methods - Methods provided to the other end.
   * @param peerName - Name of the other end, used in logs.
   * @param traffic - Meter of the bytes exchanged.
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
    this.lastReceivedAtMs = clock.nowMs();
    this.heartbeat = new PeriodicTask(clock, HEARTBEAT_INTERVAL_MS, () => this.onHeartbeat());
    this.heartbeat.start();
    socket.on('message', (message) => this.receive(String(message)));
    socket.on('ping', () => this.recordReceived(0));
    socket.on('pong', () => this.recordReceived(0));
    socket.on('close', () => this.markClosed());
    socket.on('error', () => this.terminate());
  }

  /** Whether calls are still possible. */
  get isOpen(): boolean {
    return !this.closed;
  }

  /** Whether the connection was terminated because the other end did not read. */
  get wasUnread(): boolean {
    return this.isUnread;
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

  /** Marks the connection as in use, which enables heartbeats, until the returned function is called. */
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
   * Sends a notification, which has no reply.
   * @param method - Name of the method.
   * @param params - Parameters; must not change afterwards, since they may be sent on other connections too.
   */
  notify(method: string, params: object): void {
    if (!this.closed && this.socket.readyState === WebSocket.OPEN) {
      this.send(encodeNotification(method, params));
    }
  }

  /**
   * Adds a listener for the loss or closing of the connection; returns a function that removes it.
   * @param listener - Called once; at once when the connection is closed already.
   */
  onClose(listener: () => void): () => void {
    if (this.closed) {
      listener();
      return () => undefined;
    }
    this.closeListeners.add(listener);
    return () => this.closeListeners.delete(listener);
  }

  /** Closes the connection once pending data is sent, or after a timeout. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.onClose(resolve);
      this.clock.schedule(CLOSE_TIMEOUT_MS, resolve);
      this.socket.close();
    });
    this.terminate();
  }

  /** Terminates the connection at once, without a closing handshake. */
  terminate(): void {
    this.socket.terminate();
    this.markClosed();
  }

  private onHeartbeat(): void {
    const nowMs = this.clock.nowMs();
    if (this.usedSinceMs === undefined) {
      this.closeWhenIdle(nowMs);
      return;
    }
    const silentMs = nowMs - Math.max(this.lastReceivedAtMs, this.usedSinceMs);
    if (silentMs > MAX_SILENT_INTERVALS * HEARTBEAT_INTERVAL_MS) {
      this.terminate();
      return;
    }
    // Received data proves the other end as well as a pong does; the other end needs a sign of life now and then too.
    const needsPing =
      nowMs - this.lastReceivedAtMs > MAX_UNPROVEN_MS || nowMs - this.lastPingAtMs >= PING_INTERVAL_MS;
    if (needsPing && this.socket.readyState === WebSocket.OPEN) {
      this.lastPingAtMs = nowMs;
      this.traffic.recordSent(0);
      this.socket.ping();
    }
  }

  /** Terminates an unused connection; the accepting end waits much longer than the one that opened it. */
  private closeWhenIdle(nowMs: number): void {
    const limitMs = this.isDialer ? DIALER_IDLE_TIMEOUT_MS : ACCEPTOR_IDLE_TIMEOUT_MS;
    if (nowMs - this.lastReceivedAtMs > limitMs) {
      this.terminate();
    }
  }

  private recordReceived(payloadBytes: number): void {
    this.traffic.recordReceived(payloadBytes);
    this.lastReceivedAtMs = this.clock.nowMs();
  }

  private receive(text: string): void {
    this.recordReceived(text.length);
    let payload: unknown;
    try {
      payload = JSON.parse(text);
    } catch {
      this.terminate();
      return;
    }
    this.rpc.receiveAndSend(payload).catch(() => this.terminate());
  }

  private send(text: string): void {
    if (this.socket.readyState !== WebSocket.OPEN) {
      throw new ConnectionLostError();
    }
    if (this.socket.bufferedAmount > MAX_UNSENT_BYTES) {
      // What waits for an end that stands still would grow without a bound; it dials again when it goes on.
      this.isUnread = true;
      this.terminate();
      return;
    }
    this.traffic.recordSent(text.length);
    this.socket.send(text);
  }

  private markClosed(): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.heartbeat.stop();
    this.rpc.rejectAllPendingRequests('The connection was lost before the answer came.');
    for (const listener of this.closeListeners) {
      // The others must run too, and the caller is usually an event of the socket.
      runInBackground('listener of a closed connection', listener);
    }
  }
}

function encodeNotification(method: string, params: object): string {
  let encoded = encodedNotifications.get(params);
  if (encoded?.method !== method) {
    encoded = { method, text: JSON.stringify(createJSONRPCNotification(method, params)) };
    encodedNotifications.set(params, encoded);
  }
  return encoded.text;
}
