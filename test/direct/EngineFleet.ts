import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { toServerId } from '../../src/domain/index.js';
import {
  EngineController,
  EnginePort,
  PermitIssuer,
  StreamOriginStore,
  type EngineReport,
  type OrderResult,
  type ServerEntry,
} from '../../src/direct/index.js';
import { delay } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { PeerServer, TrafficMeter } from '../../src/transport/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { IDLE_ENGINE, makeEntry, makeHeldModel, makeRoute, ONCE_ROUTE, ORDERS } from './fleetFixtures.js';
import { CLOCK, makeResponseHeaders, PEER_SECRET, RouterBench } from './RouterBench.js';

/** Time from the arrival of a request to its first event, in milliseconds. */
const BEGIN_MS = 30;
/** Time between two events of a stream, in milliseconds. */
const EVENT_INTERVAL_MS = 60;
const EVENT_COUNT = 6;
/** Time from a crash to the restart, in milliseconds. */
const DOWN_MS = 500;
/** Time from a crash until the list of servers shows it, in milliseconds. */
const LIST_DELAY_MS = 300;

/** Arrival of a request at an engine. */
export interface EngineArrival {
  readonly atMs: number;
  readonly promptParts: readonly string[];
  readonly requestId: string;
  readonly softwareVersion: string;
  /** Address of the engine or plain server. */
  readonly address: string;
}

/** Route to the plain servers of a fleet. */
const plainRoute = makeRoute({
  pathPrefix: '/plain/',
  kind: 'idempotent',
  isResumable: false,
  targets: [{ serviceId: ORDERS, weight: 1 }],
});

/** Engine with its agent; it crashes when it begins an answer on a given prompt part. */
class CrashingEngine extends EnginePort {
  private server: Server | undefined;
  private entry: ServerEntry | undefined;
  private startCount = 0;
  /** Number of requests per second that the engine accepts, named in its answers; undefined without a limit. */
  maxRequestsPerSecond: number | undefined;
  private isStopped = false;

  constructor(
    private readonly fleet: EngineFleet,
    private readonly index: number,
    readonly host: string,
    private readonly port: number,
    private readonly softwareVersion: string,
  ) {
    super();
  }

  get address(): string {
    return `${this.host}:${this.port}`;
  }

  get currentEntry(): ServerEntry | undefined {
    return this.entry;
  }

  override readReport(): Promise<EngineReport | undefined> {
    const { entry } = this;
    return Promise.resolve(
      entry && {
        ...IDLE_ENGINE,
        bornAtMs: entry.bornAtMs,
        heldModels: entry.heldModels,
        maxRequestsPerSecond: this.maxRequestsPerSecond ?? null,
      },
    );
  }

  override sendOrder(): Promise<OrderResult> {
    return Promise.resolve('refused');
  }

  async start(): Promise<void> {
    const server = createServer((incoming, response) => this.handle(incoming, response));
    this.server = server;
    await new Promise<void>((resolve) => {
      server.listen(this.port, this.host, resolve);
    });
    this.entry = makeEntry(`engine-${this.index}-${++this.startCount}`, {
      address: this.address,
      softwareVersion: this.softwareVersion,
      bornAtMs: Math.round(CLOCK.nowMs()),
      heldModels: [makeHeldModel('a')],
    });
    this.fleet.publish(this.entry);
  }

  /** Ends the engine and all connections; it restarts later as another incarnation. */
  crash(): void {
    const { server, entry } = this;
    if (!server || !entry) {
      return;
    }
    this.server = undefined;
    this.entry = undefined;
    server.close();
    server.closeAllConnections();
    this.fleet.crashedAtMs.push(CLOCK.nowMs());
    setTimeout(() => this.fleet.withdraw(entry), LIST_DELAY_MS);
    setTimeout(() => this.isStopped || void this.start(), DOWN_MS);
  }

  /** Lists the engine as leaving. */
  drain(): void {
    if (this.entry) {
      this.entry = { ...this.entry, isLeaving: true };
      this.fleet.publish(this.entry);
    }
  }

