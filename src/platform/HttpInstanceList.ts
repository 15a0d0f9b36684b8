import { InstanceList, type InstanceListing } from './InstanceList.js';
import type { PlatformHttp } from './PlatformHttp.js';

/** The platform's instance list over HTTP. */
export class HttpInstanceList extends InstanceList {
  /** @param http - HTTP client of the platform. */
  constructor(private readonly http: PlatformHttp) {
    super();
  }

  async watch(sinceRevision: number, timeoutMs: number): Promise<InstanceListing | undefined> {
    const path = `/instances?since=${sinceRevision}&timeoutMs=${timeoutMs}`;
    const response = await this.http.send('GET', path, undefined, timeoutMs);
    return response.status === 200 ? (response.body as InstanceListing) : undefined;
  }
}
