// Small stand-ins for the users' platform, and a starter for the project's own program, shared by the scripts of this review.
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const SECRET = 'on-this-platform-only-our-machines-reach-this-port';
const FIRST_PORT = 20_000;
const PORT_RANGE = 10_000;

/** Resolves after a time. */
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Resolves with true once the condition holds, or with false after the time. */
export async function waitUntil(condition, timeoutMs, intervalMs = 20) {
  const endsAtMs = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() >= endsAtMs) {
      return false;
    }
    await sleep(intervalMs);
  }
  return true;
}

/** The case could not run: no verdict on the program. */
export class CannotRun extends Error {}

/** Lines of the record of a case, written to `record.txt` beside the script. */
export class Record {
  constructor(scriptUrl) {
    this.path = join(dirname(fileURLToPath(scriptUrl)), 'record.txt');
    this.startedAtMs = Date.now();
    this.lines = [];
  }

  add(text) {
    const atMs = String(Date.now() - this.startedAtMs).padStart(6);
    this.lines.push(`${atMs} ms  ${text}`);
  }

  save() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

/** Loopback addresses and ports of one run. */
export class Loopback {
  constructor() {
    this.subnet = `127.${20 + (process.pid % 100)}.${process.pid % 250}`;
    this.nextHost = 1;
  }

  takeAddress() {
    return `${this.subnet}.${this.nextHost++}`;
  }

  /** Returns a port below those that the system assigns by itself, on which nothing listens on the address. */
  async takePort(address) {
    for (let attempt = 0; attempt < 50; attempt++) {
      const port = FIRST_PORT + Math.floor(Math.random() * PORT_RANGE);
      if (await canListen(address, port)) {
        return port;
      }
    }
    throw new CannotRun(`no free port on ${address}`);
  }
}

function canListen(host, port) {
  return new Promise((resolve) => {
    const probe = createTcpServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, host, () => probe.close(() => resolve(true)));
  });
}

/** Listens on an address of its own; resolves with the host and port. */
export async function listen(server, loopback) {
  const host = loopback.takeAddress();
  const port = await loopback.takePort(host);
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: 4_096 }, resolve);
  });
  return `${host}:${port}`;
}

/** The platform's metadata store: lists and watches of objects by kind, as on the pages. */
export class Store {
  constructor() {
    this.objects = new Map();
    this.events = [];
    this.revision = 1;
    this.watches = new Set();
    this.server = createServer((request, response) => this.handle(request, response));
  }

  put(kind, name, spec) {
    const object = { Metadata: { Name: name, Rev: ++this.revision, CreatedRev: 1 }, Spec: spec, Status: {} };
    this.objects.set(`${kind}/${name}`, object);
    this.publish(kind, object, false);
  }

  remove(kind, name) {
    const object = this.objects.get(`${kind}/${name}`);
    if (object) {
      this.objects.delete(`${kind}/${name}`);
      this.revision++;
      this.publish(kind, object, true);
    }
  }

  publish(kind, object, isTombstone) {
    this.events.push({ kind, revision: this.revision, event: { Object: object, Tombstone: isTombstone } });
    for (const answer of [...this.watches]) {
      answer();
    }
  }

  handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const kind = url.pathname.replace('/api/objects/', '');
    const send = (body) => {
      if (!response.destroyed) {
        response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(body));
      }
    };
    const watched = url.searchParams.get('Watch');
    if (watched === null) {
      const items = [...this.objects]
        .filter(([key]) => key.startsWith(`${kind}/`))
        .map(([, object]) => object);
      send({ items, HasMore: false, StoreRevision: this.revision });
      return;
    }
    const answer = (isLast) => {
      const events = this.events
        .filter((entry) => entry.kind === kind && entry.revision > Number(watched))
        .map(({ event }) => event);
      if (events.length > 0 || isLast) {
        clearTimeout(timer);
        this.watches.delete(answer);
        send({ events, StoreRevision: this.revision });
      }
    };
    const timer = setTimeout(() => answer(true), Number(url.searchParams.get('WaitMs') ?? 0));
    this.watches.add(answer);
    response.on('close', () => {
      clearTimeout(timer);
      this.watches.delete(answer);
    });
    answer(false);
  }
}

/** Bounds of the small deployment `mosquitero-coop`, as its processes receive them. */
export const BOUNDS = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  StableWindowMs: 3000,
  AckMs: 4000,
  CatchUpS: 4,
  DrainMs: 2000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  RollbackSlackMs: 250,
  MaxStretchMs: 5000,
  RetryBudgetRatio: 0.2,
  BudgetWindowS: 10,
  RetrySlack: 56,
  RecoverS: 12,
  PassMs: 120,
  AgainS: 0,
  RequireFence: true,
  LeaseMs: 3000,
  ThawMs: 300,
  CeilingWindowS: 5,
  LoadBurstFactor: 1.1,
};

