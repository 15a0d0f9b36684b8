import type { ObjectStore } from './ObjectStore.js';

/** Outcome of an update whose lost answers were resolved. */
export type ResolvedUpdate =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable' }
  /** The platform stayed silent; the update may or may not have taken effect. */
  | { readonly kind: 'unknown' };

/**
 * Writes conditionally and settles a lost answer by reading the writer's own mark back.
 * @param store - The object API.
 * @param path - Path of the object.
 * @param value - New value, which carries the mark in its `mark` field.
 * @param ifVersion - Version the object must have.
 */
export async function updateResolved(
  store: ObjectStore,
  path: string,
  value: { readonly mark: string },
  ifVersion: number,
): Promise<ResolvedUpdate> {
  const result = await store.update(path, value, ifVersion);
  if (result.kind !== 'unknown') {
    return result;
  }
  const readBack = await store.read<{ readonly mark?: string }>(path);
  if (readBack.kind === 'unavailable') {
    return { kind: 'unknown' };
  }
  if (readBack.kind === 'found' && readBack.object.value.mark === value.mark) {
    return { kind: 'written', version: readBack.object.version };
  }
  const unchangedVersion = readBack.kind === 'found' ? readBack.object.version : 0;
  return unchangedVersion === ifVersion ? { kind: 'unknown' } : { kind: 'conflict' };
}
