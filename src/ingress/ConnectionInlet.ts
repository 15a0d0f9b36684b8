import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../kernel/index.js';
import type { ConnectionStage, ConnectionUse } from './chooseVictim.js';
import { findSliceEnd, type SliceKind } from './findSliceEnd.js';
import { ProcessorDebt } from './ProcessorDebt.js';

/** Size up to which the part of a head at the end of a slice is not counted, in bytes. */
const SMALL_SLICE_BYTES = 16 * 1024;
/** End of a head, of trailers or of a body in chunks. */
const EMPTY_LINE = '\r\n\r\n';

/** Response to a request that has not arrived completely, and so has not run. */
const REFUSAL =
  'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** Receives what a {@link ConnectionInlet} needs and takes. */
export interface InletOwner {
  readonly clock: Clock;
  /** Whether connections may have only one request each, since too many are open. */
  readonly isCrowded: boolean;
  /**
   * Records that requests were begun or answered.
   * @param count - Change of the number of open requests.
   */
  onRequests(count: number): void;
  /** Records that a connection waits for its response before its next request is read. */
  onHeld(): void;
  /** Whether other connections wait for their turn. */
  readonly isAwaited: boolean;
  /** Returns how long a connection may go on with further slices at once now, in milliseconds. */
  getAllowanceMs(): number;
  /**
   * Records processor time that a connection took for several slices at once.
   * @param usedMs - The time, in milliseconds.
   */
  onAllowanceUsed(usedMs: number): void;
  /**
   * Gives a connection a turn later.
   * @param inlet - Inlet of the connection.
   */
  requestTurn(inlet: ConnectionInlet): void;
  /**
   * Records bytes that begin or cease to be unfinished.
   * @param byteCount - Change of their number.
   */
  onUnfinished(byteCount: number): void;
  /**
   * Records bytes that begin or cease to wait.
   * @param byteCount - Change of their number.
   */
  onWaiting(byteCount: number): void;
}

/**
 * Passes the bytes of a connection on to the HTTP parser in slices, each of which takes a bounded processor time. While bytes
 * wait for their turn, no more are read.
 */
export class ConnectionInlet implements ConnectionUse {
  private readonly debt = new ProcessorDebt();
  quietSinceMs: number;
  unfinishedBytes = 0;
  keptHeadBytes = 0;
  unfinishedSinceMs = 0;
  waitingBytes = 0;
  private readonly pushOn: (bytes: Buffer | null) => boolean;
  private readonly readOn: (size: number) => void;
  /** Received bytes that wait; null stands for the end. */
  private readonly waiting: (Buffer | null)[] = [];
  /** Where the unparsed part of the first of them begins. */
  private offset = 0;
  private request: IncomingMessage | undefined;
  private response: ServerResponse | undefined;
  private isRefused = false;
  private openResponseCount = 0;
  private hasRequest = false;
  /** Whether the connection speaks HTTP; not after an upgrade. */
  private isHttp = true;
  /** Whether the stream has room for more. */
  private isWanted = true;
  /** Whether the parser has passed on a head since the last slice began. */
  private hasNewHead = false;
  /** Number of heads and parts of chunked bodies that the parser has passed on. */
  private eventCount = 0;

  /**
   * @param socket - Connection that the HTTP server has accepted.
   * @param owner - Receives what the connection needs and takes.
   */
  constructor(
    readonly socket: Socket,
    private readonly owner: InletOwner,
  ) {
    this.quietSinceMs = owner.clock.nowMs();
    this.pushOn = socket.push.bind(socket);
    this.readOn = socket._read.bind(socket);
    socket.push = (bytes: Buffer | null) => this.receive(bytes);
    socket._read = (size: number) => this.read(size);
    // The HTTP server lets its parser read connections by itself, up to 64 KB at once, unless there is such a listener.
    const noop = () => undefined;
    socket.on('data', noop);
    socket.off('data', noop);
  }

  get stage(): ConnectionStage {
    if (!this.isHttp) {
      return 'serving';
    }
    if (this.isBody) {
      return 'receiving';
    }
    if (this.openResponseCount > 0) {
      return 'serving';
    }
    return this.hasRequest ? 'idle' : 'unused';
  }

  /** Whether a request's body is being received. */
  private get isBody(): boolean {
    return this.request?.complete === false;
  }

