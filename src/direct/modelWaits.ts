import type { ServiceId } from '../domain/index.js';
import type { EvictionPolicy, ModelFootprint, PlacementRequirements } from './decisions/index.js';

/** Time for which a model waits for an idle engine before a busy one is accepted, in milliseconds. */
const IDLE_ONLY_MS = 300;
/** Maximum delay before the load starts that is accepted after that, in milliseconds: about one order or one run. */
const MAX_SHORT_START_MS = 1_000;
/** Time after which any server is accepted, in milliseconds. */
const ANY_SERVER_AFTER_MS = 2_000;
/** Time after which a batch model may take the slot of a live model's spare replica, in milliseconds. */
const SPARES_AFTER_MS = 1_000;
/** Time for which no server may have had room for a model before its requests are refused, in milliseconds. */
const NO_PLACE_AFTER_MS = 3_000;

/** A request's wait for a model. */
export interface ModelWait {
  readonly requestId: string;
  readonly serviceId: ServiceId;
  readonly model: string;
  readonly isInteractive: boolean;
  /** Version that the server's software must have; absent if any will do. */
  readonly softwareVersion?: string;
  /** Time at which the wait ends unsuccessfully. */
  readonly untilMs: number;
}

/** Result of a wait. */
export type WaitResult =
  | { readonly kind: 'ready' }
  /** The model cannot be ready in time; `readyInMs` is the expected time until it is. */
  | { readonly kind: 'tooLate'; readonly readyInMs: number }
  /** No server can load the model. */
  | { readonly kind: 'noPlace' };

/** A model that requests are waiting for. */
export interface WaitedModel {
  readonly model: string;
  readonly footprint: ModelFootprint;
  readonly isInteractive: boolean;
  readonly serviceId: ServiceId;
  /** Version that the software of the model's server must have; absent if any will do. */
  readonly softwareVersion?: string;
  readonly sinceMs: number;
  readonly waiters: Map<string, { wait: ModelWait; resolve: (result: WaitResult) => void }>;
  /** When a server was last found that loads the model or could do so; the start of the wait before that. */
  placedAtMs: number;
  requestedAtMs: number;
  requestedAddress: string | undefined;
}

/** Returns the key of the waits for a model of a service at servers of one software version, or of any. */
export function getWaitKey({
  serviceId,
  model,
  softwareVersion,
}: Pick<ModelWait, 'serviceId' | 'model' | 'softwareVersion'>): string {
  return JSON.stringify([serviceId, model, softwareVersion]);
}

/** Whether no server has had room for a model for so long that its requests wait in vain. */
export function isWithoutPlace({ placedAtMs }: WaitedModel, nowMs: number): boolean {
  return nowMs - placedAtMs >= NO_PLACE_AFTER_MS;
}

/** Returns the placement requirements of a model; they loosen the longer requests have been waiting for it. */
export function toPlacementRequirements(
  waited: WaitedModel,
  evictionPolicy: EvictionPolicy | undefined,
  nowMs: number,
): PlacementRequirements {
  const { model, footprint, isInteractive } = waited;
  const waitedMs = nowMs - waited.sinceMs;
  let maxStartMs = Infinity;
  if (!isInteractive && waitedMs < ANY_SERVER_AFTER_MS) {
    maxStartMs = waitedMs < IDLE_ONLY_MS ? 0 : MAX_SHORT_START_MS;
  }
  const mayFetchCopy = waitedMs >= ANY_SERVER_AFTER_MS;
  const mayEvictSpares = isInteractive || waitedMs >= SPARES_AFTER_MS;
  return { model, footprint, isInteractive, maxStartMs, mayFetchCopy, mayEvictSpares, evictionPolicy };
}
