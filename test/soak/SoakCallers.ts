import { Agent, request, type ClientRequest } from 'node:http';
import type { Random } from '../../src/kernel/index.js';
import { sleepMs } from '../waiting.js';
import type { SoakFleet, SoakProcess } from './SoakFleet.js';
import type { DrawnKey, SoakOrganisations } from './SoakOrganisations.js';
import { isStable, type RequestKind, type SoakRecorder, type SoakRequest } from './SoakRecorder.js';

/** Interval between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 12;
const KINDS: readonly RequestKind[] = ['stream', 'stream', 'read', 'write', 'moved'];
/** Connections to each router that are kept for many requests. */
const KEPT_CONNECTION_COUNT = 6;
/** Share of the requests that are sent on a new connection, besides those for which no kept connection is free. */
const NEW_CONNECTION_PROBABILITY = 0.25;

/** Key that is always valid and has no quota. */
const PROBE_KEY: DrawnKey = { key: 'k-acme-1', organisation: 'acme' };

/** Connection to a router that callers keep open, for one request at a time. */
interface KeptConnection {
  readonly agent: Agent;
  readonly router: SoakProcess;
  isBusy: boolean;
}

/** Callers that send requests to all routers, on connections that stay open until their router closes them and on new ones. */
export class SoakCallers {
  private count = 0;
  private timer: NodeJS.Timeout | undefined;
  private readonly openRequests = new Set<Promise<unknown>>();
  private readonly keptConnections: KeptConnection[] = [];

  constructor(
    private readonly fleet: SoakFleet,
    private readonly recorder: SoakRecorder,
    private readonly random: Random,
    private readonly organisations: SoakOrganisations,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      this.send(KINDS[this.random.nextInt(KINDS.length)] ?? 'read', this.organisations.drawKey());
    }, REQUEST_INTERVAL_MS);
  }

  /** Sends a request to a router drawn at random. */
  send(kind: RequestKind, key: DrawnKey): void {
    const pendingRequest = this.sendRequest(kind, this.random.nextInt(this.fleet.routers.length), key);
    this.openRequests.add(pendingRequest);
    void pendingRequest.finally(() => this.openRequests.delete(pendingRequest));
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.openRequests);
    for (const { agent } of this.keptConnections) {
      agent.destroy();
    }
  }

  /** Waits until each kind of request completes on each router; returns false on timeout. */
  async waitUntilAllComplete(timeoutMs: number): Promise<boolean> {
    const deadlineMs = Date.now() + timeoutMs;
    let pendingProbes = this.fleet.routers.flatMap((_, router) => KINDS.map((kind) => ({ kind, router })));
    while (pendingProbes.length > 0 && Date.now() < deadlineMs) {
      const probeResults = await Promise.all(
        pendingProbes.map(async (probe) => ({
          probe,
          result: await this.sendRequest(probe.kind, probe.router, PROBE_KEY),
        })),
      );
      pendingProbes = probeResults
        .filter(({ result }) => result.status !== 200 || !result.isComplete)
        .map(({ probe }) => probe);
      await sleepMs(100);
    }
    return pendingProbes.length === 0;
  }

  private sendRequest(
    kind: RequestKind,
    routerIndex: number,
    { key, organisation }: DrawnKey,
  ): Promise<SoakRequest> {
    const router = this.fleet.routers[routerIndex] as SoakProcess;
    const connection = this.takeConnection(router);
    const id = `q${++this.count}`;
    const record: SoakRequest = {
      requestId: id,
      kind,
      router: router.name,
      sentAtMs: Date.now(),
      key,
      organisation,
      isRouterStable: isStable(router.disturbedAtMs),
      text: '',
      isComplete: false,
      wasDisturbed: false,
      isSent: false,
    };
    this.recorder.requests.push(record);
    const model = ['a', 'b', 'c', 'd/x'][this.random.nextInt(4)] ?? 'a';
    const headers: Record<string, string> = {
      host: 'a.example',
      'request-id': id,
      'content-length': String(id.length),
      authorization: `Bearer ${key}`,
    };
    const outgoing = request({
      host: router.ip,
      port: this.fleet.callerPort,
      method: 'POST',
      path: `/${kind}/x`,
      agent: connection?.agent ?? false,
      headers: kind === 'stream' ? { ...headers, model } : headers,
    });
    return new Promise((resolve) => {
      recordResponse(outgoing, record, () => {
        record.wasDisturbed = router.disturbedAtMs >= record.sentAtMs;
        if (connection) {
          connection.isBusy = false;
        }
        resolve(record);
      });
    });
  }

  /** Returns a free kept connection to a router; undefined if a new one is to be used. */
  private takeConnection(router: SoakProcess): KeptConnection | undefined {
    const connections = this.keptConnections.filter((connection) => connection.router === router);
    if (this.random.nextFraction() < NEW_CONNECTION_PROBABILITY) {
      return undefined;
    }
    let free = connections.find(({ isBusy }) => !isBusy);
    if (!free && connections.length < KEPT_CONNECTION_COUNT) {
      free = { agent: new Agent({ keepAlive: true, maxSockets: 1 }), router, isBusy: false };
      this.keptConnections.push(free);
    }
    if (free) {
      free.isBusy = true;
    }
    return free;
  }
}

/** Records the response or error of a request as observed by the caller. */
function recordResponse(outgoing: ClientRequest, record: SoakRequest, onEnd: () => void): void {
  const end = () => {
    record.endedAtMs ??= Date.now();
    onEnd();
  };
  outgoing.on('socket', (socket) => {
    record.isSent = !socket.connecting;
    if (socket.connecting) {
      socket.once('connect', () => (record.isSent = true));
    }
  });
  outgoing.on('finish', () => (record.writtenAtMs = Date.now()));
  let hasFailed = false;
  outgoing.on('error', () => {
    hasFailed = true;
    end();
  });
  outgoing.on('response', (response) => {
    record.status = response.statusCode;
    record.headAtMs = Date.now();
    response.on('data', (chunk: Buffer) => (record.text += chunk.toString()));
    response.on('error', () => undefined);
    response.on('close', () => {
      // After a reset, Node.js marks a response that ends with its connection as complete.
      record.isComplete = response.complete && !hasFailed;
      end();
    });
  });
  outgoing.setTimeout(20_000, () => outgoing.destroy());
  outgoing.end(record.requestId);
}
