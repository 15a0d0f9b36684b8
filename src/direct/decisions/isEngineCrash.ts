import type { EngineCrash, PromptPartHistory } from './EngineCrashRecorder.js';

/** Maximum number of prompt parts that are accepted in one message. */
const MAX_PARTS = 1_000;

/**
 * Whether a value is a list of IDs of prompt parts. A process of another version may send other values.
 * @param value - Value as received.
 */
export function isPartList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.length <= MAX_PARTS && value.every((part) => typeof part === 'string');
}

/**
 * Whether a value is a list of what routers know of prompt parts. A process of another version may send other values.
 * @param value - Value as received.
 */
export function isHistoryList(value: unknown): value is readonly PromptPartHistory[] {
  return Array.isArray(value) && value.length <= MAX_PARTS && value.every((history) => isHistory(history));
}

/**
 * Whether a value is a crash of an engine. A process of another version may send other values.
 * @param value - Value as received.
 */
export function isEngineCrash(value: unknown): value is EngineCrash {
  const crash = Object(value) as Partial<EngineCrash>;
  const { bornAtMs, ageMs, requestCounts, positions = {}, requestCount = 0, histories = {} } = crash;
  return (
    Number.isFinite(bornAtMs) &&
    Number.isFinite(ageMs) &&
    isNumberByPart(requestCounts) &&
    isNumberByPart(positions) &&
    Number.isFinite(requestCount) &&
    Object(histories) === histories &&
    isHistoryList(Object.values(histories))
  );
}

function isHistory(value: unknown): boolean {
  const { share, wasAnswered } = Object(value) as Partial<PromptPartHistory>;
  return typeof share === 'number' && share > 0 && share <= 1 && typeof wasAnswered === 'boolean';
}

function isNumberByPart(value: unknown): boolean {
  if (Object(value) !== value) {
    return false;
  }
  const numbers: unknown[] = Object.values(value as object);
  return numbers.length <= MAX_PARTS && numbers.every((number) => Number.isFinite(number));
}
