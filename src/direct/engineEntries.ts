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
