import { request, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders } from 'node:http';
import { connect, type Socket } from 'node:net';
import type { Clock, Timer } from '../kernel/index.js';
import type { ServerId } from '../domain/index.js';
import { EventSplitter, type CompleteEvents } from './decisions/index.js';
import type { RequestHeaders, HeaderCodec } from './HeaderCodec.js';

/** Time given to open a connection, in milliseconds: data centres are a few milliseconds apart. */
const CONNECT_TIMEOUT_MS = 200;
/** Largest answer that is kept until it is whole, in bytes. */
const MAX_KEPT_BYTES = 8 * 1024 * 1024;

/** One send of a request to one backend server. */
export interface AttemptOrder {
  readonly serverId: ServerId;
  /** Host and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly call: RequestHeaders;
  readonly remainingMs: () => number;
  readonly urgency?: number;
  /** Event after which a stream goes on. */
  readonly lastEventId?: string;
  /** Longest silence before the first piece of the answer, in milliseconds; absent where waiting is all one can do. */
  readonly firstPieceTimeoutMs?: number;
  /** Longest silence after it, in milliseconds. */
  readonly gapTimeoutMs?: number;
}

/** Head of an answer. */
export interface AttemptHead {
  readonly status: number;
  /**
   * Whether the answer states its own length. The end of one that doesn't may be the server's failure, so it is passed
   * on without a length too.
   */
  readonly isFramed: boolean;
  readonly headers: OutgoingHttpHeaders;
}

/** How an attempt ended. */
export type AttemptEnd =
  /** The connection was not established, so nothing was sent. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The server states that it did not run the request. */
  | { readonly kind: 'notRun'; readonly status: number; readonly isOtherServer: boolean }
  /** A whole answer that is not a stream. */
  | { readonly kind: 'answered'; readonly head: AttemptHead; readonly body: Buffer }
  /** The stream came to its end; its events were delivered as they came. */
  | { readonly kind: 'streamed' }
  /** The request may have run and there is no whole answer. */
  | { readonly kind: 'broken'; readonly detail: string; readonly isSilent: boolean }
  | { readonly kind: 'cancelled' };

/** Takes the events of a stream as they arrive. */
export interface AttemptListener {
  /** Takes the head of a stream before its first events. */
  streamStarted(head: AttemptHead): void;
  /** Takes whole events. */
  eventsArrived(events: CompleteEvents): void;
}

/**
 * Sends a request to a backend server on a connection of its own.
 *
 * A connection serves one attempt only: what a faulty server sends after its answer then reaches no other request, and
 * opening it shows whether the server lives before anything has left.
 */
export class BackendAttempt {
  private socket: Socket | undefined;
  private call: ClientRequest | undefined;
  private silence: Timer | undefined;
  private settled = false;
  private finish: (end: AttemptEnd) => void = () => undefined;

  /**
   * @param clock - Source of timers.
   * @param codec - Headers of requests and answers.
   * @param order - What is sent where.
   * @param listener - Takes the events of a stream.
   */
  constructor(
    private readonly clock: Clock,
    private readonly codec: HeaderCodec,
    private readonly order: AttemptOrder,
    private readonly listener: AttemptListener,
  ) {}

  /** Sends the request and resolves when it is certain how it ended. */
  run(): Promise<AttemptEnd> {
    return new Promise((resolve) => {
      this.finish = (end) => {
        if (!this.settled) {
          this.settled = true;
          this.silence?.cancel();
          this.call?.destroy();
          this.socket?.destroy();
          resolve(end);
        }
      };
      this.open();
    });
  }

  /** Gives the attempt up; closing the connection makes the server stop. */
  cancel(): void {
    this.finish({ kind: 'cancelled' });
  }

