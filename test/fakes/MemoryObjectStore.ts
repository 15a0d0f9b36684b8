import { ObjectStore, type Listing, type ReadResult, type UpdateResult } from '../../src/platform/index.js';

/** In-memory object store that is always available for reads and updates; lists are empty, and removals and watches fail. */
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
