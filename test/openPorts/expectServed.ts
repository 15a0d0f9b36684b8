import { expect } from 'chai';
import { waitUntil } from '../waiting.js';

/** Time limit for a sound request to be served, in milliseconds; models may have to be loaded first. */
const SERVED_LIMIT_MS = 15_000;

/** Request that a process must answer with status 200. */
export interface SoundRequest {
  readonly name: string;
  /** Sends the request; resolves to the status of the response. */
  readonly send: () => Promise<number | undefined>;
}

/**
 * Sends requests until each was answered with status 200; fails with the names of those that weren't in time.
 * @param requests - Requests to send.
 */
export async function expectServed(requests: readonly SoundRequest[]): Promise<void> {
  const unserved: string[] = [];
  for (const { name, send } of requests) {
    let status: unknown;
    await waitUntil(async () => {
      status = await send().catch(String);
      return status === 200;
    }, SERVED_LIMIT_MS);
    if (status !== 200) {
      unserved.push(`${name}: ${String(status)}`);
    }
  }
  expect(unserved).to.deep.equal([]);
}
