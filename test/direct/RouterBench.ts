import {
  createServer,
  request,
  type Agent,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {
  createServer as createSocketServer,
  type AddressInfo,
  type Server as SocketServer,
  type Socket,
} from 'node:net';
import { PlatformHeaderCodec } from '../../platform/PlatformHeaderCodec.js';
import { toDataCentreId } from '../../src/domain/index.js';
import {
  AgentConnections,
  CallerServer,
  CrashRecordClient,
  CrashTracker,
  FleetView,
  ModelLoader,
  PromptPartSuspects,
  QuotaGate,
  RequestPermits,
  SharedRetryBudget,
  ServerChooser,
  StreamOriginClient,
  toQuotaFleet,
  type QuotaSource,
  type CallerLimits,
  type HeaderCodec,
  type Route,
  type ServerEntry,
  type ServingConfiguration,
} from '../../src/direct/index.js';
import { LateReadGuard } from '../../src/admission/index.js';
import { ByteBudget, delay, Random, SystemClock } from '../../src/kernel/index.js';
import { QuotaClient, RequestAuthorizer } from '../../src/organisations/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { PeerDialer, TrafficMeter } from '../../src/transport/index.js';
import { getRequestId, makeSignedHeaders } from '../../standins/users/index.js';
import { ENGINES, makeHeldModel, makeConfiguration, makeEntry, makeReport } from './fleetFixtures.js';
import { onReset } from './onReset.js';

const RETRY_LIMITS = { ratio: 0.2, slack: 50, windowMs: 10_000 };
export const CLOCK = new SystemClock();
/** Secret that routers present to agents. */
export const PEER_SECRET = 'secret';

/** Response as received by a caller. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly text: string;
  readonly isComplete: boolean;
}

/** Handles a request at a scripted server. */
export type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

let benchCount = 0;

/** A router in this process with backend servers whose behaviour the tests define. */
export class RouterBench {
  readonly view = new FleetView();
  bufferBudget = new ByteBudget(32 * 1024 * 1024);
  bodyBudget = new ByteBudget(48 * 1024 * 1024);
  retryLimits = RETRY_LIMITS;
  revocationLimits = { isStrict: false, revocationLimitMs: 5_000 };
  log = new Log('test', () => undefined);
  quotaTolerance = { windowMs: 8_000, ratio: 0.1, slack: 0 };
  /** Whether an agent has reported the number of routers, where the router connects to none. */
  isAgentKnown = true;
  readonly receivedRequests: { server: string; headers: IncomingMessage['headers']; body: string }[] = [];
  private readonly servers: (Server | SocketServer)[] = [];
  private router: CallerServer | undefined;
  private lateReadGuard: LateReadGuard | undefined;
  private modelLoader: ModelLoader | undefined;
  private agentConnections: AgentConnections | undefined;
  private streamOrigins: StreamOriginClient | undefined;
  private port = 0;
  /** Unique, as agents count routers by their names. */
  private readonly routerId = `router-${++benchCount}`;
  /** Source of the credit of organisations; tests pass their own. */
  quotas: QuotaSource | undefined;

  /**
   * @param codec - Codec for the headers of requests and responses; tests pass faulty ones.
   * @param agentPort - Port of the agents beside the engines; without it, the router connects to none.
   */
  constructor(
    private readonly codec: HeaderCodec = new PlatformHeaderCodec(),
    private readonly agentPort?: number,
  ) {}

  async addServer(
    id: string,
    handler: Handler,
    serviceId = ENGINES,
    overrides: Partial<ServerEntry> = {},
  ): Promise<void> {
    const server = createServer((incoming, response) => {
      let body = '';
      incoming.on('data', (chunk: Buffer) => (body += chunk.toString()));
      incoming.on('end', () => {
        this.receivedRequests.push({ server: id, headers: incoming.headers, body });
        handler(incoming, response, body);
      });
    });
    // A process that dials a peer on a reused port is not a caller.
    server.on('upgrade', (_incoming, socket) => socket.destroy());
    await this.listen(server, id, serviceId, overrides);
  }

  /** Adds a server that sends the given text for any request and then ends or resets the connection. */
  async addRawServer(id: string, text: (requestId: string) => string, isReset: boolean): Promise<void> {
    const server = createSocketServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', (chunk) => {
        const requestId = /request-id: (\S+)/i.exec(chunk.toString())?.[1] ?? '';
        this.receivedRequests.push({ server: id, headers: {}, body: '' });
        socket.write(text(requestId));
        setTimeout(() => (isReset ? socket.resetAndDestroy() : socket.end()), 20);
      });
    });
    await this.listen(server, id, ENGINES);
  }

  /** Adds a server whose connections the test reads and writes itself. */
  async addSocketServer(
    id: string,
    onConnection: (socket: Socket) => void,
    serviceId = ENGINES,
  ): Promise<void> {
    const server = createSocketServer((socket) => {
      socket.on('error', () => undefined);
      onConnection(socket);
    });
    await this.listen(server, id, serviceId);
  }

  async start(routes: readonly Route[], hasConfiguration = true): Promise<void> {
    const { view, codec, log } = this;
    if (hasConfiguration) {
      view.applyConfiguration(makeConfiguration(1, routes));
    }
    const metrics = new Metrics();
    const dialer = new PeerDialer(this.routerId, PEER_SECRET, CLOCK, new TrafficMeter());
    const peerPort = this.agentPort ?? 1;
    const agentConnections = new AgentConnections({ clock: CLOCK, dialer, view, peerPort, log });
    const streamOrigins = new StreamOriginClient({ clock: CLOCK, view, agentConnections, log, metrics });
    const chooser = new ServerChooser(view, toDataCentreId('here'), () => 0);
    const modelLoader = new ModelLoader({ clock: CLOCK, view, chooser, agentConnections, log });
    const retryBudget = new SharedRetryBudget(() => this.retryLimits, -Infinity);
    const crashTracker = new CrashTracker();
    const partSuspects = new PromptPartSuspects();
    agentConnections.onRequestCompleted((fingerprint) => {
      crashTracker.applyCompletion(fingerprint, CLOCK.nowMs());
    });
    agentConnections.onEngineCrashes((address, crashes) => {
      const promptParts = partSuspects.applyCrashes(address, crashes, CLOCK.nowMs());
      if (promptParts.length > 0) {
        agentConnections.notifyPartsAnswered([address], { promptParts });
      }
    });
    const getRetryBudget = () => retryBudget;
    this.modelLoader = modelLoader;
    if (this.agentPort === undefined && this.isAgentKnown) {
      // An agent that has left again has reported that there is one router.
      const left = makeReport(makeEntry('left', { address: '127.0.0.1:1' }));
      view.applyReport(left, CLOCK.nowMs());
      view.discardReport(left.address);
    }
    if (this.agentPort !== undefined) {
      this.agentConnections = agentConnections;
      dialer.exposeMethods(agentConnections.getMethods());
      await agentConnections.start();
      this.streamOrigins = streamOrigins;
      await streamOrigins.start();
    }
    this.quotas ??= new QuotaClient({
      clock: CLOCK,
      routerId: this.routerId,
      links: agentConnections,
      fleet: toQuotaFleet(view),
      getTolerance: () => this.quotaTolerance,
      log,
      metrics,
    });
    this.lateReadGuard = new LateReadGuard({ clock: CLOCK, log, metrics });
    await this.lateReadGuard.start();
    this.router = new CallerServer({
      address: { host: '127.0.0.1', port: 0 },
      clock: CLOCK,
      random: new Random(1),
      view,
      codec,
      forwarder: {
        clock: CLOCK,
        view,
        chooser,
        modelLoader,
        agentConnections,
        streamOrigins,
        permits: new RequestPermits({
          clock: CLOCK,
          random: new Random(benchCount),
          view,
          agentConnections,
          log,
          metrics,
        }),
        codec,
        crashRecords: new CrashRecordClient(agentConnections),
        crashTracker,
        partSuspects,
        log,
        metrics,
        bufferBudget: this.bufferBudget,
        getRetryBudget,
      },
      authorizer: new RequestAuthorizer(
        CLOCK,
        () => view.configurationKnowledge,
        () => this.revocationLimits,
      ),
      lateReadGuard: this.lateReadGuard,
      quotaGate: new QuotaGate(this.quotas),
      bodyBudget: this.bodyBudget,
      log,
      metrics,
      getStopGraceMs: () => 8_000,
    });
    await modelLoader.start();
    await this.router.start();
    this.port = this.router.port;
  }

  /** Applies a newer configuration with other limits for callers. */
  applyCallerLimits(routes: readonly Route[], limits: Partial<CallerLimits>): void {
    const configuration = makeConfiguration((this.view.configuration?.version ?? 0) + 1, routes);
    const callerLimits = { ...configuration.callerLimits, ...limits };
    this.applyConfiguration({ ...configuration, callerLimits });
  }

  /** Applies a newer configuration, as the router of a process does. */
  applyConfiguration(configuration: ServingConfiguration): void {
    this.view.applyConfiguration(configuration);
    this.router?.applyLimits();
    this.router?.refuseRevoked();
    this.modelLoader?.scheduleReview();
  }

  /** Sends a request; `disconnectAfterMs` closes its connection early, `agent` keeps it open for the next request. */
  sendRequest(
    path: string,
    headers: Record<string, string> = {},
    body = 'x',
    disconnectAfterMs?: number | 'first event',
    agent: Agent | false = false,
  ): Promise<ReceivedResponse> {
    return new Promise((resolve, reject) => {
      const outgoing = request({
        host: '127.0.0.1',
        port: this.port,
        method: 'POST',
        path,
        agent,
        headers: { host: 'a.example', 'request-id': 'r1', 'content-length': String(body.length), ...headers },
      });
      let isBroken = false;
      outgoing.on('error', reject);
      onReset(outgoing, () => (isBroken = true));
      outgoing.on('response', (response) => {
        outgoing.removeListener('error', reject);
        let text = '';
        response.on('data', (chunk: Buffer) => {
          text += chunk.toString();
          if (disconnectAfterMs === 'first event' && text.includes('\n\n')) {
            outgoing.destroy();
          }
        });
        response.on('error', () => undefined);
        response.on('close', () => {
          const { statusCode, headers: responseHeaders, complete } = response;
          // Node.js calls a response without a length complete also after a reset.
          const isComplete = complete && !isBroken;
          resolve({ status: statusCode ?? 0, headers: responseHeaders, text, isComplete });
        });
      });
      outgoing.end(body);
      if (typeof disconnectAfterMs === 'number') {
        setTimeout(() => outgoing.destroy(), disconnectAfterMs);
      }
    });
  }

  /** Port on which the router accepts callers. */
  get callerPort(): number {
    return this.port;
  }

  stopRouter(): Promise<void> {
    return this.router?.stop() ?? Promise.resolve();
  }

  async close(): Promise<void> {
    await this.modelLoader?.stop();
    await this.lateReadGuard?.stop();
    await this.streamOrigins?.stop();
    await this.agentConnections?.stop();
    await Promise.race([this.router?.stop(), delay(CLOCK, 10)]);
    for (const server of this.servers) {
      server.close();
      if ('closeAllConnections' in server) {
        server.closeAllConnections();
      }
    }
  }

  private async listen(
    server: Server | SocketServer,
    id: string,
    serviceId: typeof ENGINES,
    overrides: Partial<ServerEntry> = {},
  ): Promise<void> {
    this.servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const heldModels = serviceId === ENGINES ? [makeHeldModel('a')] : [];
    const address = `127.0.0.1:${port}`;
    this.view.applyEntry(makeEntry(id, { address, serviceId, heldModels, ...overrides }));
  }
}

/** Returns the headers with which a server signs its response to a request. */
export function makeResponseHeaders(
  incoming: IncomingMessage,
  contentType = 'application/json',
): Record<string, string> {
  return makeSignedHeaders(getRequestId(incoming), contentType);
}
