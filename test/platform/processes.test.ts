import { expect } from 'chai';
import { build } from 'esbuild';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, request, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stamped } from '../direct/RouterBench.js';

/** Loopback address of the router, its own so that the port of its metrics is free. */
const ROUTER_IP = '127.0.71.3';
/** Time for a process to be ready or to end, in milliseconds; the platform gives twelve seconds. */
const LIMIT_MS = 12_000;

/** Servers and store of one deployment, scripted, and the programs that run before them. */
class PlatformBench {
  /** What the router printed. */
  output = '';
  private directory = '';
  private bundle = '';
  private readonly servers: Server[] = [];
  private process: ChildProcess | undefined;

  async prepare(): Promise<void> {
    this.directory = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    this.bundle = join(this.directory, 'main.cjs');
    await build({
      entryPoints: ['platform/main.ts'],
      bundle: true,
      platform: 'node',
      format: 'cjs',
      target: 'node20',
      outfile: this.bundle,
    });
  }

  async listen(handle: (incoming: IncomingMessage) => { headers?: Record<string, string>; text: string }) {
    const server = createServer((incoming, response) => {
      incoming.resume();
      incoming.on('end', () => {
        const { headers = {}, text } = handle(incoming);
        response.writeHead(200, headers).end(text);
      });
    });
    this.servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Starts the program with a settings file; its output is kept. */
  async run(settings: unknown): Promise<ChildProcess> {
    const file = join(this.directory, 'node.json');
    await writeFile(file, JSON.stringify(settings));
    this.output = '';
    const child = spawn(process.execPath, [this.bundle], {
      env: { MONSOONGLADE_NODE_FILE: file, MONSOONGLADE_PEER_SECRET: 's', ROARR_LOG: 'true' },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.process = child;
    child.stdout.on('data', (chunk: Buffer) => (this.output += chunk.toString()));
    child.stderr.on('data', (chunk: Buffer) => (this.output += chunk.toString()));
    return child;
  }

  async close(): Promise<void> {
    this.process?.kill('SIGKILL');
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
    await rm(this.directory, { recursive: true, force: true });
  }
}

/** Objects of a store with one route to one plain service at an address. */
function answerOfStore(incoming: IncomingMessage, address: string): { text: string } {
  const url = new URL(incoming.url ?? '', 'http://store');
  const isWatch = url.searchParams.has('Watch');
  const configuration = {
    Version: 1,
    Routes: [
      {
        Name: 'r',
        Hostname: 'a.example',
        PathPrefix: '/x/',
        Kind: 'idempotent',
        TimeoutMs: 1_000,
        TargetLatencyMs: 100,
        Service: 's',
      },
    ],
    Services: [{ Name: 's', MaxConns: 10 }],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 100_000, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
  };
  const entry = { Service: 's', Address: address, Zone: 'z', Slots: 4, State: 'ready' };
  const object = url.pathname.endsWith('config')
    ? { Metadata: { Name: 'main', Rev: 1 }, Spec: configuration }
    : { Metadata: { Name: 'i-1', Rev: 1 }, Spec: entry };
  const page = isWatch ? { events: [] } : { items: [object], HasMore: false };
  return { text: JSON.stringify({ ...page, StoreRevision: 1 }) };
}

function routerSettings(storeAddress: string) {
  return {
    NodeName: 'router-1',
    Ip: ROUTER_IP,
    Zone: 'z',
    Listen: { Front: `${ROUTER_IP}:9471`, Ready: `${ROUTER_IP}:9472` },
    InternalPorts: [9_473, 9_474],
    Bounds: { RetryBudgetRatio: 0.2, RetrySlack: 50, BudgetWindowS: 10, GraceS: 8 },
    Platform: { Address: storeAddress },
  };
}

/** Sends a request to the router; undefined when nobody answers. */
function call(port: number, path: string): Promise<{ status: number; text: string } | undefined> {
  return new Promise((resolve) => {
    const headers = { host: 'a.example', 'request-id': 'r1' };
    const outgoing = request({ host: ROUTER_IP, port, path, headers, agent: false }, (response) => {
      let text = '';
      response.on('data', (chunk: Buffer) => (text += chunk.toString()));
      response.on('end', () => resolve({ status: response.statusCode ?? 0, text }));
    });
    outgoing.on('error', () => resolve(undefined));
    outgoing.end();
  });
}

async function until(isSo: () => boolean | Promise<boolean>): Promise<void> {
  const endsAtMs = Date.now() + LIMIT_MS;
  while (!(await isSo()) && Date.now() < endsAtMs) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

describe('the bundled program', function () {
  this.timeout(3 * LIMIT_MS);
  let bench: PlatformBench;

  beforeEach(async () => {
    bench = new PlatformBench();
    await bench.prepare();
  });

  afterEach(() => bench.close());

  it('as a router says when it is ready, serves a request and ends by itself when it is told to', async () => {
    const backend = await bench.listen((incoming) => ({ headers: stamped(incoming), text: 'served' }));
    const store = await bench.listen((incoming) => answerOfStore(incoming, backend));
    const router = await bench.run(routerSettings(store));
    await until(async () => (await call(9_472, '/'))?.status === 200);
    const isTold = () => /"sinceStartMs":\d+.*"message":"ready for callers"/.test(bench.output);
    await until(isTold);
    expect(isTold(), bench.output).to.equal(true);
    expect(await call(9_471, '/x/1')).to.deep.equal({ status: 200, text: 'served' });
    router.kill('SIGTERM');
    const [code] = (await once(router, 'close')) as [number | null];
    expect(code).to.equal(0);
    expect(bench.output).to.contain('"message":"stopped"');
  });

  it('ends with code 2 and names the field when its settings are wrong', async () => {
    const child = await bench.run({ ...routerSettings('127.0.0.1:1'), Platform: { Address: 'nowhere' } });
    const [code] = (await once(child, 'exit')) as [number | null];
    expect(code).to.equal(2);
    expect(bench.output).to.contain('Platform.Address');
  });
});
