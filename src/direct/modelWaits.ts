import type { ServiceId } from '../domain/index.js';
import type { KnownServer, ModelFootprint, PlacementRequirements } from './decisions/index.js';

/** Time for which a model waits for an idle place before it may also go to a busy engine, in milliseconds. */
const IDLE_PLACE_MS = 300;
/** Time until a load begins that is accepted after that, in milliseconds: one order or run is waited for. */
const SHORT_START_MS = 1_000;
/** Time after which any place is taken, in milliseconds. */
const ANY_PLACE_AFTER_MS = 2_000;

/** What a request waits for. */
export interface ModelWait {
  readonly requestId: string;
  readonly serviceId: ServiceId;
  readonly model: string;
  readonly isInteractive: boolean;
  /** When waiting no longer makes sense. */
  readonly untilMs: number;
}

/** How a wait ended. */
export type WaitResult =
  | { readonly kind: 'ready' }
  /** The model can't be ready in time; it may be after the given time. */
  | { readonly kind: 'tooLate'; readonly readyInMs: number }
  /** No server can take the model. */
  | { readonly kind: 'noPlace' };

/** A model that requests wait for. */
export interface WaitedModel {
  readonly model: string;
  readonly footprint: ModelFootprint;
  readonly isInteractive: boolean;
  readonly serviceId: ServiceId;
  readonly sinceMs: number;
  readonly waiters: Map<string, { wait: ModelWait; resolve: (result: WaitResult) => void }>;
  wantedAtMs: number;
  wantedAddress: string | undefined;
}

/** Describes what a model needs that requests have waited for. */
export function toNeed(waited: WaitedModel, nowMs: number): PlacementRequirements {
  const { model, footprint, isInteractive } = waited;
  const waitedMs = nowMs - waited.sinceMs;
  let maxStartMs = Infinity;
  if (!isInteractive && waitedMs < ANY_PLACE_AFTER_MS) {
    maxStartMs = waitedMs < IDLE_PLACE_MS ? 0 : SHORT_START_MS;
  }
  return { model, footprint, isInteractive, maxStartMs, mayFetchCopy: waitedMs >= ANY_PLACE_AFTER_MS };
}

/** Models that several servers hold: those that are asked for most, also before the first request has come. */
export function replicatedModels(servers: readonly KnownServer[]): string[] {
  const holderCounts = new Map<string, number>();
  for (const { heldModels } of servers) {
    for (const { name } of heldModels) {
      holderCounts.set(name, (holderCounts.get(name) ?? 0) + 1);
    }
  }
  return [...holderCounts].filter(([, count]) => count > 1).map(([model]) => model);
}
