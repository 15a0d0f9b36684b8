import type { ObjectStore } from './ObjectStore.js';

/** Result of a conditional update after a lost response was resolved. */
export type ResolvedUpdate =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable' }
  /** The outcome could not be determined; the update may or may not have taken effect. */
  | { readonly kind: 'unknown' };

/**
 * Writes conditionally; after a lost response, reads the object back and compares its mark with the one written.
 * @param store - Object store of the platform.
 * @param path - Path of the object.
 * @param value - New value; its `mark` field identifies this write.
 * @param ifVersion - Version the object must have.
 */
export async function updateAndResolve(
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
