import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import { connect, type Socket } from 'node:net';
import { ChunkCollector, type ByteBudget, type Clock, type Timer } from '../kernel/index.js';
import type { ServerId } from '../domain/index.js';
import type { CallerAccess } from '../organisations/index.js';
import { checkResetBeforeEnd, endsWithConnection, findHeadFault } from '../transport/index.js';
import type { AttemptEnd, BreakCause, ResponseHead } from './attemptEnds.js';
import { EventSplitter, followsEvent, ResponseProgress, type CompleteEvents } from './decisions/index.js';
import type { RequestHeaders, HeaderCodec, ServerNotice } from './HeaderCodec.js';

/** Timeout for opening a connection, in milliseconds; the latency between data centres is a few milliseconds. */
const CONNECT_TIMEOUT_MS = 200;
/** Maximum size of a response that is buffered until it is complete, in bytes. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
/** Interval at which the listener is notified again while a server stays silent, in milliseconds. */
const SILENCE_INTERVAL_MS = 250;
/** Status of a stream; with any other one, events are part of a whole response. */
const STREAM_STATUS = 200;
/** Part of a body that counts as progress and restarts the timeout between chunks, in bytes; single bytes do not. */
const BODY_PROGRESS_BYTES = 256;

/** Parameters of one send of a request to one backend server. */
export interface AttemptParams {
  readonly serverId: ServerId;
  /** Host and port of the server. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly headers: RequestHeaders;
  readonly remainingMs: () => number;
  readonly urgency?: number;
  /** What the request's key gives access to. */
  readonly access: CallerAccess;
  /** Returns the ID of the event after which a stream is resumed. */
  readonly getLastEventId: () => string | undefined;
  /** Whether the caller has received a part of a stream, so that no other response can follow. */
  readonly isStreamBegun: () => boolean;
  /**
   * Time without a first event or chunk of the response after which the server counts as silent, in milliseconds; absent
   * if there is no alternative to waiting.
   */
  readonly firstChunkTimeoutMs?: number;
  /**
   * Time without an event, or without 256 bytes of another body, after which the server counts as silent once the response
   * has begun, in milliseconds.
   */
  readonly gapTimeoutMs?: number;
}

/** Receives the events of a stream as they arrive. */
export interface AttemptListener {
  /** Called with what the server states about itself in the head of any response. */
  onServerNotice(notice: ServerNotice): void;
  /** Called with the head of a stream before its first events. */
  onStreamStart(head: ResponseHead): void;
  /** Called with complete events. */
  onEvents(events: CompleteEvents): void;
  /** Called when the server exceeds a timeout, and regularly until it sends something; the attempt goes on. */
  onSilence(): void;
}

/**
 * Sends a request to a backend server on a new connection.
 *
 * A connection is used for one attempt only: data that a faulty server sends after its response cannot reach another
 * request, and a failure to connect shows that the server is down before any part of the request was sent.
 */
export class BackendAttempt {
  private socket: Socket | undefined;
  private clientRequest: ClientRequest | undefined;
  private response: IncomingMessage | undefined;
  private silenceTimer: Timer | undefined;
  private readonly progress = new ResponseProgress();
  private bufferedLength = 0;
  private receivedAtMs: number;
  private isServerSilent = false;
  private isSent = false;
  private result: AttemptEnd | undefined;
  private connected: Promise<boolean> | undefined;
  private readonly ended: Promise<AttemptEnd>;
  private resolveEnded: (end: AttemptEnd) => void = () => undefined;
  private readonly firstSign: Promise<void>;
  private resolveFirstSign: () => void = () => undefined;
  private progressListeners: (() => void)[] = [];

  /**
   * @param clock - Source of timers.
   * @param codec - Codec for the headers of requests and responses.
   * @param params - Request and server.
   * @param listener - Receives the events of a stream.
   * @param bufferBudget - Memory for responses that are buffered until they are complete.
   */
  constructor(
    private readonly clock: Clock,
    private readonly codec: HeaderCodec,
    private readonly params: AttemptParams,
    private readonly listener: AttemptListener,
    private readonly bufferBudget: ByteBudget,
  ) {
    this.receivedAtMs = clock.nowMs();
    this.ended = new Promise((resolve) => {
      this.resolveEnded = resolve;
    });
    this.firstSign = new Promise((resolve) => {
      this.resolveFirstSign = resolve;
    });
  }

  private get hasEnded(): boolean {
    return this.result !== undefined;
  }

  /** Result of the attempt; undefined while it is in progress. */
  get end(): AttemptEnd | undefined {
    return this.result;
  }

  /** When the server last sent anything; the start of the attempt until then. */
  get lastReceivedAtMs(): number {
    return this.receivedAtMs;
  }

  /** Whether the server exceeds a timeout at the moment. */
  get isSilent(): boolean {
    return this.isServerSilent && !this.hasEnded;
  }

