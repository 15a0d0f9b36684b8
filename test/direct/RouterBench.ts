import {
  createServer,
  request,
  type Agent,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { createServer as createSocketServer, type AddressInfo, type Server as SocketServer } from 'node:net';
import { PlatformHeaderCodec } from '../../platform/PlatformHeaderCodec.js';
import { toDataCentreId } from '../../src/domain/index.js';
import {
  AgentConnections,
  CallerServer,
  CrashTracker,
  FleetView,
  ModelLoader,
  SharedRetryBudget,
  ServerChooser,
  type HeaderCodec,
  type Route,
} from '../../src/direct/index.js';
import { delay, Random, SystemClock } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { PeerDialer, TrafficMeter } from '../../src/transport/index.js';
import { getRequestId, makeSignedHeaders } from '../../standins/users/index.js';
import { ENGINES, makeHeldModel, makeConfiguration, makeEntry } from './fleetFixtures.js';

const BOUND = { ratio: 0.2, slack: 50, windowMs: 10_000 };
export const CLOCK = new SystemClock();

/** What a caller got. */
export interface CallerGot {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly text: string;
  readonly isWhole: boolean;
}

/** What a scripted server does with a request. */
export type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

/** A router in this process and backend servers that tests script. */
export class RouterBench {
  readonly view = new FleetView();
  readonly seen: { server: string; headers: IncomingMessage['headers']; body: string }[] = [];
  private readonly servers: (Server | SocketServer)[] = [];
  private router: CallerServer | undefined;
  private desk: ModelLoader | undefined;
  private port = 0;

  /** @param codec - Headers of requests and answers; tests pass broken ones. */
  constructor(private readonly codec: HeaderCodec = new PlatformHeaderCodec()) {}

  async addServer(id: string, handler: Handler, serviceId = ENGINES): Promise<void> {
    const server = createServer((incoming, response) => {
      let body = '';
      incoming.on('data', (chunk: Buffer) => (body += chunk.toString()));
      incoming.on('end', () => {
        this.seen.push({ server: id, headers: incoming.headers, body });
        handler(incoming, response, body);
      });
    });
    await this.listen(server, id, serviceId);
  }

  /** Adds a server that answers any request with fixed bytes and then ends or resets the connection. */
  async addRawServer(id: string, text: (requestId: string) => string, isReset: boolean): Promise<void> {
    const server = createSocketServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', (chunk) => {
        const requestId = /request-id: (\S+)/i.exec(chunk.toString())?.[1] ?? '';
        this.seen.push({ server: id, headers: {}, body: '' });
        socket.write(text(requestId));
        setTimeout(() => (isReset ? socket.resetAndDestroy() : socket.end()), 20);
      });
    });
    await this.listen(server, id, ENGINES);
  }

  async start(routes: readonly Route[], knowsConfiguration = true): Promise<void> {
    const { view, codec } = this;
    if (knowsConfiguration) {
      view.applyConfiguration(makeConfiguration(1, routes));
    }
    const log = new Log('test', () => undefined);
    const metrics = new Metrics();
    const dialer = new PeerDialer('test', '', CLOCK, new TrafficMeter());
    const links = new AgentConnections({ clock: CLOCK, dialer, view, peerPort: 1, log });
    const chooser = new ServerChooser(view, toDataCentreId('here'), () => 0);
    const desk = new ModelLoader({ clock: CLOCK, view, chooser, agentConnections: links, log });
    const allowance = new SharedRetryBudget(() => BOUND);
    const suspects = new CrashTracker();
    const allowanceOf = () => allowance;
    this.port = await freePort();
    this.desk = desk;
    this.router = new CallerServer({
      address: { host: '127.0.0.1', port: this.port },
      clock: CLOCK,
      random: new Random(1),
      view,
      codec,
      forwarder: {
        clock: CLOCK,
        view,
        chooser,
        modelLoader: desk,
        agentConnections: links,
        codec,
        crashTracker: suspects,
        log,
        metrics,
        getRetryBudget: allowanceOf,
      },
      log,
      metrics,
      getStopGraceMs: () => 8_000,
    });
    await desk.start();
    await this.router.start();
  }

  /** Sends a request; `leaveAfterMs` closes its connection early, `agent` keeps it for the next. */
  call(
    path: string,
    headers: Record<string, string> = {},
    body = 'x',
    leaveAfterMs?: number,
    agent: Agent | false = false,
  ): Promise<CallerGot> {
    return new Promise((resolve, reject) => {
      const outgoing = request({
        host: '127.0.0.1',
        port: this.port,
        method: 'POST',
        path,
        agent,
        headers: { host: 'a.example', 'request-id': 'r1', 'content-length': String(body.length), ...headers },
      });
      outgoing.on('error', reject);
      outgoing.on('response', (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => (text += chunk.toString()));
        response.on('error', () => undefined);
        response.on('close', () => {
          const { statusCode, headers: answered, complete } = response;
          resolve({ status: statusCode ?? 0, headers: answered, text, isWhole: complete });
        });
      });
      outgoing.end(body);
      if (leaveAfterMs !== undefined) {
        setTimeout(() => outgoing.destroy(), leaveAfterMs);
      }
    });
  }

  stopRouter(): Promise<void> {
    return this.router?.stop() ?? Promise.resolve();
  }

  async close(): Promise<void> {
    await this.desk?.stop();
    await Promise.race([this.router?.stop(), delay(CLOCK, 10)]);
    for (const server of this.servers) {
      server.close();
      if ('closeAllConnections' in server) {
        server.closeAllConnections();
      }
    }
  }

  private async listen(server: Server | SocketServer, id: string, serviceId: typeof ENGINES): Promise<void> {
    this.servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const heldModels = serviceId === ENGINES ? [makeHeldModel('a')] : [];
    this.view.applyEntry(makeEntry(id, { address: `127.0.0.1:${port}`, serviceId, heldModels }));
  }
}

async function freePort(): Promise<number> {
  const probe = createSocketServer();
  await new Promise<void>((resolve) => {
    probe.listen(0, '127.0.0.1', resolve);
  });
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  return port;
}

/** Headers by which a server signs its answer to a request. */
export function stamped(incoming: IncomingMessage, contentType = 'application/json'): Record<string, string> {
  return makeSignedHeaders(getRequestId(incoming), contentType);
}