  stop(): void {
    this.isStopped = true;
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private handle(incoming: IncomingMessage, response: ServerResponse): void {
    const prefix = String(incoming.headers['prompt-prefix'] ?? '');
    const promptParts = prefix.split(',').map((pair) => pair.split(':')[0] ?? '');
    const { address, softwareVersion } = this;
    const requestId = String(incoming.headers['request-id']);
    this.fleet.arrivals.push({ atMs: CLOCK.nowMs(), promptParts, requestId, softwareVersion, address });
    incoming.resume();
    setTimeout(() => {
      if (promptParts.includes(this.fleet.crashingPart)) {
        this.crash();
      } else {
        void this.stream(incoming, response);
      }
    }, BEGIN_MS);
  }

  private async stream(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    response.writeHead(200, {
      ...makeResponseHeaders(incoming, 'text/event-stream'),
      ...makeLimitHeaders(this.maxRequestsPerSecond),
    });
    for (let event = 1; event <= EVENT_COUNT; event++) {
      response.write(`id: ${event}\ndata: x\n\n`);
      await delay(CLOCK, EVENT_INTERVAL_MS);
    }
    response.end();
  }
}

/** Several engines with their agents and several routers, all in this process. */
export class EngineFleet {
  readonly arrivals: EngineArrival[] = [];
  readonly crashedAtMs: number[] = [];
  readonly routers: RouterBench[] = [];
  private readonly engines: CrashingEngine[] = [];
  /** Agents by the address of their engine. */
  private readonly agents = new Map<string, { stop(): Promise<void> }[]>();
  private readonly plainServers: { readonly server: Server; readonly entry: ServerEntry }[] = [];
  private reservation: LoopbackReservation | undefined;
  private agentPort = 0;

  /** @param crashingPart - ID of the prompt part that crashes each engine that begins an answer on it. */
  constructor(readonly crashingPart: string) {}

  /**
   * Starts engines with agents, and routers.
   * @param engineCount - Number of engines.
   * @param routerCount - Number of routers.
   * @param softwareVersions - Versions of the engines' software in turn.
   */
  async start(
    engineCount: number,
    routerCount: number,
    softwareVersions: readonly string[] = ['v1'],
  ): Promise<void> {
    const reservation = await LoopbackReservation.create();
    this.reservation = reservation;
    this.agentPort = await reservation.takePort();
    const enginePort = await reservation.takePort();
    for (let index = 1; index <= engineCount; index++) {
      const softwareVersion = softwareVersions[(index - 1) % softwareVersions.length] ?? '';
      const address = reservation.getAddress(index);
      const engine = new CrashingEngine(this, index, address, enginePort, softwareVersion);
      this.engines.push(engine);
      await engine.start();
      await this.startAgent(engine);
    }
    for (let count = 0; count < routerCount; count++) {
      await this.addRouter();
    }
  }

  /** Address of the engines, in the order of their start. */
  get engineAddresses(): readonly string[] {
    return this.engines.map(({ address }) => address);
  }

  /** Makes all engines name a limit. */
  limitEngines(maxRequestsPerSecond: number): void {
    for (const engine of this.engines) {
      engine.maxRequestsPerSecond = maxRequestsPerSecond;
    }
  }

  /** Stops the agent beside an engine; the engine goes on. */
  async stopAgent(address: string): Promise<void> {
    await Promise.all((this.agents.get(address) ?? []).map((agent) => agent.stop()));
    this.agents.delete(address);
  }

  /** Stops the agent beside an engine and starts another one, which knows nothing of before. */
  async restartAgent(address: string): Promise<void> {
    await this.stopAgent(address);
    await this.startAgent(this.getEngineOrThrow(address));
  }

  /** Lists an engine as leaving, which goes on. */
  drainEngine(address: string): void {
    this.getEngineOrThrow(address).drain();
  }