  /** Opens the connection; resolves with whether the server has accepted it. Nothing is sent yet. */
  connect(): Promise<boolean> {
    this.connected ??= this.open();
    return this.connected;
  }

  /** Sends the request; resolves with the result of the attempt. */
  async run(): Promise<AttemptEnd> {
    if (await this.connect()) {
      this.send();
    }
    return this.ended;
  }

  /** Resolves when the server has sent the first events of a stream or the head of another response, or the attempt has ended. */
  waitForSign(): Promise<void> {
    return this.firstSign;
  }

  /** Resolves when a silent server goes on, or the attempt has ended. */
  waitForProgress(): Promise<void> {
    return new Promise((resolve) => {
      this.progressListeners.push(resolve);
    });
  }

  /** Cancels the attempt; the server stops the request when the connection is closed. */
  cancel(): void {
    this.finish({ kind: 'cancelled' });
  }

  /** Ends the attempt at a silent server, because another server takes the request over. */
  abandon(): void {
    this.finish({ kind: 'broken', detail: 'the server fell silent', cause: 'silence' });
  }

  /** Stops reading the response until `resume` is called; time in between does not count as silence of the server. */
  pause(): void {
    this.response?.pause();
    this.restartSilenceTimer(undefined);
  }

  /** Continues reading the response. */
  resume(): void {
    if (!this.hasEnded) {
      this.response?.resume();
      this.restartSilenceTimer(this.params.gapTimeoutMs);
    }
  }

  private open(): Promise<boolean> {
    const [host, port] = this.params.address.split(':');
    const socket = connect({ host, port: Number(port), noDelay: true });
    this.socket = socket;
    const timer = this.clock.schedule(CONNECT_TIMEOUT_MS, () =>
      this.finish({ kind: 'unreachable', detail: 'connection timed out' }),
    );
    socket.on('error', this.onConnectError);
    return new Promise((resolve) => {
      void this.ended.then(() => {
        timer.cancel();
        resolve(false);
      });
      socket.once('connect', () => {
        timer.cancel();
        resolve(true);
      });
    });
  }

  private readonly onConnectError = (error: Error): void => {
    this.finish({ kind: 'unreachable', detail: error.message });
  };

  private send(): void {
    const { socket } = this;
    if (this.hasEnded || !socket || this.isSent) {
      return;
    }
    this.isSent = true;
    socket.off('error', this.onConnectError);
    const { params } = this;
    const headers = this.codec.encodeAttempt(params.headers, {
      serverId: params.serverId,
      remainingMs: params.remainingMs(),
      urgency: params.urgency,
      access: params.access,
      lastEventId: params.getLastEventId(),
    });
    if (params.body.length > 0) {
      headers['Content-Length'] = params.body.length;
    }
    const { method, path } = params;
    const clientRequest = request({ createConnection: () => socket, method, path, headers, setHost: false });
    this.clientRequest = clientRequest;
    clientRequest.on('error', (error) => {
      // Bytes after a whole response belong to no request; the end of the response is emitted after their error.
      if (this.response?.complete !== true) {
        this.fail(error.message);
      }
    });
    clientRequest.on('response', (response) => this.onResponse(response));
    clientRequest.on('upgrade', () => this.fail('the server changed the protocol'));
    clientRequest.on('information', () => {
      this.progress.recordInterimResponse();
      this.checkProgress();
    });
    socket.on('data', (chunk: Buffer) => {
      this.receivedAtMs = this.clock.nowMs();
      this.progress.recordReceived(chunk.length);
      this.checkProgress();
    });
    clientRequest.end(params.body);
    this.restartSilenceTimer(params.firstChunkTimeoutMs);
  }

  private onResponse(response: IncomingMessage): void {
    this.response = response;
    const fault = findHeadFault(response);
    if (fault !== undefined) {
      this.fail(fault);
      return;
    }
    const status = response.statusCode ?? 0;
    const { headers, serverId } = this.params;
    const decoded = this.codec.decodeResponse(status, response.headers, headers.requestId, serverId);
    this.notify(() => this.listener.onServerNotice(decoded.serverNotice));
    response.on('error', (error) => this.fail(error.message));
    response.on('aborted', () => this.fail('the answer ended early'));
    if (decoded.isNotRun) {
      this.finish({ kind: 'notRun', status, isOtherServer: decoded.isFromOtherServer });
      return;
    }
    if (!decoded.isAuthentic) {
      this.fail('the answer is not signed or belongs to another request');
      return;
    }
    const isEndMarked = !endsWithConnection(response) || this.params.method === 'HEAD';
    if (!isEndMarked) {
      checkResetBeforeEnd(response.socket, () => this.fail('the connection was reset'));
    }
    const head: ResponseHead = { status, headers: decoded.forwarded };
    const hasEvents = String(response.headers['content-type'] ?? '').startsWith('text/event-stream');
    if (hasEvents && status === STREAM_STATUS) {
      this.readStream(response, head, isEndMarked);
    } else if (this.params.isStreamBegun()) {
      this.failToContinue(head);
    } else {
      this.readBody(response, head);
    }
  }

