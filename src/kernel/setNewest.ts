/**
 * Sets an entry of a map as its newest one and discards the oldest entry when the map exceeds a size.
 * @param map - Map whose entries are ordered from the oldest to the newest.
 * @param key - Key of the entry.
 * @param value - Value of the entry.
 * @param maxSize - Maximum number of entries.
 */
export function setNewest<K, V>(map: Map<K, V>, key: K, value: V, maxSize: number): void {
  map.delete(key);
  map.set(key, value);
  const oldest = map.keys().next();
  if (map.size > maxSize && oldest.done !== true) {
    map.delete(oldest.value);
  }
}
