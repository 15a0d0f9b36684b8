import { ObjectStore, type Listing, type ReadResult, type UpdateResult } from '../../src/platform/index.js';

/** An object API that is always there and holds nothing for longer than a test. */
export class MemoryObjectStore extends ObjectStore {
  private readonly objects = new Map<string, { readonly value: unknown; readonly version: number }>();

  read<T>(path: string): Promise<ReadResult<T>> {
    const object = this.objects.get(path) as { readonly value: T; readonly version: number } | undefined;
    return Promise.resolve(object ? { kind: 'found', object } : { kind: 'absent' });
  }

  update(path: string, value: unknown, ifVersion: number): Promise<UpdateResult> {
    const version = this.objects.get(path)?.version ?? 0;
    if (version !== ifVersion) {
      return Promise.resolve({ kind: 'conflict' });
    }
    this.objects.set(path, { value, version: version + 1 });
    return Promise.resolve({ kind: 'written', version: version + 1 });
  }

  remove(): Promise<UpdateResult> {
    return Promise.resolve({ kind: 'unavailable' });
  }

  list<T>(): Promise<Listing<T> | undefined> {
    return Promise.resolve({ objects: [], revision: 0 });
  }

  watch<T>(): Promise<Listing<T> | undefined> {
    return Promise.resolve(undefined);
  }
}
