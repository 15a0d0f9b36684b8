import { createHash, timingSafeEqual } from 'node:crypto';

/** Number of characters of a digest by which keys are indexed before they are compared in constant time. */
const INDEX_LENGTH = 8;

/**
 * Returns the digest under which a key is stored: its SHA-256, in hexadecimal.
 * @param key - The key.
 */
export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Something that callers authenticate as with one of its keys. */
export interface KeyOwner {
  /** SHA-256 of each key, in hexadecimal. */
  readonly keyDigests: readonly string[];
}

/** Digest of a key and its owner; undefined if several owners claim the key. */
interface KeyEntry<T> {
  readonly digest: Buffer;
  owner: T | undefined;
}

/** Finds the owner of a key by its digest; a key that several owners claim belongs to none of them. */
export class KeyDirectory<T extends KeyOwner> {
  private readonly entries = new Map<string, KeyEntry<T>[]>();
  private sharedCount = 0;

  /** @param owners - Owners of the keys. */
  constructor(owners: Iterable<T>) {
    for (const owner of owners) {
      for (const digest of owner.keyDigests) {
        this.add(digest.toLowerCase(), owner);
      }
    }
  }

  /** Number of keys that several owners claim. */
  get sharedKeyCount(): number {
    return this.sharedCount;
  }

  /**
   * Returns the owner of a key; undefined if there is none.
   * @param digest - Digest of the key, as of {@link digestKey}.
   */
  getOwner(digest: string): T | undefined {
    return this.getEntry(digest)?.owner;
  }

  private getEntry(digest: string): KeyEntry<T> | undefined {
    const presented = Buffer.from(digest, 'hex');
    let found: KeyEntry<T> | undefined;
    for (const entry of this.entries.get(digest.slice(0, INDEX_LENGTH)) ?? []) {
      if (entry.digest.length === presented.length && timingSafeEqual(entry.digest, presented)) {
        found = entry;
      }
    }
    return found;
  }

  private add(digest: string, owner: T): void {
    const known = this.getEntry(digest);
    if (!known) {
      const index = digest.slice(0, INDEX_LENGTH);
      const entry = { digest: Buffer.from(digest, 'hex'), owner };
      this.entries.set(index, [...(this.entries.get(index) ?? []), entry]);
    } else if (known.owner !== undefined && known.owner !== owner) {
      known.owner = undefined;
      this.sharedCount++;
    }
  }
}
