import { expect } from 'chai';
import { AgentConnections, FleetView, RequestPermits } from '../../src/direct/index.js';
import { Random } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { PeerDialer, TrafficMeter } from '../../src/transport/index.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { ENGINES, makeConfiguration, makeEntry, makeReport, ORDERS } from './fleetFixtures.js';

const ROUTER_COUNT = 5;
const MAX_REQUESTS_PER_SECOND = 4;
const WINDOW_MS = 5_000;
const STEP_MS = 50;
/** Number of routers beside which a limit of one request a second is small, and the time for which they ask. */
const MANY_ROUTERS = 23;
const LONG_MS = 200_000;
/** Difference of the seeds of two routers; the first numbers of small seeds are alike. */
const SEED_STEP = 123_456_789;
/** Window in which the platform counts requests. */
const COUNT_WINDOW_MS = 4_000;
/** Largest number of requests that a server may receive in a window. */
const MAX_ARRIVALS = (1.5 * MAX_REQUESTS_PER_SECOND * WINDOW_MS) / 1_000 + 5;

describe('RequestPermits without a connected agent', () => {
  let clock: ManualClock;
  let seed = 0;
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
    const permits = new RequestPermits({
      clock,
      random: new Random(++seed * SEED_STEP),
      view,
      agentConnections,
      log,
      metrics: new Metrics(),
    });
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

  // Review, case 10 as of ca9066f: 23 routers each raised their share of one request a second, and sent at the same moment.
  it('keeps to a limit below the number of routers, in any window, and uses it', async () => {
    const routers = Array.from({ length: MANY_ROUTERS }, () => startRouter(true));
    for (const { view } of routers) {
      const [, engine = makeEntry('engine')] = view.getEntries();
      view.applyReport(makeReport(engine, { routerCount: MANY_ROUTERS }), clock.nowMs());
      view.discardReport(engine.address);
    }
    const grantedAtMs: number[] = [];
    for (; clock.nowMs() < LONG_MS; clock.advance(STEP_MS)) {
      for (const { view, permits } of routers) {
        for (const server of view.getReadyServers(ORDERS, clock.nowMs())) {
          const { isGranted } = await permits.take({ ...server, maxRequestsPerSecond: 1 }, 'r', 0);
          grantedAtMs.push(...(isGranted ? [clock.nowMs()] : []));
        }
      }
    }
    for (const startMs of grantedAtMs) {
      const count = grantedAtMs.filter((atMs) => atMs >= startMs && atMs < startMs + COUNT_WINDOW_MS).length;
      expect(count).to.be.at.most(1.5 * (COUNT_WINDOW_MS / 1_000) + 5);
    }
    expect(grantedAtMs.length).to.be.within(0.5 * (LONG_MS / 1_000), LONG_MS / 1_000);
  });

  it('uses the whole limit where there are no agents', async () => {
    const accepted = (MAX_REQUESTS_PER_SECOND * WINDOW_MS) / 1_000;
    expect(await countGranted([startRouter(false)])).to.be.within(0.7 * accepted, MAX_ARRIVALS);
  });
});
