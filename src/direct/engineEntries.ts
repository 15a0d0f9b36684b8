import type { EngineProfile, FleetView, ServerEntry } from './decisions/index.js';

/** Entry of an engine and the profile of its service. */
export interface EngineEntry {
  readonly entry: ServerEntry;
  readonly engine: EngineProfile;
}

/**
 * Returns the listed engines, each of which has an agent.
 * @param view - View of the fleet.
 */
export function* getEngineEntries(view: FleetView): IterableIterator<EngineEntry> {
  for (const entry of view.getEntries()) {
    const engine = view.configuration?.services.get(entry.serviceId)?.engine;
    if (engine) {
      yield { entry, engine };
    }
  }
}

/**
 * Whether the number of routers is known, or there are no agents to report it.
 * @param view - View of the fleet.
 */
export function isRouterCountKnown(view: FleetView): boolean {
  return view.knownRouterCount !== undefined || getEngineEntries(view).next().done === true;
}

/**
 * Returns the largest number of routers known since a time, 1 where there are no agents to report it; undefined where it
 * is not known.
 * @param view - View of the fleet.
 * @param sinceMs - The time.
 */
export function getSharingRouterCount(view: FleetView, sinceMs: number): number | undefined {
  return isRouterCountKnown(view) ? (view.getLargestRouterCount(sinceMs) ?? 1) : undefined;
}
