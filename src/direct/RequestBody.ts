import type { IncomingMessage } from 'node:http';
import type { Clock, Timer } from '../kernel/index.js';
import type { ByteBudget } from './decisions/index.js';

/** Size up to which a body may take the part of the budget that larger ones leave free, in bytes. */
const SMALL_BODY_BYTES = 64 * 1024;
/** Part of the budget that only small bodies may take, in bytes. */
const SMALL_BODIES_RESERVE_BYTES = 8 * 1024 * 1024;
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
  private readonly timer: Timer;
  private chunks: Buffer[] = [];
  /** Body of a declared size, which the chunks are copied into as they arrive. */
  private buffer: Buffer | undefined;
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
    this.timer = limits.clock.schedule(limits.timeoutMs, () => this.fail('late'));
    request.on('data', (chunk: Buffer) => this.push(chunk));
    request.on('end', () => this.complete());
    if (this.tryTakeHead()) {
      this.reserveDeclaredSize();
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
    this.timer.cancel();
    this.chunks = [];
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

  /** Takes the size of a body that declares it, so that a body that has begun to arrive finds room for its rest. */
  private reserveDeclaredSize(): void {
    const declaredBytes = Number(this.request.headers['content-length'] ?? 0);
    if (declaredBytes > 0 && this.tryTake(declaredBytes)) {
      this.buffer = Buffer.allocUnsafeSlow(declaredBytes);
    }
  }

  private push(chunk: Buffer): void {
    if (this.hasEnded) {
      return;
    }
    const offset = this.receivedBytes;
    this.receivedBytes += chunk.length;
    if (this.buffer) {
      chunk.copy(this.buffer, offset);
    } else if (this.tryTake(this.receivedBytes)) {
      this.chunks.push(chunk);
    }
  }

  /** Raises what the body takes to the given size; fails if that is not allowed. */
  private tryTake(totalBytes: number): boolean {
    const { budget, getMaxBytes } = this.limits;
    if (totalBytes > getMaxBytes()) {
      this.fail('tooLarge');
      return false;
    }
    const reservedBytes = totalBytes > SMALL_BODY_BYTES ? SMALL_BODIES_RESERVE_BYTES : 0;
    if (!budget.tryTake(totalBytes - this.takenBytes, reservedBytes)) {
      this.fail('noRoom');
      return false;
    }
    this.takenBytes = totalBytes;
    return true;
  }

  private complete(): void {
    if (this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    this.timer.cancel();
    const { chunks, buffer } = this;
    this.chunks = [];
    this.buffer = undefined;
    this.onComplete(buffer ?? (chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks)));
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
