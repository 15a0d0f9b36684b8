import murmurhash from 'murmurhash';

/** Number of values that the hash takes. */
const HASH_RANGE = 2 ** 32;

/**
 * Hashes a pair to a number from 0 up to, but without, 1, the same in every process.
 * @param key - What is placed.
 * @param place - Where it may be placed.
 */
export function murmur(key: string, place: string): number {
  return murmurhash.v3(`${key}|${place}`) / HASH_RANGE;
}
