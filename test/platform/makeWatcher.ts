import { StoreClient } from '../../platform/StoreClient.js';
import { StoreFleetSource } from '../../platform/StoreFleetSource.js';
import { FleetWatcher, type FleetView } from '../../src/direct/index.js';
import { Random, SystemClock } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';

/** Returns a watcher that keeps a view current from the store at an address. */
export function makeWatcher(address: string, view: FleetView, updateLimitMs = 2_000): FleetWatcher {
  const clock = new SystemClock();
  return new FleetWatcher({
    clock,
    random: new Random(1),
    source: new StoreFleetSource(new StoreClient(clock, () => address)),
    view,
    log: new Log('test', () => undefined),
    metrics: new Metrics(),
    getUpdateLimitMs: () => updateLimitMs,
  });
}
