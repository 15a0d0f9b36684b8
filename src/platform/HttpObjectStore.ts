import type { Versioned } from '../domain/index.js';
import { ObjectStore, type Listing, type ReadResult, type UpdateResult } from './ObjectStore.js';
import type { PlatformHttp } from './PlatformHttp.js';

/** The platform's object API over HTTP. */
export class HttpObjectStore extends ObjectStore {
  /** @param http - HTTP client of the platform. */
  constructor(private readonly http: PlatformHttp) {
    super();
  }

  async read<T>(path: string): Promise<ReadResult<T>> {
    const response = await this.http.send('GET', `/objects/${path}`);
    switch (response.status) {
      case 200:
        return { kind: 'found', object: response.body as Versioned<T> };
      case 404:
        return { kind: 'absent' };
      default:
        return { kind: 'unavailable' };
    }
  }

  async update(path: string, value: unknown, ifVersion: number): Promise<UpdateResult> {
    return toUpdateResult(await this.http.send('PUT', `/objects/${path}`, { value, ifVersion }));
  }

  async remove(path: string, ifVersion: number): Promise<UpdateResult> {
    return toUpdateResult(await this.http.send('DELETE', `/objects/${path}?ifVersion=${ifVersion}`));
  }

  async list<T>(prefix: string): Promise<Listing<T> | undefined> {
    const response = await this.http.send('GET', `/list?prefix=${encodeURIComponent(prefix)}`);
    return response.status === 200 ? (response.body as Listing<T>) : undefined;
  }

  async watch<T>(prefix: string, sinceRevision: number, timeoutMs: number): Promise<Listing<T> | undefined> {
    const query = `prefix=${encodeURIComponent(prefix)}&since=${sinceRevision}&timeoutMs=${timeoutMs}`;
    const response = await this.http.send('GET', `/watch?${query}`, undefined, timeoutMs);
    return response.status === 200 ? (response.body as Listing<T>) : undefined;
  }
}

/** Maps the platform's response to the result of a conditional update. */
function toUpdateResult(response: { status: number; body: unknown }): UpdateResult {
  switch (response.status) {
    case 200:
      return { kind: 'written', version: (response.body as { version: number }).version };
    case 409:
      return { kind: 'conflict' };
    case 503:
      return { kind: 'unavailable' };
    default:
      return { kind: 'unknown' };
  }
}
