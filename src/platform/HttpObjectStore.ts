import type { Versioned } from '../domain/index.js';
import { ObjectStore, type Listing, type ReadResult, type UpdateResult } from './ObjectStore.js';
import type { PlatformHttp } from './PlatformHttp.js';

/** The platform's object API over HTTP. */
export class HttpObjectStore extends ObjectStore {
  /** @param http - Sender of the calls. */
  constructor(private readonly http: PlatformHttp) {
    super();
  }

  async read<T>(path: string): Promise<ReadResult<T>> {
    const answer = await this.http.call('GET', `/objects/${path}`);
    switch (answer.status) {
      case 200:
        return { kind: 'found', object: answer.body as Versioned<T> };
      case 404:
        return { kind: 'absent' };
      default:
        return { kind: 'unavailable' };
    }
  }

  async update(path: string, value: unknown, ifVersion: number): Promise<UpdateResult> {
    return toUpdateResult(await this.http.call('PUT', `/objects/${path}`, { value, ifVersion }));
  }

  async remove(path: string, ifVersion: number): Promise<UpdateResult> {
    return toUpdateResult(await this.http.call('DELETE', `/objects/${path}?ifVersion=${ifVersion}`));
  }

  async list<T>(prefix: string): Promise<Listing<T> | undefined> {
    const answer = await this.http.call('GET', `/list?prefix=${encodeURIComponent(prefix)}`);
    return answer.status === 200 ? (answer.body as Listing<T>) : undefined;
  }

  async watch<T>(prefix: string, sinceRevision: number, timeoutMs: number): Promise<Listing<T> | undefined> {
    const query = `prefix=${encodeURIComponent(prefix)}&since=${sinceRevision}&timeoutMs=${timeoutMs}`;
    const answer = await this.http.call('GET', `/watch?${query}`, undefined, timeoutMs);
    return answer.status === 200 ? (answer.body as Listing<T>) : undefined;
  }
}

/** Reads the outcome of a conditional update off the platform's answer. */
function toUpdateResult(answer: { status: number; body: unknown }): UpdateResult {
  switch (answer.status) {
    case 200:
      return { kind: 'written', version: (answer.body as { version: number }).version };
    case 409:
      return { kind: 'conflict' };
    case 503:
      return { kind: 'unavailable' };
    default:
      return { kind: 'unknown' };
  }
}