  /** Whether the next request waits for the response to the one before. */
  private get isHeld(): boolean {
    return this.openResponseCount > 0 && !this.isBody && this.isHttp && this.owner.isCrowded;
  }

  private get sliceKind(): SliceKind {
    if (this.isBody) {
      return 'body';
    }
    return this.owner.isCrowded ? 'request' : 'requests';
  }

  /** Whether received bytes wait for their turn. */
  get isWaiting(): boolean {
    return this.waiting.length > 0;
  }

  /**
   * Returns the processor time that the connection has used lately beyond a small share, in milliseconds.
   * @param nowMs - Current time, in milliseconds.
   */
  getDebtMs(nowMs: number): number {
    return this.debt.getMs(nowMs);
  }

  /** Whether the connection has used so much processor time lately that it waits for its turn. */
  get isCostly(): boolean {
    return this.debt.isCostly(this.owner.clock.nowMs());
  }

  /**
   * Records that the head of a request is complete.
   * @param request - The request.
   * @param response - Its response.
   */
  beginRequest(request: IncomingMessage, response: ServerResponse): void {
    this.hasRequest = true;
    this.hasNewHead = true;
    this.request = request;
    this.response = response;
    this.eventCount++;
    this.openResponseCount++;
    this.owner.onRequests(1);
    if (request.headers['transfer-encoding'] !== undefined) {
      const pushBody = request.push.bind(request);
      request.push = (chunk: Buffer | null) => {
        this.eventCount++;
        return pushBody(chunk);
      };
    }
    response.once('close', () => {
      this.openResponseCount--;
      this.owner.onRequests(-1);
      this.response = this.response === response ? undefined : this.response;
      if (this.request === request && request.complete) {
        this.request = undefined;
      }
      this.requestTurn();
    });
  }

  /** Passes all further bytes on as they are, as the connection speaks another protocol from now on. */
  endHttp(): void {
    this.isHttp = false;
    this.setHeld(0, 0);
  }

  /**
   * Passes at least one slice of the waiting bytes on; returns the processor time that it took, in milliseconds.
   * @param allowanceMs - Processor time from which no further slice is begun, in milliseconds.
   * @param startedAtMs - Current time, in milliseconds.
   */
  run(allowanceMs: number, startedAtMs = this.owner.clock.nowMs()): number {
    const { clock } = this.owner;
    if (this.isHeld) {
      this.owner.onHeld();
      return 0;
    }
    let nowMs = startedAtMs;
    do {
      this.passSlice(nowMs);
      nowMs = clock.nowMs();
    } while (this.canGoOn && (!this.isHttp || nowMs - startedAtMs < allowanceMs));
    const usedMs = nowMs - startedAtMs;
    this.debt.add(usedMs, nowMs);
    if (!this.isWaiting) {
      this.setWaiting(0);
    } else if (this.isHeld) {
      this.owner.onHeld();
    } else {
      this.requestTurn();
    }
    return usedMs;
  }

  /** Closes the connection, with status 503 if a request has not arrived completely and no response is open or has begun. */
  refuse(): void {
    this.isRefused = true;
    const isHead = this.openResponseCount === 0 && !this.isBody && this.unfinishedBytes > 0;
    const isBody = this.openResponseCount === 1 && this.isBody && this.response?.headersSent === false;
    const isRefusable = this.isHttp && (isHead || isBody);
    if (isRefusable && this.socket.writable) {
      this.socket.end(REFUSAL, () => this.socket.destroy());
    } else {
      this.socket.destroy();
    }
  }

  /** Drops the waiting bytes of a closed connection. */
  release(): void {
    this.waiting.length = 0;
    this.setWaiting(0);
    this.setHeld(0, 0);
  }

