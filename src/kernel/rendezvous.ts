import murmurhash from 'murmurhash';

/** Number of different hash values. */
const HASH_RANGE = 2 ** 32;
/** Largest code of a character that is one byte in UTF-8. */
const MAX_ASCII_CODE = 127;

/**
 * Hashes a key and a candidate to a number in [0, 1), the same in every process.
 * @param key - Key to assign.
 * @param candidate - Candidate that the key may be assigned to.
 */
export function hashToFraction(key: string, candidate: string): number {
  return murmurhash.v3(`${key}|${candidate}`) / HASH_RANGE;
}

/**
 * Orders candidates by their hashes with a key, the same way in every process. The order of two candidates does not depend on
 * the others.
 * @param key - Key to assign.
 * @param candidates - Candidates that the key may be assigned to.
 */
export function rankForKey(key: string, candidates: Iterable<string>): string[] {
  const weights = new Map<string, number>();
  for (const candidate of candidates) {
    weights.set(candidate, hashToFraction(key, candidate));
  }
  return [...weights.keys()].sort((left, right) => (weights.get(right) ?? 0) - (weights.get(left) ?? 0));
}

/**
 * Returns the first candidates in the order of {@link rankForKey}, without sorting all of them.
 * @param key - Key to assign.
 * @param candidates - Candidates that the key may be assigned to.
 * @param count - Maximum number of candidates to return.
 */
export function findFirstForKey(key: string, candidates: Iterable<string>, count: number): string[] {
  const hash = makeHash(key);
  const first: { readonly candidate: string; readonly weight: number }[] = [];
  for (const candidate of candidates) {
    const weight = hash(candidate);
    let position = first.length;
    while (position > 0 && weight > (first[position - 1]?.weight ?? Infinity)) {
      position--;
    }
    if (position < count && !first.some((other) => other.candidate === candidate)) {
      first.splice(position, 0, { candidate, weight });
      first.length = Math.min(first.length, count);
    }
  }
  return first.map(({ candidate }) => candidate);
}

/** Returns {@link hashToFraction} of a key, for many candidates: the key is encoded once, and ASCII without a new buffer. */
function makeHash(key: string): (candidate: string) => number {
  const prefix = new TextEncoder().encode(`${key}|`);
  let buffer = new Uint8Array(0);
  return (candidate) => {
    const length = prefix.length + candidate.length;
    if (buffer.length !== length) {
      buffer = new Uint8Array(length);
      buffer.set(prefix);
    }
    for (let index = 0; index < candidate.length; index++) {
      const code = candidate.charCodeAt(index);
      if (code > MAX_ASCII_CODE) {
        return hashToFraction(key, candidate);
      }
      buffer[prefix.length + index] = code;
    }
    return murmurhash.v3(buffer) / HASH_RANGE;
  };
}

/** Item with an id and the data centre that it runs in. */
interface RankableItem {
  readonly id: string;
  readonly dataCentre: string;
}

/**
 * Ranks items the same way in every process; consecutive items are in different data centres where possible.
 * @param items - The items.
 */
export function rankByHash(items: readonly RankableItem[]): Map<string, number> {
  const idsByDataCentre = new Map<string, string[]>();
  for (const { id, dataCentre } of items) {
    idsByDataCentre.set(dataCentre, [...(idsByDataCentre.get(dataCentre) ?? []), id]);
  }
  const groups = [...idsByDataCentre]
    .sort(([left], [right]) => hashToFraction('data centre', left) - hashToFraction('data centre', right))
    .map(([, ids]) =>
      ids.sort((left, right) => hashToFraction('place', left) - hashToFraction('place', right)),
    );
  const ranks = new Map<string, number>();
  for (let position = 0; ranks.size < items.length; position++) {
    for (const group of groups) {
      const id = group[position];
      if (id !== undefined) {
        ranks.set(id, ranks.size);
      }
    }
  }
  return ranks;
}
