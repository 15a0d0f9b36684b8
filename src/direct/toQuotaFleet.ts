import type { QuotaFleet } from '../organisations/index.js';
import type { FleetView } from './decisions/index.js';
import { getEngineEntries } from './engineEntries.js';

/**
 * Returns what a view shows of the fleet as far as it concerns quotas.
 * @param view - View of the fleet.
 */
export function toQuotaFleet(view: FleetView): QuotaFleet {
  return {
    get changeCount() {
      return view.changeCount;
    },
    get version() {
      return view.configuration?.version;
    },
    get organisations() {
      return view.configuration?.organisations;
    },
    get hasAgents() {
      for (const { engine } of view.configuration?.services.values() ?? []) {
        if (engine) {
          return true;
        }
      }
      return false;
    },
    *getIssuers() {
      for (const { entry } of getEngineEntries(view)) {
        yield entry.address;
      }
    },
    getRouterCount: (sinceMs) => view.getLargestRouterCount(sinceMs),
  };
}
