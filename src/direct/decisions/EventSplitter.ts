/** Byte that ends a line. */
const LINE_FEED = 0x0a;
/** Optional byte before the end of a line. */
const CARRIAGE_RETURN = 0x0d;
/** Number of stored chunks of an incomplete event that are joined into one, which bounds the overhead of small chunks. */
const MAX_PENDING_CHUNKS = 64;
/** Start of a line with the id of an event. */
const ID_FIELD = 'id:';

/** Complete events that were split off a stream. */
export interface CompleteEvents {
  /** Unchanged bytes of the complete events; empty when no event is complete yet. */
  readonly bytes: Buffer;
  /** Id of the last of these events that has one. */
  readonly lastEventId?: string;
  readonly eventCount: number;
}

const NO_EVENTS: CompleteEvents = { bytes: Buffer.alloc(0), eventCount: 0 };

/**
 * Splits a server-sent event stream into complete events, so that a broken stream never ends in a partial event. Each
 * byte is examined once, however the stream is divided into chunks.
 */
export class EventSplitter {
  /** Chunks of the incomplete event. */
  private pendingChunks: Buffer[] = [];
  private pendingLength = 0;
  /** Length of the current line so far, in bytes. */
  private lineLength = 0;
  /** Whether the last byte of the current line so far is a carriage return. */
  private endsWithCarriageReturn = false;

  /** Whether the last event is still incomplete. */
  get hasPartialEvent(): boolean {
    return this.pendingLength > 0;
  }

  /**
   * Appends bytes of the stream and returns the events that they complete.
   * @param chunk - Next bytes of the stream.
   */
  push(chunk: Buffer): CompleteEvents {
    let completeLength = 0;
    let eventCount = 0;
    let lineStart = 0;
    for (let at = chunk.indexOf(LINE_FEED); at >= 0; at = chunk.indexOf(LINE_FEED, lineStart)) {
      if (this.isBlankLine(chunk, lineStart, at)) {
        completeLength = at + 1;
        eventCount++;
      }
      this.lineLength = 0;
      lineStart = at + 1;
    }
    if (lineStart < chunk.length) {
      this.lineLength += chunk.length - lineStart;
      this.endsWithCarriageReturn = chunk[chunk.length - 1] === CARRIAGE_RETURN;
    }
    if (eventCount === 0) {
      this.addPending(chunk);
      return NO_EVENTS;
    }
    const bytes = Buffer.concat([...this.pendingChunks, chunk.subarray(0, completeLength)]);
    this.pendingChunks = [];
    this.pendingLength = 0;
    this.addPending(Buffer.from(chunk.subarray(completeLength)));
    return { bytes, lastEventId: findLastEventId(bytes), eventCount };
  }

  /** Whether the current line, which ends at a position of the chunk, is empty apart from a carriage return. */
  private isBlankLine(chunk: Buffer, start: number, end: number): boolean {
    const length = this.lineLength + end - start;
    const isCarriageReturn = end > start ? chunk[start] === CARRIAGE_RETURN : this.endsWithCarriageReturn;
    return length === 0 || (length === 1 && isCarriageReturn);
  }

  private addPending(chunk: Buffer): void {
    if (chunk.length === 0) {
      return;
    }
    this.pendingChunks.push(chunk);
    this.pendingLength += chunk.length;
    if (this.pendingChunks.length > MAX_PENDING_CHUNKS) {
      this.pendingChunks = [Buffer.concat(this.pendingChunks)];
    }
  }
}

/** Returns the id in the last line that has one; undefined if there is none. */
function findLastEventId(bytes: Buffer): string | undefined {
  let at = bytes.lastIndexOf(ID_FIELD);
  while (at > 0 && bytes[at - 1] !== LINE_FEED) {
    at = bytes.lastIndexOf(ID_FIELD, at - 1);
  }
  if (at < 0) {
    return undefined;
  }
  return bytes.toString('latin1', at + ID_FIELD.length, bytes.indexOf(LINE_FEED, at)).trim();
}
