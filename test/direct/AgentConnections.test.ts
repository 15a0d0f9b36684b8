import { expect } from 'chai';
import { AgentConnections, EngineController, FleetView } from '../../src/direct/index.js';
import { SystemClock } from '../../src/kernel/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { PeerDialer, PeerServer, TrafficMeter } from '../../src/transport/index.js';
import { SilencingProxy } from '../process/SilencingProxy.js';
import { sleepMs, waitUntil } from '../waiting.js';
import { ENGINES, makeConfiguration, makeEntry, makeProfile } from './fleetFixtures.js';
import { SlowEngine } from './SlowEngine.js';

const CLOCK = new SystemClock();
const MANY_MODELS = Array.from({ length: 195 }, (_, index) => `model-${index}`);
/** Bytes that a version may cost for each agent whose models are the same, heartbeats included. */
const MAX_UNCHANGED_BYTES = 1_000;
/** Time in which an agent reports a version, in milliseconds. */
const VERSION_LIMIT_MS = 3_000;
const ENGINE_ADDRESS = '127.0.0.1:1';
/** Time in which a router replaces a silent connection, in milliseconds. */
const RECONNECT_LIMIT_MS = 6_000;
/** Time in which an agent would unload an unused model for a requested one, in milliseconds. */
const UNLOAD_LIMIT_MS = 600;

/** Log that records the connections that ended and began. */
class RecordingLog extends Log {
  readonly changes: string[] = [];

  constructor() {
    super('test', () => undefined);
  }

  override info(change: string): void {
    this.changes.push(change);
  }

  override warn(change: string): void {
    this.changes.push(change);
  }
}

function countChanges(log: RecordingLog, change: string): number {
  return log.changes.filter((candidate) => candidate === change).length;
}

describe('AgentConnections', function () {
  this.timeout(20_000);
  let engine: SlowEngine;
  let agentLog: RecordingLog;
  let routerLog: RecordingLog;
  let controller: EngineController;
  let server: PeerServer;
  let proxy: SilencingProxy;
  let reservation: LoopbackReservation;
  let agentConnections: AgentConnections;
  let view: FleetView;
  let traffic: TrafficMeter;

  beforeEach(async () => {
    engine = new SlowEngine();
    agentLog = new RecordingLog();
    routerLog = new RecordingLog();
    controller = new EngineController({
      clock: CLOCK,
      engine,
      engineAddress: ENGINE_ADDRESS,
      log: agentLog,
      metrics: new Metrics(),
    });
    reservation = await LoopbackReservation.create();
    const port = await reservation.takePort();
    const listenAddress = { host: '127.0.0.1', port };
    server = new PeerServer(listenAddress, 's', CLOCK, controller.getMethods(), new TrafficMeter());
    await server.start();
    await controller.start();
    proxy = new SilencingProxy(`127.0.0.1:${port}`);
    const peerPort = Number((await proxy.start()).split(':')[1]);
    view = new FleetView();
    view.applyConfiguration(makeConfiguration(1));
    view.applyList([makeEntry('x', { address: ENGINE_ADDRESS })], 0);
    traffic = new TrafficMeter();
    const dialer = new PeerDialer('router-1', 's', CLOCK, traffic);
    agentConnections = new AgentConnections({ clock: CLOCK, dialer, view, peerPort, log: routerLog });
    dialer.exposeMethods(agentConnections.getMethods());
    await agentConnections.start();
    await waitUntil(() => agentLog.changes.includes('router connected'), 2_000);
  });

  afterEach(async () => {
    await agentConnections.stop();
    await proxy.stop();
    await controller.stop();
    await server.stop();
    await reservation.release();
  });

  /** Silences the connection until the router has replaced it; the agent learns of its end only then. */
  async function replaceSilentConnection(): Promise<void> {
    expect(proxy.silence()).to.equal(1);
    const isConnectedAgain = () => countChanges(routerLog, 'agent connected') === 2;
    await waitUntil(isConnectedAgain, RECONNECT_LIMIT_MS);
    proxy.closeSilenced();
    const isReplaced = () => isConnectedAgain() && countChanges(agentLog, 'router disconnected') === 1;
    await waitUntil(isReplaced, 1_000);
    expect(isReplaced()).to.equal(true);
  }

  // Issue 50, CONFIG: each version sent the sizes of all models to each agent again, 24 KB each, on links of 14 Mbit/s.
  describe('updateConnections', () => {
    /** Applies a version of the configuration and returns the bytes that the router sends because of it. */
    async function countBytesOfVersion(version: number, models: readonly string[]): Promise<number> {
      const configuration = makeConfiguration(version);
      const services = new Map(configuration.services);
      services.set(ENGINES, { serviceId: ENGINES, maxConnections: 300, engine: makeProfile(models) });
      view.applyConfiguration({ ...configuration, services });
      const before = traffic.sentBytes;
      agentConnections.updateConnections();
      await waitUntil(() => engineVersion() === version, VERSION_LIMIT_MS);
      expect(engineVersion()).to.equal(version);
      return traffic.sentBytes - before;
    }

    /** Version that the agent reports. */
    function engineVersion(): number | undefined {
      const [known] = [...view.getReadyServers(ENGINES, CLOCK.nowMs())];
      return known?.report?.configurationVersion;
    }

    it('sends the models of an engine once, and a later version without them', async () => {
      expect(await countBytesOfVersion(2, MANY_MODELS)).to.be.greaterThan(MAX_UNCHANGED_BYTES);
      expect(await countBytesOfVersion(3, MANY_MODELS)).to.be.below(MAX_UNCHANGED_BYTES);
    });

    it('sends models again that have changed', async () => {
      await countBytesOfVersion(2, MANY_MODELS);
      expect(await countBytesOfVersion(3, MANY_MODELS.slice(1))).to.be.greaterThan(MAX_UNCHANGED_BYTES);
      expect(await countBytesOfVersion(4, MANY_MODELS)).to.be.greaterThan(MAX_UNCHANGED_BYTES);
    });
  });

  describe('notifyModelUse', () => {
    it('protects the models of running requests also after a silent connection was replaced', async () => {
      for (const model of ['b', 'c']) {
        agentConnections.notifyModelUse(ENGINE_ADDRESS, 'started', { model, isInteractive: false });
      }
      await replaceSilentConnection();
      agentConnections.requestModel(ENGINE_ADDRESS, { model: 'a', isInteractive: false, keptModels: [] });
      await sleepMs(UNLOAD_LIMIT_MS);
      expect(engine.orders).to.deep.equal([]);
    });

    it('protects no model whose requests ended while the connection was silent', async () => {
      for (const model of ['b', 'c']) {
        agentConnections.notifyModelUse(ENGINE_ADDRESS, 'started', { model, isInteractive: false });
      }
      const replaced = replaceSilentConnection();
      agentConnections.notifyModelUse(ENGINE_ADDRESS, 'ended', { model: 'c', isInteractive: false });
      await replaced;
      agentConnections.requestModel(ENGINE_ADDRESS, { model: 'a', isInteractive: false, keptModels: [] });
      await sleepMs(UNLOAD_LIMIT_MS);
      expect(engine.orders.map(({ kind, model }) => `${kind} ${model}`)).to.deep.equal([
        'unload c',
        'load a',
      ]);
    });
  });
});
