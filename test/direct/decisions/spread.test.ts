import { expect } from 'chai';
import { toDataCentreId } from '../../../src/domain/index.js';
import { FleetView, ServerChooser, type ServerEntry } from '../../../src/direct/index.js';
import { Random } from '../../../src/kernel/index.js';
import { ENGINES, makeEntry, makeHeldModel, makeReport } from '../fleetFixtures.js';

const STEP_MS = 10;
const SERVER_COUNT = 10;
const SLOT_COUNT = 128;
const REPORT_INTERVAL_MS = 500;
/** Age of the engine's state when a report of it arrives, in milliseconds. */
const REPORT_LAG_MS = 200;
/** Requests of all routers per second, and the time that one runs: together 32 requests on each server. */
const REQUESTS_PER_SECOND = 130;
const RUN_MS = 2_500;
const WARM_UP_MS = 6_000;
const DURATION_MS = 16_000;
/** Largest load of a server in steady state, as a multiple of the mean. */
const MAX_IMBALANCE = 1.3;
/** Share by which each request in the batch prolongs the gaps; more than the code assumes. */
const BATCH_SLOWDOWN = 0.01;

/** A request that runs on a server. */
interface Run {
  readonly router: number;
  readonly server: ServerEntry;
  readonly endsAtMs: number;
}

type MakeChooser = (view: FleetView, drawFraction: () => number) => ServerChooser;

/**
 * Simulates routers that choose by reports that lag, and returns the largest load of a server as a multiple of the mean:
 * of the loads over the whole time, and on average of the loads at each time. All servers have the given gap in an empty batch, if any.
 */
function simulate(
  routerCount: number,
  makeChooser: MakeChooser,
  gapMs?: number,
): { overall: number; momentary: number } {
  const random = new Random(1);
  const entries = Array.from({ length: SERVER_COUNT }, (_, index) =>
    makeEntry('s'.repeat(index + 1), { heldModels: [makeHeldModel('a')], slotCount: SLOT_COUNT }),
  );
  const routers = Array.from({ length: routerCount }, () => {
    const view = new FleetView();
    view.applyList(entries, 0);
    return { view, chooser: makeChooser(view, () => random.nextFraction()) };
  });
  let runs: Run[] = [];
  const counts = new Map(entries.map((entry) => [entry.address, 0]));
  const history: Map<string, number>[] = [];
  const totals = new Map(entries.map((entry) => [entry.address, 0]));
  let momentarySum = 0;
  let sampleCount = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    const ended = runs.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    runs = runs.filter(({ endsAtMs }) => endsAtMs > nowMs);
    for (const { router, server } of ended) {
      counts.set(server.address, (counts.get(server.address) ?? 0) - 1);
      routers[router]?.chooser.recordEnded(server.serverId, false, nowMs);
    }
    history.push(new Map(counts));
    for (const [index, entry] of entries.entries()) {
      const phaseMs = (index * REPORT_INTERVAL_MS) / SERVER_COUNT;
      if ((nowMs + phaseMs) % REPORT_INTERVAL_MS === 0) {
        const lagged = history[Math.max(0, history.length - 1 - REPORT_LAG_MS / STEP_MS)];
        const runningCount = lagged?.get(entry.address) ?? 0;
        const usedCacheTokens = runningCount * 8;
        const paces =
          gapMs === undefined
            ? undefined
            : { a: { gapMs: gapMs * (1 + BATCH_SLOWDOWN * runningCount), streamCount: 8, runningCount } };
        const report = makeReport(entry, { runningCount, usedCacheTokens, routerCount, paces });
        for (const { view } of routers) {
          view.applyReport(report, nowMs);
        }
      }
    }
    for (let left = (REQUESTS_PER_SECOND * STEP_MS) / 1_000; left > random.nextFraction(); left--) {
      const router = random.nextInt(routerCount);
      const chooser = routers[router]?.chooser;
      chooser?.recordArrival({ serviceId: ENGINES, model: 'a' }, nowMs);
      const chosen = chooser?.chooseServer(
        { serviceId: ENGINES, model: 'a', isInteractive: true, maxGapMs: 200, excludedServerIds: new Set() },
        nowMs,
      );
      if (chooser && chosen) {
        chooser.recordSent(chosen.entry.serverId, nowMs);
        counts.set(chosen.entry.address, (counts.get(chosen.entry.address) ?? 0) + 1);
        runs.push({ router, server: chosen.entry, endsAtMs: nowMs + RUN_MS * (0.5 + random.nextFraction()) });
      }
    }
    if (nowMs >= WARM_UP_MS) {
      sampleCount++;
      momentarySum += getImbalance([...counts.values()]);
      for (const [address, count] of counts) {
        totals.set(address, (totals.get(address) ?? 0) + count);
      }
    }
  }
  return { overall: getImbalance([...totals.values()]), momentary: momentarySum / sampleCount };
}

function getImbalance(loads: readonly number[]): number {
  const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
  return Math.max(...loads) / mean;
}

/** Faulty chooser that always takes the lowest score, as if no other request were placed before the next reports. */
class TakesLowestScore extends ServerChooser {
  protected override getExpectedRise(): number {
    return 0;
  }
}

describe('ServerChooser with many routers and reports that lag', function () {
  this.timeout(120_000);

  for (const routerCount of [1, 4, 23, 68, 410]) {
    it(`spreads the load evenly over the holders of a model, with ${routerCount} routers`, () => {
      const { overall, momentary } = simulate(
        routerCount,
        (view, drawFraction) => new ServerChooser(view, toDataCentreId('here'), drawFraction),
      );
      expect(overall).to.be.at.most(MAX_IMBALANCE);
      expect(momentary).to.be.at.most(MAX_IMBALANCE);
    });
  }

  // A gap far below the limit, one at which pauses reach it, and one at which all servers are too slow.
  for (const gapMs of [30, 60, 100]) {
    for (const routerCount of [1, 23, 410]) {
      it(`spreads it evenly over servers with equal gaps of ${gapMs} ms, with ${routerCount} routers`, () => {
        const { overall, momentary } = simulate(
          routerCount,
          (view, drawFraction) => new ServerChooser(view, toDataCentreId('here'), drawFraction),
          gapMs,
        );
        expect(overall).to.be.at.most(MAX_IMBALANCE);
        expect(momentary).to.be.at.most(MAX_IMBALANCE);
      });
    }
  }

  it('is found to be uneven when each router takes the lowest score', () => {
    const { momentary } = simulate(
      23,
      (view, drawFraction) => new TakesLowestScore(view, toDataCentreId('here'), drawFraction),
    );
    expect(momentary).to.be.above(MAX_IMBALANCE);
  });
});