  private open(): void {
    const [host, port] = this.order.address.split(':');
    const socket = connect({ host, port: Number(port), noDelay: true });
    this.socket = socket;
    const timer = this.clock.schedule(CONNECT_TIMEOUT_MS, () =>
      this.finish({ kind: 'unreachable', detail: 'no connection in time' }),
    );
    const failed = (error: Error) => {
      timer.cancel();
      this.finish({ kind: 'unreachable', detail: error.message });
    };
    socket.once('error', failed);
    socket.once('connect', () => {
      timer.cancel();
      socket.off('error', failed);
      if (!this.settled) {
        this.send(socket);
      }
    });
  }

  private send(socket: Socket): void {
    const { order } = this;
    const headers = this.codec.encodeAttempt(order.call, {
      serverId: order.serverId,
      remainingMs: order.remainingMs(),
      urgency: order.urgency,
      lastEventId: order.lastEventId,
    });
    if (order.body.length > 0) {
      headers['Content-Length'] = order.body.length;
    }
    const { method, path } = order;
    const call = request({ createConnection: () => socket, method, path, headers, setHost: false });
    this.call = call;
    call.on('error', (error) => this.break(error.message));
    call.on('response', (response) => this.answerBegan(response));
    call.end(order.body);
    this.watchSilence(order.firstPieceTimeoutMs);
  }

  private answerBegan(response: IncomingMessage): void {
    const status = response.statusCode ?? 0;
    const { call, serverId } = this.order;
    const answer = this.codec.decodeResponse(status, response.headers, call.requestId, serverId);
    response.on('error', (error) => this.break(error.message));
    response.on('aborted', () => this.break('the answer ended early'));
    if (answer.isNotRun) {
      this.finish({ kind: 'notRun', status, isOtherServer: answer.isFromOtherServer });
      return;
    }
    if (!answer.isAuthentic) {
      this.break('the answer is not signed or belongs to another request');
      return;
    }
    const isFramed =
      response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined;
    const head: AttemptHead = { status, isFramed, headers: answer.forwarded };
    const isStream = String(response.headers['content-type'] ?? '').startsWith('text/event-stream');
    if (isStream && status < 300) {
      this.readStream(response, head);
    } else {
      this.readWhole(response, head);
    }
  }

  private readStream(response: IncomingMessage, head: AttemptHead): void {
    const cutter = new EventSplitter();
    let hasStarted = false;
    response.on('data', (chunk: Buffer) => {
      const events = cutter.push(chunk);
      if (this.settled) {
        return;
      }
      if (cutter.isOversized) {
        this.break('an event is too large');
        return;
      }
      if (events.eventCount === 0) {
        return;
      }
      this.watchSilence(this.order.gapTimeoutMs);
      if (!hasStarted) {
        hasStarted = true;
        this.listener.streamStarted(head);
      }
      this.listener.eventsArrived(events);
    });
    response.on('end', () => {
      if (!response.complete || cutter.hasPartialEvent) {
        this.break('the stream ended early');
        return;
      }
      if (!hasStarted) {
        this.listener.streamStarted(head);
      }
      this.finish({ kind: 'streamed' });
    });
  }

  private readWhole(response: IncomingMessage, head: AttemptHead): void {
    const chunks: Buffer[] = [];
    let length = 0;
    response.on('data', (chunk: Buffer) => {
      this.watchSilence(this.order.gapTimeoutMs);
      chunks.push(chunk);
      length += chunk.length;
      if (length > MAX_KEPT_BYTES) {
        this.break('the answer is too large');
      }
    });
    response.on('end', () => {
      if (response.complete) {
        this.finish({ kind: 'answered', head, body: Buffer.concat(chunks) });
      } else {
        this.break('the answer ended early');
      }
    });
  }

  private watchSilence(timeoutMs: number | undefined): void {
    this.silence?.cancel();
    this.silence = undefined;
    if (timeoutMs !== undefined && !this.settled) {
      this.silence = this.clock.schedule(timeoutMs, () =>
        this.finish({ kind: 'broken', detail: 'the server fell silent', isSilent: true }),
      );
    }
  }

  private break(detail: string): void {
    this.finish({ kind: 'broken', detail, isSilent: false });
  }
}
