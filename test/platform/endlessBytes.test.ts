import { expect } from 'chai';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { ObjectStore, PlainWorker } from '../../standins/users/index.js';
import { sleepMs, waitUntil } from '../waiting.js';
import {
  bundleProgram,
  callRouter,
  makeSettingsFile,
  makeWorkerOptions,
  PLAIN_CONFIGURATION,
} from './programs.js';

const PORTS = { front: 9_491, ready: 9_492, peer: 9_493, spare: 9_494 };
const WORKER_PORT = 9_495;
/** Memory of the smallest machine, that of a sweep, in MB. */
const MACHINE_MB = 160;
/** Memory for objects that a deployment allows, in MB; buffers are outside of it. */
const HEAP_MB = { router: 160, agent: 128 };
const START_TIMEOUT_MS = 20_000;
/** Time for which the other end sends without end, in milliseconds. */
const ENDLESS_MS = 8_000;
/** Time for which an ordinary caller tries, in milliseconds. */
const ORDINARY_TIMEOUT_MS = 20_000;

const CHUNKED_HEAD =
  'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n';
const FILLER = 'x'.repeat(4_096);
/** What is sent once and what is sent again and again, by kind. */
const ENDLESS_RESPONSES: Readonly<Record<string, readonly [string, string]>> = {
  'a body in chunks of one byte': [CHUNKED_HEAD, '1\r\nx\r\n'.repeat(10_000)],
  'a body in large chunks': [CHUNKED_HEAD, `1000\r\n${FILLER}\r\n`.repeat(16)],
  'a head': ['HTTP/1.1 200 OK\r\na: b\r\n', `c: ${FILLER}\r\n`.repeat(16)],
  'a chunk extension': [`${CHUNKED_HEAD}1;e=`, FILLER.repeat(16)],
  'bytes that are no answer': ['junk ', FILLER.repeat(16)],
};

/** Passes connections on to a server, or answers each request with an endless response. */
class EndlessEnd {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private response: readonly [string, string] | undefined;

  /** @param target - Host and port of the server; absent if all responses are endless. */
  constructor(private readonly target?: string) {
    this.server = createServer((socket) => this.accept(socket));
  }

  async start(host: string): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, host, resolve);
    });
    return `${host}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Answers all requests from now on with an endless response. */
  sendEndless(response: readonly [string, string]): void {
    this.response = response;
    this.closeSockets();
  }

  stop(): void {
    this.closeSockets();
    this.server.close();
  }

  private closeSockets(): void {
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    if (this.response) {
      const [start, repeated] = this.response;
      socket.once('data', () => {
        socket.write(start);
        const send = () => {
          while (!socket.destroyed && socket.write(repeated));
        };
        socket.on('drain', send);
        send();
      });
      return;
    }
    const [host, port] = (this.target ?? '').split(':');
    const upstream = connect({ host, port: Number(port) });
    upstream.on('error', () => socket.destroy());
    socket.on('close', () => upstream.destroy());
    socket.pipe(upstream).pipe(socket);
  }
}

// Issue 50, FAULT: each chunk of a response of the engine or the store was kept by itself, so that chunks of one byte took a hundred
// times their size.
describe('main (bundled), beside another end that sends without end', function () {
  this.timeout(120_000);
  let directory: string;
  let reservation: LoopbackReservation;
  let ip: string;
  let child: ChildProcess | undefined;
  let endless: EndlessEnd;
  let store: ObjectStore;
  let worker: PlainWorker | undefined;

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    await bundleProgram(directory);
  });
  after(() => rm(directory, { recursive: true, force: true }));

  beforeEach(async () => {
    reservation = await LoopbackReservation.create();
    ip = reservation.getAddress(3);
    store = new ObjectStore();
  });

  afterEach(async () => {
    if (child?.exitCode === null && child.signalCode === null) {
      child.kill('SIGKILL');
      await once(child, 'exit');
    }
    endless.stop();
    worker?.stop();
    worker = undefined;
    store.stop();
    await reservation.release();
  });

  async function startProcess(
    role: keyof typeof HEAP_MB,
    storeAddress: string,
    engineAddress?: string,
  ): Promise<void> {
    const settings = { name: 'p1', ip, ports: PORTS, storeAddress, graceS: 8, memoryMb: MACHINE_MB };
    const file = join(directory, 'node.json');
    const engine = engineAddress === undefined ? {} : { engineAddress };
    await writeFile(file, JSON.stringify(makeSettingsFile({ ...settings, ...engine })));
    child = spawn(process.execPath, [`--max-old-space-size=${HEAP_MB[role]}`, join(directory, 'main.cjs')], {
      env: { MONSOONGLADE_NODE_FILE: file, MONSOONGLADE_PEER_SECRET: 's', ROARR_LOG: 'true' },
      stdio: 'ignore',
    });
  }

  async function expectAnswer(port: number, path: string, expected: number): Promise<void> {
    const isAnswered = async () => (await callRouter(ip, port, path))?.status === expected;
    const endsAtMs = Date.now() + ORDINARY_TIMEOUT_MS;
    while (!(await isAnswered())) {
      expect(Date.now(), `answer of port ${port}`).to.be.below(endsAtMs);
      await sleepMs(100);
    }
  }

  async function expectBounded(): Promise<void> {
    expect([child?.exitCode, child?.signalCode]).to.deep.equal([null, null]);
    const status = await readFile(`/proc/${child?.pid ?? 0}/status`, 'utf8');
    const peakMb = Math.round(Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 1_024);
    expect(peakMb, 'peak of the memory').to.be.below(MACHINE_MB);
  }

  for (const [name, response] of Object.entries(ENDLESS_RESPONSES)) {
    it(`an agent stays bounded: its engine sends ${name}`, async () => {
      endless = new EndlessEnd();
      endless.sendEndless(response);
      await startProcess('agent', '127.0.0.1:1', await endless.start(ip));
      const isListening = async () => (await callRouter(ip, PORTS.peer, '/')) !== undefined;
      await waitUntil(isListening, START_TIMEOUT_MS);
      await sleepMs(ENDLESS_MS);
      await expectAnswer(PORTS.peer, '/', 404);
      await expectBounded();
    });

    it(`a router stays bounded and answers an ordinary caller: the store sends ${name}`, async () => {
      store.put('config', 'main', PLAIN_CONFIGURATION);
      endless = new EndlessEnd(await store.start());
      worker = new PlainWorker(makeWorkerOptions(store, reservation.getAddress(4), WORKER_PORT));
      await worker.start();
      await startProcess('router', await endless.start(ip));
      const isReady = async () => (await callRouter(ip, PORTS.ready, '/'))?.status === 200;
      await waitUntil(isReady, START_TIMEOUT_MS);
      endless.sendEndless(response);
      await sleepMs(ENDLESS_MS);
      await expectAnswer(PORTS.front, '/x/1', 200);
      await expectBounded();
    });
  }
});