/** The programs and stand-ins of one run; ends all of them. */
export class Fleet {
  constructor(record) {
    this.record = record;
    this.loopback = new Loopback();
    this.store = new Store();
    this.folder = mkdtempSync(join(tmpdir(), 'review-3-'));
    this.children = [];
    this.servers = [];
  }

  async start(configuration) {
    this.servers.push(this.store.server);
    this.storeAddress = await listen(this.store.server, this.loopback);
    this.peerPort = await this.loopback.takePort(this.loopback.takeAddress());
    this.store.put('config', 'main', configuration);
  }

  /** Starts a router with the command of the deploy file; resolves once it reports that it is ready. */
  async startRouter(name, { bounds = {}, limits = {} } = {}) {
    const ip = this.loopback.takeAddress();
    const front = await this.loopback.takePort(ip);
    const ready = await this.loopback.takePort(ip);
    const router = { name, ip, front, ready, output: '' };
    this.startProgram(router, 160, {
      Role: 'router',
      MachineClass: 'front',
      Serves: ['front'],
      Listen: { Front: `${ip}:${front}`, Ready: `${ip}:${ready}` },
      Limits: {
        CpuShare: 0.513,
        Cores: 1,
        MemoryMb: 350,
        MaxFds: 4100,
        LinkMbps: 1000,
        DiskMb: 0,
        ...limits,
      },
      Bounds: { ...BOUNDS, ...bounds },
    });
    const isReady = await waitUntil(async () => (await getStatus(ip, ready)) === 200, 15_000);
    if (!isReady) {
      throw new CannotRun(`the router ${name} was not ready within 15 s: ${router.output.slice(0, 2_000)}`);
    }
    this.record.add(`router ${name} is ready, process ${router.child.pid}`);
    return router;
  }

  startProgram(program, heapMb, settings) {
    const file = join(this.folder, `${program.name}.json`);
    const common = {
      NodeName: program.name,
      Ip: program.ip,
      Zone: 'salto',
      Region: 'uy-litoral',
      Zones: { salto: 'uy-litoral' },
      InternalPorts: [this.peerPort, this.peerPort + 15],
      Seeds: [],
      Bootstrap: false,
      InTolerance: false,
      DataDir: null,
      Discovery: 'platform',
      HeartbeatMs: 1200,
      Platform: {
        Address: this.storeAddress,
        form: 'objects',
        WritesPerS: 400,
        ReadsPerS: 2000,
        HistoryS: 20,
        ValueBytes: 1_048_576,
        TtlMinMs: 1000,
      },
    };
    writeFileSync(file, JSON.stringify({ ...common, ...settings }));
    const child = spawn(process.execPath, [`--max-old-space-size=${heapMb}`, 'target/main.cjs'], {
      cwd: ROOT,
      env: { MONSOONGLADE_NODE_FILE: file, MONSOONGLADE_PEER_SECRET: SECRET, ROARR_LOG: 'true' },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    program.child = child;
    program.hasEnded = false;
    child.on('exit', (code, signal) => {
      program.hasEnded = true;
      this.record.add(`process ${child.pid} (${program.name}) ended: code ${code}, signal ${signal}`);
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (chunk) => (program.output = (program.output + chunk).slice(-4_000_000)));
    }
    this.children.push(program);
  }

  /** Lists a worker of a service in the store. */
  listWorker(id, service, address, fields = {}) {
    this.store.put('servers', id, {
      Service: service,
      Address: address,
      Zone: 'salto',
      Version: 'v1',
      Slots: 48,
      State: 'ready',
      ColdLeftMs: 0,
      Sequence: 1,
      born: this.record.startedAtMs,
      ...fields,
    });
  }

  async end() {
    for (const program of this.children) {
      if (!program.hasEnded) {
        program.child.kill('SIGKILL');
        await waitUntil(() => program.hasEnded, 5_000);
      }
    }
    for (const server of this.servers) {
      server.closeAllConnections?.();
      server.close();
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Returns the status of a readiness check; undefined without an answer. */
export function getStatus(host, port) {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    let received = '';
    const end = () => {
      socket.destroy();
      resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(received)?.[1]) || undefined);
    };
    socket.setTimeout(1_000, end);
    socket.on('data', (chunk) => {
      received += chunk;
      end();
    });
    socket.on('error', end);
    socket.on('close', end);
    socket.write('GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n');
  });
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run. */
export async function runCase(scriptUrl, play) {
  const record = new Record(scriptUrl);
  const isCalm = process.env.TROUBLE === '0';
  record.add(isCalm ? 'without the disruption (TROUBLE=0)' : 'with the disruption');
  const fleet = new Fleet(record);
  let code = 2;
  let result;
  try {
    const isBroken = await play(fleet, record, isCalm);
    code = isBroken ? 1 : 0;
    result = isBroken ? 'the rule was broken' : 'the rule held';
  } catch (error) {
    result = `the case could not run: ${error.stack ?? error}`;
  }
  await fleet.end();
  record.add(`result: ${result}`);
  record.save();
  process.stdout.write(`${result}\n`);
  process.exit(code);
}
