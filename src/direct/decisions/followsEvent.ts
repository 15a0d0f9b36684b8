/** Start of a line with the id of an event. */
const ID_LINE = /^id:([^\r\n]*)/m;
/** An id that can be compared by size. */
const NUMBER = /^\d{1,40}$/;

/**
 * Whether events can follow an event of the same stream: ids increase, so the first of them must have a higher one.
 * @param bytes - Complete events; without an id they may follow any event.
 * @param lastEventId - ID of the event before; undefined if there is none.
 */
export function followsEvent(bytes: Buffer, lastEventId: string | undefined): boolean {
  const firstEventId =
    lastEventId === undefined ? undefined : ID_LINE.exec(bytes.toString('latin1'))?.[1]?.trim();
  if (lastEventId === undefined || firstEventId === undefined) {
    return true;
  }
  return NUMBER.test(firstEventId) && NUMBER.test(lastEventId)
    ? BigInt(firstEventId) > BigInt(lastEventId)
    : firstEventId !== lastEventId;
}
