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

/** Something that stands in a data centre. */
interface Placed {
  readonly id: string;
  readonly dataCentre: string;
}

/**
 * Ranks places the same way in every process, neighbours in different data centres where possible.
 * @param places - The places.
 */
export function rankPlaces(places: readonly Placed[]): Map<string, number> {
  const idsByDataCentre = new Map<string, string[]>();
  for (const { id, dataCentre } of places) {
    idsByDataCentre.set(dataCentre, [...(idsByDataCentre.get(dataCentre) ?? []), id]);
  }
  const lanes = [...idsByDataCentre]
    .sort(([left], [right]) => murmur('data centre', left) - murmur('data centre', right))
    .map(([, ids]) => ids.sort((left, right) => murmur('place', left) - murmur('place', right)));
  const ranks = new Map<string, number>();
  for (let depth = 0; ranks.size < places.length; depth++) {
    for (const lane of lanes) {
      const id = lane[depth];
      if (id !== undefined) {
        ranks.set(id, ranks.size);
      }
    }
  }
  return ranks;
}
