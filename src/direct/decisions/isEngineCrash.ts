import type { EngineCrash } from './EngineCrashRecorder.js';

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
 * Whether a value is a crash of an engine. A process of another version may send other values.
 * @param value - Value as received.
 */
export function isEngineCrash(value: unknown): value is EngineCrash {
  const { bornAtMs, ageMs, requestCounts, positions = {} } = Object(value) as Partial<EngineCrash>;
  return (
    Number.isFinite(bornAtMs) &&
    Number.isFinite(ageMs) &&
    isNumberByPart(requestCounts) &&
    isNumberByPart(positions)
  );
}

function isNumberByPart(value: unknown): boolean {
  if (Object(value) !== value) {
    return false;
  }
  const numbers: unknown[] = Object.values(value as object);
  return numbers.length <= MAX_PARTS && numbers.every((number) => Number.isFinite(number));
}
