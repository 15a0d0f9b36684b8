import type { ServiceId } from '../domain/index.js';
import type { CallerAccess, QuotaCredit } from '../organisations/index.js';
import type { Route } from './decisions/index.js';
import type { RequestHeaders } from './HeaderCodec.js';

/** A caller's request as received. */
export interface CallerRequest {
  readonly headers: RequestHeaders;
  readonly route: Route;
  readonly serviceId: ServiceId;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  /** What its key gives access to. */
  readonly access: CallerAccess;
  /** Priority of its organisation, or else of its route; 0 is the highest. */
  readonly priority: number;
  /** Credit that was taken for it; absent if its organisation has no quota. */
  readonly credit?: QuotaCredit;
  /** Fingerprint, the same for equal requests. */
  readonly fingerprint: string;
  readonly receivedAtMs: number;
  /** Version of the configuration that its route is from. */
  readonly configurationVersion: number;
  /** Number of this request among those on its caller's connection, from 1. */
  readonly connectionRequestNumber: number;
}