  /**
   * Passes the events of a stream on.
   * @param response - Response of the server.
   * @param head - Head of the response to the caller.
   * @param isEndMarked - Whether the end of the response shows that it is complete; a closed connection alone does not.
   */
  private readStream(response: IncomingMessage, head: ResponseHead, isEndMarked: boolean): void {
    const splitter = new EventSplitter();
    let hasStarted = false;
    response.on('data', (chunk: Buffer) => {
      const events = splitter.push(chunk);
      if (this.hasEnded) {
        return;
      }
      if (events.eventCount === 0) {
        return;
      }
      this.resolveFirstSign();
      this.progress.recordBody(events.bytes.length);
      this.restartSilenceTimer(this.params.gapTimeoutMs);
      if (!hasStarted) {
        hasStarted = true;
        if (this.params.isStreamBegun() && !followsEvent(events.bytes, this.params.getLastEventId())) {
          this.fail('the stream repeats events', 'answer');
          return;
        }
        this.notify(() => this.listener.onStreamStart(head));
      }
      this.notify(() => this.listener.onEvents(events));
    });
    response.on('end', () => {
      // A response without a length also ends after an error.
      if (this.hasEnded) {
        return;
      }
      const isEmpty = !hasStarted && !isEndMarked;
      if (!response.complete || splitter.hasPartialEvent || isEmpty) {
        this.fail('the stream ended early');
        return;
      }
      if (!hasStarted) {
        this.notify(() => this.listener.onStreamStart(head));
      }
      this.finish({ kind: 'streamed' });
    });
  }

  private readBody(response: IncomingMessage, head: ResponseHead): void {
    const chunks = new ChunkCollector();
    let progressLength = 0;
    this.resolveFirstSign();
    response.on('data', (chunk: Buffer) => {
      this.progress.recordBody(chunk.length);
      if (this.bufferedLength === 0 || this.bufferedLength - progressLength >= BODY_PROGRESS_BYTES) {
        progressLength = this.bufferedLength;
        this.restartSilenceTimer(this.params.gapTimeoutMs ?? this.params.firstChunkTimeoutMs);
      }
      if (this.hasEnded) {
        return;
      }
      const isTooLarge = this.bufferedLength + chunk.length > MAX_BUFFERED_BYTES;
      if (isTooLarge || !this.bufferBudget.tryTake(chunk.length)) {
        const detail = isTooLarge ? 'the answer is too large' : 'there is no memory left for the answer';
        this.fail(detail, 'router');
        return;
      }
      this.bufferedLength += chunk.length;
      chunks.push(chunk);
    });
    response.on('end', () => {
      if (!response.complete) {
        this.fail('the answer ended early');
      } else if (this.params.isStreamBegun()) {
        this.failToContinue(head);
      } else {
        this.finish({ kind: 'answered', head, body: chunks.take() });
      }
    });
  }

  /** Runs a listener; an error that it throws ends the attempt, not the process. */
  private notify(run: () => void): void {
    if (this.hasEnded) {
      return;
    }
    try {
      run();
    } catch (error) {
      this.fail(`the response cannot be passed on: ${String(error)}`, 'router');
    }
  }

  private checkProgress(): void {
    if (this.progress.isEndless) {
      this.fail('the answer goes on without end');
    }
  }

  private restartSilenceTimer(timeoutMs: number | undefined): void {
    this.silenceTimer?.cancel();
    this.silenceTimer = undefined;
    this.isServerSilent = false;
    this.notifyProgress();
    if (timeoutMs !== undefined && !this.hasEnded) {
      this.silenceTimer = this.clock.schedule(timeoutMs, () => this.notifySilence());
    }
  }

  private notifyProgress(): void {
    const listeners = this.progressListeners;
    this.progressListeners = [];
    for (const listener of listeners) {
      listener();
    }
  }

  private notifySilence(): void {
    this.isServerSilent = true;
    this.silenceTimer = this.clock.schedule(SILENCE_INTERVAL_MS, () => this.notifySilence());
    this.listener.onSilence();
  }

  private finish(end: AttemptEnd): void {
    if (this.hasEnded) {
      return;
    }
    this.result = end;
    this.resolveFirstSign();
    this.notifyProgress();
    this.silenceTimer?.cancel();
    this.clientRequest?.destroy();
    this.socket?.destroy();
    if (end.kind !== 'answered') {
      this.bufferBudget.release(this.bufferedLength);
    }
    this.resolveEnded(end);
  }

  private fail(detail: string, cause: BreakCause = 'server'): void {
    this.finish({ kind: 'broken', detail, cause });
  }

  /** Fails the attempt because of a response that cannot continue the stream of which the caller has a part. */
  private failToContinue({ status }: ResponseHead): void {
    this.fail(`the answer with status ${status} is not the rest of the stream`, 'answer');
  }
}
