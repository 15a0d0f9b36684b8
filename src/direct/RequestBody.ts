import type { IncomingMessage } from 'node:http';
import { ChunkCollector, type ByteBudget, type Clock, type Timer } from '../kernel/index.js';

/** Size up to which a body may take the part of the budget that larger ones leave free, in bytes. */
const SMALL_BODY_BYTES = 64 * 1024;
/** Share of the budget that only small bodies may take. */
const SMALL_BODIES_RESERVE_SHARE = 1 / 6;
/** Memory that a body of a declared size takes at least once it has begun to arrive, in bytes. */
const FIRST_PART_BYTES = 16 * 1024;
/** Factor by which the memory of a body of a declared size may exceed what has arrived; a larger one copies less. */
const GROWTH_FACTOR = 4;
/** Memory that a request takes beside its head and body, in bytes: its connection, parser and response. */
const REQUEST_BASE_BYTES = 16 * 1024;

/** Why a body was not received. */
export type BodyFailure =
  /** It exceeds the size limit. */
  | 'tooLarge'
  /** The heads and bodies of all requests together exceed the budget. */
  | 'noRoom'
  /** It was not complete in time. */
  | 'late'
  /** It was not complete when the process stopped. */
  | 'stopping';

/** Limits of a {@link RequestBody}. */
export interface RequestBodyLimits {
  readonly clock: Clock;
  /** Memory for the heads and bodies of all requests together. */
  readonly budget: ByteBudget;
  /** Returns the maximum size of a body, in bytes. */
  readonly getMaxBytes: () => number;
  /** Time until the body must be complete, in milliseconds. */
  readonly timeoutMs: number;
}

/** Receives a request's body; the request takes the size of its head and body from a budget until it is released. */
export class RequestBody {
  private timer: Timer | undefined;
  /** Received part of a body without a declared size. */
  private readonly chunks = new ChunkCollector();
  /** Received part of a body of a declared size, with room for more chunks. */
  private buffer: Buffer | undefined;
  /** Size of the body that the request declares, in bytes; 0 if none. */
  private readonly declaredBytes: number;
  private receivedBytes = 0;
  /** Part of the budget that the body takes, in bytes. */
  private takenBytes = 0;
  /** Part of the budget that the rest of the request takes, in bytes. */
  private headBytes = 0;
  private hasEnded = false;

  /**
   * @param request - The request.
   * @param limits - Limits of the body.
   * @param onComplete - Called with the whole body.
   * @param onFailure - Called once if the body is not received; the rest of it is then read and dropped.
   */
  constructor(
    private readonly request: IncomingMessage,
    private readonly limits: RequestBodyLimits,
    private readonly onComplete: (body: Buffer) => void,
    private readonly onFailure: (failure: BodyFailure) => void,
  ) {
    this.declaredBytes = Number(request.headers['content-length'] ?? 0);
  }

  /** Begins to receive the body. */
  start(): void {
    const { request, limits } = this;
    this.timer = limits.clock.schedule(limits.timeoutMs, () => this.fail('late'));
    request.on('data', (chunk: Buffer) => this.push(chunk));
    request.on('end', () => this.complete());
    if (this.tryTakeHead()) {
      this.admit(this.declaredBytes);
    }
  }

  /** Fails if the body is not complete yet, as the process is stopping. */
  endForShutdown(): void {
    this.fail('stopping');
  }

  /** Releases the request's part of the budget, and drops what was received of the body. */
  release(): void {
    this.releaseBody();
    this.limits.budget.release(this.headBytes);
    this.headBytes = 0;
  }

  private releaseBody(): void {
    this.hasEnded = true;
    this.timer?.cancel();
    this.chunks.clear();
    this.buffer = undefined;
    this.limits.budget.release(this.takenBytes);
    this.takenBytes = 0;
  }

  private tryTakeHead(): boolean {
    const headBytes = REQUEST_BASE_BYTES + getHeadBytes(this.request);
    if (!this.limits.budget.tryTake(headBytes)) {
      this.fail('noRoom');
      return false;
    }
    this.headBytes = headBytes;
    return true;
  }

  private push(chunk: Buffer): void {
    if (this.hasEnded) {
      return;
    }
    const offset = this.receivedBytes;
    this.receivedBytes += chunk.length;
    if (this.declaredBytes === 0) {
      if (this.tryTake(this.receivedBytes)) {
        this.chunks.push(chunk);
      }
    } else if (this.tryGrow()) {
      chunk.copy(this.buffer ?? chunk, offset);
    }
  }

  /** Makes room in the buffer for all that has been received; what has not been sent takes little, so that stalled bodies do. */
  private tryGrow(): boolean {
    const { receivedBytes, declaredBytes, buffer } = this;
    if (buffer && receivedBytes <= buffer.length) {
      return true;
    }
    const byteCount = Math.min(declaredBytes, Math.max(FIRST_PART_BYTES, receivedBytes * GROWTH_FACTOR));
    if (!this.tryTake(byteCount)) {
      return false;
    }
    this.buffer = Buffer.allocUnsafeSlow(byteCount);
    buffer?.copy(this.buffer);
    return true;
  }

  /** Raises what the body takes to the given size; fails if that is not allowed. */
  private tryTake(totalBytes: number): boolean {
    if (!this.admit(totalBytes)) {
      return false;
    }
    this.limits.budget.tryTake(totalBytes - this.takenBytes);
    this.takenBytes = totalBytes;
    return true;
  }

  /** Whether the body may take the given size, without taking it; fails if not. */
  private admit(totalBytes: number): boolean {
    const { budget, getMaxBytes } = this.limits;
    if (totalBytes > getMaxBytes()) {
      this.fail('tooLarge');
      return false;
    }
    const isSmall = Math.max(totalBytes, this.declaredBytes) <= SMALL_BODY_BYTES;
    const reservedBytes = isSmall ? 0 : budget.totalBytes * SMALL_BODIES_RESERVE_SHARE;
    if (!budget.hasRoom(totalBytes - this.takenBytes, reservedBytes)) {
      this.fail('noRoom');
      return false;
    }
    return true;
  }

  private complete(): void {
    if (this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    this.timer?.cancel();
    const { buffer } = this;
    this.buffer = undefined;
    this.onComplete(buffer ?? this.chunks.take());
  }

  private fail(failure: BodyFailure): void {
    if (!this.hasEnded) {
      this.releaseBody();
      this.onFailure(failure);
    }
  }
}

/** Returns the size of a request's line and headers, in bytes. */
function getHeadBytes({ method = '', url = '', rawHeaders }: IncomingMessage): number {
  let byteCount = method.length + url.length;
  for (const text of rawHeaders) {
    byteCount += text.length;
  }
  return byteCount;
}
