/** Time before a request's end for which lines on its model are included: the maximum time a request waits. */
const MODEL_HISTORY_MS = 30_000;

/** A log line with the fields that a trace uses. */
interface LogLine {
  readonly text: string;
  readonly atMs: number;
  readonly requestId: string | undefined;
  readonly model: string | undefined;
}

/**
 * Finds the log lines of one request and those on its model shortly before its end, in order of time.
 * @param lines - Log lines of any processes; text before the JSON and lines without JSON are ignored.
 * @param requestId - Id of the request.
 */
export function findTrace(lines: readonly string[], requestId: string): string[] {
  const decoded: LogLine[] = [];
  for (const text of lines) {
    const line = decodeLine(text);
    if (line) {
      decoded.push(line);
    }
  }
  const requestLines = decoded.filter((line) => line.requestId === requestId);
  const model = requestLines.find((line) => line.model !== undefined && line.model !== '')?.model;
  const endMs = requestLines.at(-1)?.atMs ?? -Infinity;
  const related = decoded.filter((line) => {
    const isModelLine = model !== undefined && line.requestId === undefined && line.model === model;
    return (
      line.requestId === requestId ||
      (isModelLine && line.atMs <= endMs && line.atMs > endMs - MODEL_HISTORY_MS)
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
