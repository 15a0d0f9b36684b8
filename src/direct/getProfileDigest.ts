import { createHash } from 'node:crypto';
import type { EngineProfile } from './decisions/index.js';

/** Digests by profile; a configuration has one profile for all engines of a service. */
const digests = new WeakMap<EngineProfile, string>();

/**
 * Returns the digest of an engine profile, the same on all routers that have read it from the same configuration.
 * @param profile - The profile.
 */
export function getProfileDigest(profile: EngineProfile): string {
  let digest = digests.get(profile);
  if (digest === undefined) {
    const text = JSON.stringify({ ...profile, models: [...profile.models] });
    digest = createHash('sha1').update(text).digest('base64url');
    digests.set(profile, digest);
  }
  return digest;
}