  /** Stops an engine and its agent for good, as at the end of its draining, and removes it from the list. */
  async removeEngine(address: string): Promise<void> {
    const engine = this.getEngineOrThrow(address);
    await this.stopAgent(address);
    engine.stop();
    if (engine.currentEntry) {
      this.withdraw(engine.currentEntry);
    }
    this.engines.splice(this.engines.indexOf(engine), 1);
  }

  /** Adds a server without an agent that names a limit; returns its address. */
  async addPlainServer(id: string, maxRequestsPerSecond: number): Promise<string> {
    const server = createServer((incoming, response) => {
      const requestId = String(incoming.headers['request-id']);
      this.arrivals.push({ atMs: CLOCK.nowMs(), promptParts: [], requestId, softwareVersion: 'v1', address });
      incoming.resume();
      response.writeHead(200, {
        ...makeResponseHeaders(incoming),
        ...makeLimitHeaders(maxRequestsPerSecond),
      });
      response.end('{}');
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const entry = makeEntry(id, { address, serviceId: ORDERS });
    this.plainServers.push({ server, entry });
    this.publish(entry);
    return address;
  }

  /** Starts a router that knows all engines and waits until it is connected to their agents. */
  async addRouter(): Promise<RouterBench> {
    const router = await this.startRouter();
    await delay(CLOCK, 300);
    return router;
  }

  /** Starts a router that knows all engines and is still connecting to their agents. */
  async startRouter(): Promise<RouterBench> {
    const router = new RouterBench(undefined, this.agentPort);
    const entries = this.engines.flatMap(({ currentEntry }) => currentEntry ?? []);
    router.view.applyList([...entries, ...this.plainServers.map(({ entry }) => entry)], CLOCK.nowMs());
    this.routers.push(router);
    await router.start([makeRoute(), plainRoute, ONCE_ROUTE]);
    return router;
  }

  /** Stops all routers at once. */
  async stopRouters(): Promise<void> {
    await Promise.all(this.routers.splice(0).map((router) => router.close()));
  }

  publish(entry: ServerEntry): void {
    for (const { view } of this.routers) {
      view.applyEntry(entry);
    }
  }

  withdraw({ serverId }: ServerEntry): void {
    for (const { view } of this.routers) {
      view.removeEntry(toServerId(serverId), CLOCK.nowMs());
    }
  }

  async close(): Promise<void> {
    for (const engine of this.engines) {
      engine.stop();
    }
    await Promise.all(this.routers.map((router) => router.close()));
    await Promise.all([...this.agents.keys()].map((address) => this.stopAgent(address)));
    for (const { server } of this.plainServers) {
      server.close();
      server.closeAllConnections();
    }
    await this.reservation?.release();
  }

  private getEngineOrThrow(address: string): CrashingEngine {
    for (const engine of this.engines) {
      if (engine.address === address) {
        return engine;
      }
    }
    throw new Error(`No engine has the address ${address}.`);
  }

  private async startAgent(engine: CrashingEngine): Promise<void> {
    const controller = new EngineController({
      clock: CLOCK,
      engine,
      engineAddress: engine.address,
      log: new Log('test', () => undefined),
      metrics: new Metrics(),
    });
    const address = { host: engine.host, port: this.agentPort };
    const permitIssuer = new PermitIssuer({
      clock: CLOCK,
      engineAddress: engine.address,
      getRouterCount: () => controller.routerCount,
      metrics: new Metrics(),
    });
    const originStore = new StreamOriginStore();
    const methods = {
      ...controller.getMethods(),
      ...permitIssuer.getMethods(),
      ...originStore.getMethods(),
    };
    const server = new PeerServer(address, PEER_SECRET, CLOCK, methods, new TrafficMeter());
    await server.start();
    await controller.start();
    this.agents.set(engine.address, [server, controller]);
  }
}

function makeLimitHeaders(maxRequestsPerSecond: number | undefined): Record<string, string> {
  return maxRequestsPerSecond === undefined ? {} : { 'server-limit': String(maxRequestsPerSecond) };
}
