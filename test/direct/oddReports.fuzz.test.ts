import * as fc from 'fast-check';
import { toDataCentreId } from '../../src/domain/index.js';
import {
  AgentConnections,
  FleetView,
  ModelLoader,
  ServerChooser,
  type AgentReport,
} from '../../src/direct/index.js';
import { Log } from '../../src/telemetry/index.js';
import { PeerDialer, PeerServer, TrafficMeter, type PeerConnection } from '../../src/transport/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { waitUntil } from '../waiting.js';
import { ENGINES, makeConfiguration, makeEntry, makeHeldModel, makeReport } from './fleetFixtures.js';
import { CLOCK } from './RouterBench.js';

const RUN_COUNT = Number(process.env.FUZZ_RUNS ?? 150);
const SEED = Number(process.env.FUZZ_SEED ?? 1);
const AGENT_PORT = 9_491;
const ENGINE_PORT = 9_492;
const SECRET = 's';

const FIELDS = [
  ...Object.keys(makeReport(makeEntry('e'))),
  'loadingModel',
  'leavingServers',
  'isLeaving',
  'paces',
  '__proto__',
];

/** Values of fields of another type or with odd content. */
const ODD_VALUES = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom<unknown>(null, [], {}, '', 0, -1, 1e300, [null], { a: null }, [{ name: 'a' }], ['a'], 'a'),
);

describe('AgentConnections', function () {
  this.timeout(3_600_000);

  it('survives reports with any fields, as do the decisions that rely on them', async () => {
    const reservation = await LoopbackReservation.create();
    const host = reservation.getAddress(3);
    const address = `${host}:${ENGINE_PORT}`;
    const entry = makeEntry('e', { address, heldModels: [makeHeldModel('a')] });
    const view = new FleetView();
    const log = new Log('test', () => undefined);
    const followers: PeerConnection[] = [];
    const methods = {
      'residency.follow': (_params: unknown, from: PeerConnection) => void followers.push(from),
      'residency.want': () => undefined,
    };
    const agent = new PeerServer(
      { host, port: AGENT_PORT },
      SECRET,
      CLOCK,
      methods as never,
      new TrafficMeter(),
    );
    await agent.start();
    const dialer = new PeerDialer('router', SECRET, CLOCK, new TrafficMeter());
    const connections = new AgentConnections({ clock: CLOCK, dialer, view, peerPort: AGENT_PORT, log });
    dialer.exposeMethods(connections.getMethods());
    const chooser = new ServerChooser(view, toDataCentreId('here'), () => 0.5);
    const loader = new ModelLoader({ clock: CLOCK, view, chooser, agentConnections: connections, log });
    view.applyConfiguration(makeConfiguration(1));
    view.applyList([entry], CLOCK.nowMs());
    let reportCount = 0;
    connections.onReport(() => reportCount++);
    await connections.start();
    await waitUntil(() => followers.length > 0, 5_000);
    const [router] = followers;
    const decide = () => {
      const nowMs = CLOCK.nowMs();
      for (const model of [undefined, 'a', 'b']) {
        for (const isInteractive of [true, false]) {
          chooser.chooseServer(
            {
              serviceId: ENGINES,
              model,
              isInteractive,
              tokenCount: 1,
              maxGapMs: 1,
              excludedServerIds: new Set(),
            },
            nowMs,
          );
          loader.recordInteractiveUse(ENGINES, model ?? 'c');
          const requestId = `${model}-${isInteractive}`;
          const wait = { requestId, serviceId: ENGINES, isInteractive, untilMs: nowMs + 100 };
          void loader.waitFor({ ...wait, model: model ?? 'd' });
        }
      }
      loader.reviewWaits();
      loader.getPendingLoadMs(ENGINES, 'b');
      view.getCrashCount('f');
    };
    await loader.start();
    await fc.assert(
      fc.asyncProperty(fc.dictionary(fc.constantFrom(...FIELDS), ODD_VALUES), async (oddFields) => {
        router?.notify('routing.report', { ...makeReport(entry), ...oddFields });
        const countBefore = reportCount;
        router?.notify('routing.report', makeReport(entry) satisfies AgentReport);
        await waitUntil(() => reportCount > countBefore, 2_000);
        decide();
        router?.notify('routing.report', { ...oddFields, address });
        await new Promise((resolve) => setTimeout(resolve, 2));
        decide();
      }),
      { numRuns: RUN_COUNT, seed: SEED, endOnFailure: true },
    );
    await loader.stop();
    await connections.stop();
    await dialer.close();
    await agent.stop();
    await reservation.release();
  });
});
