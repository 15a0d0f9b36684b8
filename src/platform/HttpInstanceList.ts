import { InstanceList, type InstanceListing } from './InstanceList.js';
import type { PlatformHttp } from './PlatformHttp.js';

/** The platform's instance list over HTTP. */
export class HttpInstanceList extends InstanceList {
  /** @param http - Sender of the calls. */
  constructor(private readonly http: PlatformHttp) {
    super();
  }

  async watch(sinceRevision: number, timeoutMs: number): Promise<InstanceListing | undefined> {
    const path = `/instances?since=${sinceRevision}&timeoutMs=${timeoutMs}`;
    const answer = await this.http.call('GET', path, undefined, timeoutMs);
    return answer.status === 200 ? (answer.body as InstanceListing) : undefined;
  }
}
