import { expect } from 'chai';
import { WebSocket } from 'ws';
import { once } from 'node:events';
import { toDataCentreId } from '../../src/domain/index.js';
import {
  AgentConnections,
  EngineController,
  EnginePort,
  FleetView,
  ModelLoader,
  ServerChooser,
  type EngineReport,
} from '../../src/direct/index.js';
import { Random, SystemClock } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import {
  PeerDialer,
  PeerServer,
  TrafficMeter,
  type PeerConnection,
  type PeerMethods,
} from '../../src/transport/index.js';
import { ENGINES, makeConfiguration, makeEntry, makeHeldModel, makeReport } from '../direct/fleetFixtures.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { sleepMs } from '../waiting.js';

const CLOCK = new SystemClock();
const LOG = new Log('test', () => undefined);
const VALUES = [null, 0, -1, 1e300, '', 'x', [], {}, [null], { a: null }, true, '__proto__'];

/** Engine without models. */
class IdleEngine extends EnginePort {
  override readReport(): Promise<EngineReport> {
    const { address: _address, ...report } = makeReport(makeEntry('x'));
    return Promise.resolve(report);
  }

  override sendOrder(): Promise<'refused'> {
    return Promise.resolve('refused');
  }
}

/** Sends malformed messages for all methods to a server; returns when they have been handled. */
async function sendMalformed(address: string, methods: readonly string[]): Promise<void> {
  const random = new Random(1);
  const draw = () => VALUES[random.nextInt(VALUES.length)];
  const socket = new WebSocket(`ws://${address}`, { headers: { authorization: 'Bearer s' } });
  await once(socket, 'open');
  for (let count = 0; count < 400; count++) {
    const method = methods[random.nextInt(methods.length)];
    const params =
      random.nextInt(2) === 0
        ? draw()
        : { model: draw(), models: draw(), fingerprint: draw(), address: draw() };
    const id = random.nextInt(2) === 0 ? { id: count } : {};
    socket.send(JSON.stringify({ jsonrpc: '2.0', method, params, ...id }));
  }
  for (const text of ['[]', '{}', 'null', '7', '[1,2]', '{"jsonrpc":"2.0","id":1,"result":3}']) {
    socket.send(text);
  }
  await sleepMs(300);
  socket.terminate();
}

async function withServer(methods: PeerMethods, run: (address: string) => Promise<void>): Promise<void> {
  const reservation = await LoopbackReservation.create();
  const port = await reservation.takePort();
  const server = new PeerServer({ host: '127.0.0.1', port }, 's', CLOCK, methods, new TrafficMeter());
  await server.start();
  await run(`127.0.0.1:${port}`);
  await server.stop();
  await reservation.release();
}

describe('malformed messages between processes', function () {
  this.timeout(20_000);

  it('leave an agent at work', async () => {
    const controller = new EngineController({
      clock: CLOCK,
      engine: new IdleEngine(),
      engineAddress: '10.0.0.1:1',
      log: LOG,
      metrics: new Metrics(),
    });
    await controller.start();
    const methods = controller.getMethods();
    await withServer(methods, async (address) => {
      await sendMalformed(address, Object.keys(methods));
      const dialer = new PeerDialer('router', 's', CLOCK, new TrafficMeter());
      const reports: unknown[] = [];
      dialer.exposeMethods({ 'routing.report': (report: never) => reports.push(report) });
      const connection = await dialer.connect(address);
      connection.notify('residency.follow', {
        configurationVersion: 1,
        weightsMb: 1,
        adapterSlotCount: 1,
        models: [],
      });
      await sleepMs(700);
      expect(reports.length).to.be.greaterThan(0);
      await connection.close();
    });
    await controller.stop();
  });

  it('leave a router with a view that it can choose from', async () => {
    const view = new FleetView();
    const entry = makeEntry('x', { heldModels: [makeHeldModel('a')] });
    view.applyList([entry], 0);
    const dialer = new PeerDialer('router', 's', CLOCK, new TrafficMeter());
    const connections = new AgentConnections({ clock: CLOCK, dialer, view, peerPort: 1, log: LOG });
    const methods = connections.getMethods();
    await withServer(methods, async (address) => {
      await sendMalformed(address, Object.keys(methods));
      const servers = [...view.getReadyServers(ENGINES, CLOCK.nowMs())];
      expect(servers.map(({ heldModels }) => heldModels.length)).to.deep.equal([1]);
    });
  });

  it('leave a router at work when a connected agent sends reports with other fields', async () => {
    const whole = makeReport(makeEntry('x', { address: '127.0.0.1:1', heldModels: [makeHeldModel('b')] }));
    const malformed: unknown[] = [
      {},
      { heldModels: null },
      { heldModels: [null] },
      { heldModels: [{ name: 'a' }] },
      { queuedModels: undefined },
      { queuedModels: 'a' },
      { uses: null },
      { uses: { a: null } },
      { crashCounts: null },
      { routerCount: 'many' },
    ].map((fields, index) => (index === 0 ? { address: whole.address } : { ...whole, ...fields }));
    const methods: PeerMethods = {
      'residency.follow': (_params: never, connection: PeerConnection) => {
        for (const report of malformed) {
          connection.notify('routing.report', report as object);
        }
      },
    };
    await withServer(methods, async (address) => {
      const view = new FleetView();
      view.applyConfiguration(makeConfiguration(1));
      const entry = makeEntry('x', { address: '127.0.0.1:1', heldModels: [makeHeldModel('a')] });
      view.applyList([entry], 0);
      const dialer = new PeerDialer('router', 's', CLOCK, new TrafficMeter());
      const peerPort = Number(address.split(':')[1]);
      const agentConnections = new AgentConnections({ clock: CLOCK, dialer, view, peerPort, log: LOG });
      dialer.exposeMethods(agentConnections.getMethods());
      const chooser = new ServerChooser(view, toDataCentreId('here'), () => 0);
      const loader = new ModelLoader({ clock: CLOCK, view, chooser, agentConnections, log: LOG });
      await agentConnections.start();
      await sleepMs(300);
      void loader.waitFor({
        requestId: 'r',
        serviceId: ENGINES,
        model: 'c',
        isInteractive: true,
        untilMs: Infinity,
      });
      expect(() => loader.reviewWaits()).not.to.throw();
      expect(view.getCrashCount('f')).to.equal(0);
      const holders = [...view.getHolders(ENGINES, 'a', CLOCK.nowMs())];
      expect(holders.map(({ report }) => report)).to.deep.equal([undefined]);
      await agentConnections.stop();
    });
  });
});
