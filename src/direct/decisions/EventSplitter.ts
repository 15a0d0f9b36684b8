/** Byte that ends a line. */
const LINE_FEED = 0x0a;
/** Optional byte before the end of a line. */
const CARRIAGE_RETURN = 0x0d;
/** Maximum size of an incomplete event, in bytes; events of engines contain a few tokens. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Complete events that were split off a stream. */
export interface CompleteEvents {
  /** Unchanged bytes of the complete events; empty when no event is complete yet. */
  readonly bytes: Buffer;
  /** Id of the last of these events that has one. */
  readonly lastEventId?: string;
  readonly eventCount: number;
}

/** Splits a server-sent event stream into complete events, so that a broken stream never ends in a partial event. */
export class EventSplitter {
  private pending = Buffer.alloc(0);

  /** Whether the last event is still incomplete. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Whether the incomplete event exceeds the maximum size. */
  get isOversized(): boolean {
    return this.pending.length > MAX_EVENT_BYTES;
  }

  /**
   * Appends bytes of the stream and returns the events that they complete.
   * @param chunk - Next bytes of the stream.
   */
  push(chunk: Buffer): CompleteEvents {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    let completeLength = 0;
    let lineStart = 0;
    let eventCount = 0;
    let eventId: string | undefined;
    let lastEventId: string | undefined;
    for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, lineStart)) {
      const lineEnd = at > lineStart && bytes[at - 1] === CARRIAGE_RETURN ? at - 1 : at;
      if (lineEnd > lineStart) {
        eventId = parseEventId(bytes.toString('latin1', lineStart, lineEnd)) ?? eventId;
      } else {
        completeLength = at + 1;
        lastEventId = eventId ?? lastEventId;
        eventId = undefined;
        eventCount++;
      }
      lineStart = at + 1;
    }
    this.pending = Buffer.from(bytes.subarray(completeLength));
    return { bytes: bytes.subarray(0, completeLength), lastEventId, eventCount };
  }
}

/** Returns the event id when the line is an `id` field. */
function parseEventId(line: string): string | undefined {
  return line.startsWith('id:') ? line.slice(3).trim() : undefined;
}
