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
  const { bornAtMs, ageMs, requestCounts } = Object(value) as Partial<EngineCrash>;
  if (!Number.isFinite(bornAtMs) || !Number.isFinite(ageMs) || Object(requestCounts) !== requestCounts) {
    return false;
  }
  const counts: unknown[] = Object.values(requestCounts as object);
  return counts.length <= MAX_PARTS && counts.every((count) => Number.isFinite(count));
}