  /** Takes bytes that were read; returns whether more may be read. */
  private receive(bytes: Buffer | null): boolean {
    if (this.isRefused) {
      return false;
    }
    const nowMs = this.owner.clock.nowMs();
    this.quietSinceMs = nowMs;
    if (this.isWaiting) {
      this.waiting.push(bytes);
      this.setWaiting(this.waitingBytes + (bytes?.length ?? 0));
      return false;
    }
    if (bytes === null || !this.isHttp) {
      return this.pushOn(bytes);
    }
    this.waiting.push(bytes);
    this.offset = 0;
    const isSingle = findSliceEnd(bytes, 0, this.sliceKind) === bytes.length;
    const isCostly = this.debt.isCostly(nowMs);
    const allowanceMs = isSingle && !isCostly ? 0 : this.owner.getAllowanceMs();
    if (isCostly && (!isSingle || allowanceMs <= 0 || this.owner.isAwaited)) {
      this.requestTurn();
    } else {
      const usedMs = this.run(allowanceMs, nowMs);
      if (!isSingle || isCostly) {
        this.owner.onAllowanceUsed(usedMs);
      }
    }
    if (this.isWaiting) {
      this.setWaiting(bytes.length);
      return false;
    }
    return this.isWanted;
  }

  /** Reads on once no bytes wait; before, the stream has room for more of them. */
  private read(size: number): void {
    if (!this.isWaiting) {
      this.isWanted = true;
      this.readOn(size);
    } else if (!this.isWanted) {
      this.isWanted = true;
      this.requestTurn();
    }
  }

  /** Whether waiting bytes can be passed on. */
  private get canGoOn(): boolean {
    return this.isWaiting && this.isWanted && !this.isHeld;
  }

  private requestTurn(): void {
    if (this.canGoOn) {
      this.owner.requestTurn(this);
    }
  }

  private passSlice(nowMs: number): void {
    const bytes = this.waiting[0];
    if (bytes === null || bytes === undefined || this.socket.destroyed) {
      this.waiting.length = 0;
      if (bytes === null && !this.socket.destroyed) {
        this.pushOn(null);
        this.socket.read(0);
      }
      return;
    }
    const end = this.isHttp ? findSliceEnd(bytes, this.offset, this.sliceKind) : bytes.length;
    const slice = end - this.offset === bytes.length ? bytes : bytes.subarray(this.offset, end);
    this.offset = end;
    if (end === bytes.length) {
      this.waiting.shift();
      this.offset = 0;
    }
    const { eventCount } = this;
    // The stream may ask for more while it takes the slice.
    this.isWanted = true;
    this.isWanted = this.pushOn(slice);
    this.recordSlice(slice, eventCount !== this.eventCount, nowMs);
    this.hasNewHead = false;
  }

  /** Counts the bytes of a slice as unfinished if they belong to no head or body that the parser has passed on. */
  private recordSlice(slice: Buffer, hasEvents: boolean, nowMs: number): void {
    const { request } = this;
    const isPlainBody = request?.complete === false && request.headers['transfer-encoding'] === undefined;
    const isUnfinished = this.isHttp && !hasEvents && !isPlainBody;
    if (isUnfinished) {
      this.unfinishedSinceMs = this.unfinishedBytes === 0 ? nowMs : this.unfinishedSinceMs;
      this.setHeld(this.unfinishedBytes + slice.length, this.keptHeadBytes);
      return;
    }
    const isKept = this.hasNewHead && this.unfinishedBytes > 0;
    const keptHeadBytes = isKept ? this.unfinishedBytes + slice.length : this.keptHeadBytes;
    const restBytes = this.isHttp && !this.isBody ? getRestLength(slice) : 0;
    this.unfinishedSinceMs = nowMs;
    this.setHeld(restBytes, this.hasNewHead && !isKept ? 0 : keptHeadBytes);
  }

  private setHeld(unfinishedBytes: number, keptHeadBytes: number): void {
    const change = unfinishedBytes + keptHeadBytes - this.unfinishedBytes - this.keptHeadBytes;
    this.unfinishedBytes = unfinishedBytes;
    this.keptHeadBytes = keptHeadBytes;
    if (change !== 0) {
      this.owner.onUnfinished(change);
    }
  }

  private setWaiting(byteCount: number): void {
    if (byteCount !== this.waitingBytes) {
      const change = byteCount - this.waitingBytes;
      this.waitingBytes = byteCount;
      this.owner.onWaiting(change);
    }
  }
}

/** Returns how much of a slice follows its last empty line, in bytes; 0 for a small slice, whatever follows. */
function getRestLength(slice: Buffer): number {
  if (slice.length < SMALL_SLICE_BYTES) {
    return 0;
  }
  const index = slice.lastIndexOf(EMPTY_LINE);
  return index === -1 ? 0 : slice.length - index - EMPTY_LINE.length;
}
