import { expect } from 'chai';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { mkdtemp, readFile, readdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { ObjectStore, PlainWorker } from '../../standins/users/index.js';
import { getRequestId, makeSignedHeaders } from '../../standins/users/Worker.js';
import { sleepMs, waitUntil } from '../waiting.js';
import {
  bundleProgram,
  callRouter,
  makeSettingsFile,
  makeWorkerOptions,
  PLAIN_CONFIGURATION,
} from './programs.js';
import type { Crowd, CrowdKind } from './sendCrowd.js';

const PORTS = { front: 9_481, ready: 9_482, peer: 9_483, spare: 9_484 };
const METRICS_PORT = 9_464;
const WORKER_PORT = 9_485;
const ENGINE_PORT = 9_486;
/** Memory that the settings state, and that a process must not exceed, in MB. */
const MACHINE_MB = 160;
/** Memory for objects that a deployment allows, in MB; buffers are outside of it. */
const HEAP_MB = 160;
/** Connections that the settings allow on each port. */
const CONNECTION_LIMIT = 700;
/** Descriptors that a process may have open beside those connections. */
const OTHER_DESCRIPTORS = 150;
const MAX_BODY_BYTES = 3_900_000;
const ROUTE_TIMEOUT_MS = 20_000;
const START_TIMEOUT_MS = 20_000;
/** Time before the ordinary request, in milliseconds. */
const CROWD_MS = 3_000;
/** Time for which an ordinary caller tries, in milliseconds. */
const ORDINARY_TIMEOUT_MS = 40_000;

/** Worker with one path of large responses. */
class LargeWorker extends PlainWorker {
  protected override serve(incoming: IncomingMessage, response: ServerResponse): void {
    if (incoming.url !== '/x/large') {
      super.serve(incoming, response);
      return;
    }
    incoming.resume();
    const headers = makeSignedHeaders(getRequestId(incoming), 'text/plain');
    response.writeHead(200, { ...headers, 'content-length': MAX_BODY_BYTES });
    response.end(Buffer.alloc(MAX_BODY_BYTES, 'x'));
  }
}

/** Returns the status of the first answer, however often the connection fails before. */
async function callPatiently(host: string, port: number, path: string, expected: number): Promise<boolean> {
  const endsAtMs = Date.now() + ORDINARY_TIMEOUT_MS;
  while (Date.now() < endsAtMs) {
    const remaining = sleepMs(endsAtMs - Date.now()).then(() => undefined);
    const response = await Promise.race([callRouter(host, port, path), remaining]);
    if (response?.status === expected) {
      return true;
    }
    await sleepMs(100);
  }
  return false;
}

// Issue 45, FAULT: nothing bounded the processor time of a connection, the connections, or the heads that were arriving.
describe('main (bundled), under a crowd of untrusted callers', function () {
  this.timeout(120_000);
  let store: ObjectStore;
  let worker: LargeWorker;
  let directory: string;
  let child: ChildProcess;
  let crowdProcess: ChildProcess | undefined;
  let reservation: LoopbackReservation;
  let ip: string;

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    await bundleProgram(directory);
  });
  after(() => rm(directory, { recursive: true, force: true }));

  beforeEach(async () => {
    reservation = await LoopbackReservation.create();
    ip = reservation.getAddress(3);
    store = new ObjectStore();
    const Routes = PLAIN_CONFIGURATION.Routes.map((route) => ({ ...route, TimeoutMs: ROUTE_TIMEOUT_MS }));
    const Limits = { ...PLAIN_CONFIGURATION.Limits, MaxBodyBytes: MAX_BODY_BYTES };
    store.put('config', 'main', { ...PLAIN_CONFIGURATION, Routes, Limits });
    worker = new LargeWorker(makeWorkerOptions(store, reservation.getAddress(4), WORKER_PORT));
  });

  afterEach(async () => {
    for (const started of [crowdProcess, child]) {
      if (started?.exitCode === null && started.signalCode === null) {
        started.kill('SIGKILL');
        await once(started, 'exit');
      }
    }
    worker.stop();
    store.stop();
    await reservation.release();
  });

  async function startProcess(engineAddress?: string): Promise<void> {
    const storeAddress = await store.start();
    const settings = {
      name: 'p1',
      ip,
      ports: PORTS,
      storeAddress,
      graceS: 8,
      ...(engineAddress === undefined ? {} : { engineAddress }),
    };
    const Limits = { MemoryMb: MACHINE_MB, Connections: CONNECTION_LIMIT };
    const file = join(directory, 'node.json');
    await writeFile(file, JSON.stringify({ ...makeSettingsFile(settings), Limits }));
    child = spawn(process.execPath, [`--max-old-space-size=${HEAP_MB}`, join(directory, 'main.cjs')], {
      env: { MONSOONGLADE_NODE_FILE: file, MONSOONGLADE_PEER_SECRET: 's', ROARR_LOG: 'true' },
      stdio: 'ignore',
    });
  }

  async function startRouter(): Promise<void> {
    await worker.start();
    await startProcess();
    const isReady = async () => (await callRouter(ip, PORTS.ready, '/'))?.status === 200;
    await waitUntil(isReady, START_TIMEOUT_MS);
  }

  async function startAgent(): Promise<void> {
    await startProcess(`${ip}:${ENGINE_PORT}`);
    const isListening = async () => (await callRouter(ip, PORTS.peer, '/')) !== undefined;
    await waitUntil(isListening, START_TIMEOUT_MS);
  }

  async function sendCrowd(
    kind: CrowdKind,
    connectionCount: number,
    byteCount: number,
    port: number,
  ): Promise<void> {
    const crowd: Crowd = { kind, host: ip, port, connectionCount, byteCount };
    const program = fileURLToPath(new URL('sendCrowd.js', import.meta.url));
    const args = [program, JSON.stringify(crowd)];
    crowdProcess = spawn(process.execPath, args, { stdio: ['pipe', 'ignore', 'inherit'] });
    await sleepMs(CROWD_MS);
  }

  /** Checks that the process lives within its memory and descriptors. */
  async function expectBounded(): Promise<void> {
    expect([child.exitCode, child.signalCode]).to.deep.equal([null, null]);
    const directoryOfProcess = `/proc/${child.pid ?? 0}`;
    const status = await readFile(`${directoryOfProcess}/status`, 'utf8');
    const peakMb = Math.round(Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 1_024);
    const { length: descriptorCount } = await readdir(`${directoryOfProcess}/fd`);
    expect(peakMb, 'peak of the memory').to.be.below(MACHINE_MB);
    expect(descriptorCount, 'descriptors').to.be.below(CONNECTION_LIMIT + OTHER_DESCRIPTORS);
  }

  const CASES: readonly [CrowdKind, number, number][] = [
    ['smallChunks', 600, 60_000],
    ['smallChunks', 40, 1_000_000],
    ['largeChunks', 300, MAX_BODY_BYTES],
    ['head', 1_500, 60_000],
    ['extension', 1_500, 60_000],
    ['trailers', 1_500, 60_000],
    ['pipelined', 300, 60_000],
    ['unreadResponses', 300, 6_000],
    ['silent', 1_500, 0],
    ['upgrade', 1_500, 60_000],
  ];
  for (const [kind, connectionCount, byteCount] of CASES) {
    it(`stays bounded and answers an ordinary caller: ${kind}, ${connectionCount} of ${byteCount} bytes`, async () => {
      await startRouter();
      await sendCrowd(kind, connectionCount, byteCount, PORTS.front);
      expect(await callPatiently(ip, PORTS.front, '/x/1', 200), 'ordinary caller').to.equal(true);
      expect(await callPatiently(ip, PORTS.ready, '/', 200), 'readiness').to.equal(true);
      await expectBounded();
    });
  }

  const INTERNAL_CASES: readonly [CrowdKind, number, number][] = [
    ['smallChunks', 600, 60_000],
    ['head', 1_500, 14_000],
    ['silent', 1_500, 0],
  ];
  for (const [name, port, expected] of [
    ['readiness', PORTS.ready, 200],
    ['metrics', METRICS_PORT, 200],
    ['peer', PORTS.peer, 404],
  ] as const) {
    for (const [kind, connectionCount, byteCount] of INTERNAL_CASES) {
      it(`stays bounded and answers on its ${name} port: ${kind}, ${connectionCount} of ${byteCount} bytes`, async () => {
        await (name === 'peer' ? startAgent() : startRouter());
        await sendCrowd(kind, connectionCount, byteCount, port);
        expect(await callPatiently(ip, port, '/', expected), name).to.equal(true);
        await expectBounded();
      });
    }
  }
});
