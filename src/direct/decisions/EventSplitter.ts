/** Byte that ends a line. */
const LINE_FEED = 0x0a;
/** Byte that may stand before the end of a line. */
const CARRIAGE_RETURN = 0x0d;
/** Largest event that is kept while it is incomplete, in bytes; events of engines hold a few tokens. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Whole events cut out of a stream. */
export interface CompleteEvents {
  /** Bytes of whole events, as they came; empty when none is complete yet. */
  readonly bytes: Buffer;
  /** Id of the last of them that has one. */
  readonly lastEventId?: string;
  readonly eventCount: number;
}

/** Cuts a server-sent event stream into whole events, so that a broken stream never leaves half an event behind. */
export class EventSplitter {
  private pending = Buffer.alloc(0);

  /** Whether the stream ended here would leave an incomplete event. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Whether an event has grown beyond what is kept. */
  get isOversized(): boolean {
    return this.pending.length > MAX_EVENT_BYTES;
  }

  /**
   * Takes the next bytes and gives the events that they complete.
   * @param chunk - Bytes of the stream.
   */
  push(chunk: Buffer): CompleteEvents {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    let wholeLength = 0;
    let lineStart = 0;
    let eventCount = 0;
    let eventId: string | undefined;
    let lastEventId: string | undefined;
    for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, lineStart)) {
      const lineEnd = at > lineStart && bytes[at - 1] === CARRIAGE_RETURN ? at - 1 : at;
      if (lineEnd > lineStart) {
        eventId = readId(bytes.toString('latin1', lineStart, lineEnd)) ?? eventId;
      } else {
        wholeLength = at + 1;
        lastEventId = eventId ?? lastEventId;
        eventId = undefined;
        eventCount++;
      }
      lineStart = at + 1;
    }
    this.pending = Buffer.from(bytes.subarray(wholeLength));
    return { bytes: bytes.subarray(0, wholeLength), lastEventId, eventCount };
  }
}

/** Reads the id off a line of an event. */
function readId(line: string): string | undefined {
  return line.startsWith('id:') ? line.slice(3).trim() : undefined;
}
