import { expect } from 'chai';
import { AgentConnections, FleetView, RequestPermits } from '../../src/direct/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { PeerDialer, TrafficMeter } from '../../src/transport/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { ENGINES, makeConfiguration, makeEntry, makeReport, ORDERS } from './fleetFixtures.js';

const ROUTER_COUNT = 5;
const MAX_REQUESTS_PER_SECOND = 4;
const WINDOW_MS = 5_000;
const STEP_MS = 50;
/** Largest number of requests that a server may receive in a window. */
const MAX_ARRIVALS = (1.5 * MAX_REQUESTS_PER_SECOND * WINDOW_MS) / 1_000 + 5;

describe('RequestPermits without a connected agent', () => {
  let clock: ManualClock;
  beforeEach(() => {
    clock = new ManualClock();
  });

  /** A router that has just started and knows a limited server. */
  function startRouter(hasEngine: boolean): { readonly view: FleetView; readonly permits: RequestPermits } {
    const view = new FleetView();
    const engines = hasEngine ? [makeEntry('engine', { serviceId: ENGINES })] : [];
    view.applyConfiguration(makeConfiguration(1));
    view.applyList([makeEntry('plain', { serviceId: ORDERS }), ...engines], clock.nowMs());
    const log = new Log('test', () => undefined);
    const dialer = new PeerDialer('test', 'secret', clock, new TrafficMeter());
    const agentConnections = new AgentConnections({ clock, dialer, view, peerPort: 1, log });
    const permits = new RequestPermits({ clock, view, agentConnections, log, metrics: new Metrics() });
    return { view, permits };
  }

  /** Sends as many requests as the routers are permitted in a window. */
  async function countGranted(routers: readonly ReturnType<typeof startRouter>[]): Promise<number> {
    let count = 0;
    for (const endsAtMs = clock.nowMs() + WINDOW_MS; clock.nowMs() < endsAtMs; clock.advance(STEP_MS)) {
      for (const { view, permits } of routers) {
        for (const server of view.getReadyServers(ORDERS, clock.nowMs())) {
          const limited = { ...server, maxRequestsPerSecond: MAX_REQUESTS_PER_SECOND };
          count += (await permits.take(limited, 'r', 0)).isGranted ? 1 : 0;
        }
      }
    }
    return count;
  }

  // Issue 30: routers that had just started took the number of routers for one, so that each used the whole limit.
  it('keeps to the limit of a server when all routers have just started', async () => {
    const routers = Array.from({ length: ROUTER_COUNT }, () => startRouter(true));
    expect(await countGranted(routers)).to.be.at.most(MAX_ARRIVALS);
  });

  it('uses the limit in equal shares once an agent has reported the number of routers', async () => {
    const routers = Array.from({ length: ROUTER_COUNT }, () => startRouter(true));
    for (const { view } of routers) {
      const [, engine = makeEntry('engine')] = view.getEntries();
      view.applyReport(makeReport(engine, { routerCount: ROUTER_COUNT }), clock.nowMs());
      view.discardReport(engine.address);
    }
    const accepted = (MAX_REQUESTS_PER_SECOND * WINDOW_MS) / 1_000;
    expect(await countGranted(routers)).to.be.within(0.7 * accepted, MAX_ARRIVALS);
  });

  it('uses the whole limit where there are no agents', async () => {
    const accepted = (MAX_REQUESTS_PER_SECOND * WINDOW_MS) / 1_000;
    expect(await countGranted([startRouter(false)])).to.be.within(0.7 * accepted, MAX_ARRIVALS);
  });
});
