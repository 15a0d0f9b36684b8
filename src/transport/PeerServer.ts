import { timingSafeEqual, createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { Duplex } from 'node:stream';
import { WebSocketServer } from 'ws';
import type { Clock, Service } from '../kernel/index.js';
import { listenOrThrow, type ListenAddress } from './listenOrThrow.js';
import { PeerConnection, type PeerMethods } from './PeerConnection.js';
import { PortListener, type PortListenerDependencies } from './PortListener.js';
import type { TrafficMeter } from './TrafficMeter.js';

/** Maximum size of a message between two processes of the fleet, in bytes. */
export const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Time within which a connection must present its secret, in milliseconds. */
const OPENING_TIMEOUT_MS = 5_000;
/** Interval at which that time is checked, in milliseconds. */
const OPENING_CHECK_INTERVAL_MS = 1_000;

/** Compares two secrets in constant time. */
export function secretsEqual(left: string, right: string): boolean {
  const leftHash = createHash('sha256').update(left).digest();
  const rightHash = createHash('sha256').update(right).digest();
  return timingSafeEqual(leftHash, rightHash);
}

/** Accepts connections from other processes of the fleet. */
export class PeerServer implements Service {
  private readonly http: Server = createServer(
    { headersTimeout: OPENING_TIMEOUT_MS, connectionsCheckingInterval: OPENING_CHECK_INTERVAL_MS },
    (_request, response) => response.writeHead(404, { connection: 'close' }).end(),
  );
  private readonly sockets = new WebSocketServer({ noServer: true, maxPayload: MAX_MESSAGE_BYTES });
  private readonly connections = new Set<PeerConnection>();
  /** Open connections, upgraded or not; the HTTP server itself does not know those that are upgraded. */
  private readonly openSockets = new Set<Duplex>();
  private readonly listener: PortListener | undefined;
  private isStopping = false;

  /**
   * @param address - Address to listen on.
   * @param secret - Secret that the other end must present.
   * @param clock - Source of time.
   * @param methods - Methods provided to the other ends.
   * @param traffic - Meter of the bytes exchanged.
   * @param listenerDeps - Dependencies of the listener; without them, the start fails if the port is not available.
   */
  constructor(
    private readonly address: ListenAddress,
    private readonly secret: string,
    private readonly clock: Clock,
    private readonly methods: PeerMethods,
    private readonly traffic: TrafficMeter,
    private readonly listenerDeps?: PortListenerDependencies,
  ) {
    this.listener = listenerDeps && new PortListener(this.http, address, 'peer', listenerDeps);
    this.http.on('connection', (socket) => {
      this.openSockets.add(socket);
      socket.once('close', () => this.openSockets.delete(socket));
    });
    this.http.on('upgrade', (request, socket, head) => this.upgrade(request, socket, head));
  }

  async start(): Promise<void> {
    await (this.listener?.start() ?? listenOrThrow(this.http, this.address, 'peer'));
  }

  cancelStart(): void {
    this.listener?.stop();
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    this.listener?.stop();
    // The listener closes first: a peer that loses its connection redials at once, and the new connection would keep
    // the process alive.
    const closed = new Promise((resolve) => this.http.close(resolve));
    await Promise.all([...this.connections].map((connection) => connection.close()));
    for (const socket of this.openSockets) {
      socket.destroy();
    }
    await closed;
  }

  private upgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    // The HTTP server has removed its own listener, and an 'error' event without one would end the process.
    socket.on('error', () => socket.destroy());
    if (this.isStopping) {
      // The stop closes the connections that it found; another one would keep it from ending.
      socket.destroy();
      return;
    }
    const presented = request.headers.authorization ?? '';
    if (!secretsEqual(presented, `Bearer ${this.secret}`)) {
      socket.once('finish', () => socket.destroy());
      socket.end('HTTP/1.1 401 Unauthorized\r\nConnection: close\r\n\r\n');
      return;
    }
    const peerName = String(request.headers['x-monsoonglade-peer'] ?? 'unknown');
    this.sockets.handleUpgrade(request, socket, head, (webSocket) => {
      const connection = new PeerConnection(
        webSocket,
        this.clock,
        this.methods,
        peerName,
        this.traffic,
        false,
      );
      this.connections.add(connection);
      connection.onClose(() => {
        this.connections.delete(connection);
        if (connection.wasUnread) {
          this.listenerDeps?.metrics.count('unread_peers');
          this.listenerDeps?.log.warn('peer does not read', { peer: peerName });
        }
      });
    });
  }
}
