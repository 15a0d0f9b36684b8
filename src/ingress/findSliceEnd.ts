const LINE_FEED = 10;
/**
 * Maximum number of lines in a slice. A chunk of a body has two lines and costs the parser about 3 µs; the least request has
 * three lines.
 */
const MAX_LINES = 128;
/** Maximum number of lines in a slice that should begin one request at most. */
const SINGLE_REQUEST_LINES = 4;
/**
 * Maximum size of a slice outside of a body, in bytes: as much as is read at once. The parser copies the headers that go beyond a
 * slice, and keeps the copy until its next request.
 */
const HEAD_SLICE_BYTES = 64 * 1024;
/** Maximum size of a slice in a body, in bytes; of what follows a body within a slice, the parser does not tell the size. */
const BODY_SLICE_BYTES = 16 * 1024;

/** What a slice may hold. */
export type SliceKind =
  /** Parts of a body. */
  | 'body'
  /** Requests. */
  | 'requests'
  /** A part of a request, as too many are open. */
  | 'request';

/**
 * Returns where the next slice of received bytes ends, so that parsing it takes a bounded time.
 * @param bytes - Received bytes.
 * @param start - Where the slice begins.
 * @param kind - What the slice may hold.
 */
export function findSliceEnd(bytes: Buffer, start: number, kind: SliceKind): number {
  const limit = Math.min(bytes.length, start + (kind === 'body' ? BODY_SLICE_BYTES : HEAD_SLICE_BYTES));
  const maxLines = kind === 'request' ? SINGLE_REQUEST_LINES : MAX_LINES;
  let end = start;
  for (let lineCount = 0; lineCount < maxLines; lineCount++) {
    const index = bytes.indexOf(LINE_FEED, end);
    if (index === -1 || index >= limit) {
      return limit;
    }
    end = index + 1;
  }
  return end;
}
