/** Time before a request's end for which lines on its model are shown, in milliseconds: the longest time it could wait. */
const MODEL_HISTORY_MS = 30_000;

/** A log line, decoded as far as a trace needs. */
interface LogLine {
  readonly text: string;
  readonly atMs: number;
  readonly requestId: string | undefined;
  readonly model: string | undefined;
}

/**
 * Finds the log lines of one request and those on its model in the time before, in order.
 * @param lines - Lines of the logs of any processes; what is before the JSON of a line and what is none is ignored.
 * @param requestId - The request.
 */
export function findTrace(lines: readonly string[], requestId: string): string[] {
  const decoded: LogLine[] = [];
  for (const text of lines) {
    const line = decodeLine(text);
    if (line) {
      decoded.push(line);
    }
  }
  const own = decoded.filter((line) => line.requestId === requestId);
  const model = own.find((line) => line.model !== undefined && line.model !== '')?.model;
  const endMs = own.at(-1)?.atMs ?? -Infinity;
  const related = decoded.filter((line) => {
    const isModel = model !== undefined && line.requestId === undefined && line.model === model;
    return (
      line.requestId === requestId || (isModel && line.atMs <= endMs && line.atMs > endMs - MODEL_HISTORY_MS)
    );
  });
  return related.sort((left, right) => left.atMs - right.atMs).map((line) => line.text);
}

function decodeLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    const { context, time } = JSON.parse(text.slice(start)) as {
      context?: { requestId?: string; model?: string };
      time?: number;
    };
    return { text, atMs: time ?? 0, requestId: context?.requestId, model: context?.model };
  } catch {
    return undefined;
  }
}
