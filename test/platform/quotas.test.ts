import { expect } from 'chai';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { ModelWorker, ObjectStore, PlainWorker, type Worker } from '../../standins/users/index.js';
import { sleepMs, waitUntil } from '../waiting.js';
import {
  bundleProgram,
  callRouter,
  makeSettingsFile,
  PLAIN_CONFIGURATION,
  startProgram,
} from './programs.js';

const PORTS = { front: 9_481, ready: 9_482, peer: 9_483, spare: 9_484 };
const WORKER_PORT = 9_485;
const RATE_PER_SECOND = 25;
const BURST = 10;
const WINDOW_S = 4;
const RATIO = 0.1;
/** Largest number of requests that may run in a window. */
const MAX_RUNS = (RATE_PER_SECOND * WINDOW_S + BURST) * (1 + RATIO);
const REQUEST_INTERVAL_MS = 20;
const START_TIMEOUT_MS = 12_000;

const ENGINE = {
  Slots: 16,
  WeightsMb: 205,
  AdapterSlots: 4,
  LoadsPerS: 10,
  Models: [{ Name: 'a', WeightsMb: 100, Adapters: 4, AdapterMb: 1, LoadS: 1, DiskS: 0.2 }],
};
const CONFIGURATION = {
  ...PLAIN_CONFIGURATION,
  Services: [...PLAIN_CONFIGURATION.Services, { Name: 'models', MaxConns: 100, Engine: ENGINE }],
  Tenants: [{ Name: 'acme', ApiKeys: ['k1'], RatePerS: RATE_PER_SECOND, Burst: BURST }],
};

describe('quotas over two routers and two agents', function () {
  this.timeout(6 * START_TIMEOUT_MS);
  let reservation: LoopbackReservation;
  let directory: string;
  let store: ObjectStore;
  let workers: Worker[];
  /** Start times of the requests that ran, in milliseconds since the epoch. */
  let runs: number[];
  let statuses: Map<number, number>;
  const children = new Map<string, ChildProcess>();
  let output = '';
  let routerIps: string[];
  let agentIps: string[];

  beforeEach(async () => {
    reservation = await LoopbackReservation.create();
    directory = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    await bundleProgram(directory);
    output = '';
    runs = [];
    statuses = new Map();
    store = new ObjectStore();
    const storeAddress = await store.start();
    store.put('config', 'main', CONFIGURATION);
    const makeOptions = (workerId: string, service: string, host: string) => ({
      workerId,
      service,
      host,
      port: WORKER_PORT,
      store,
      onRun: ({ startedAtMs }: { readonly startedAtMs: number }) => runs.push(startedAtMs),
      drawFault: () => undefined,
    });
    agentIps = [1, 2].map((host) => reservation.getAddress(host));
    routerIps = [11, 12].map((host) => reservation.getAddress(host));
    workers = [
      ...agentIps.map((ip) => new ModelWorker(makeOptions(ip, 'models', ip))),
      new PlainWorker(makeOptions('p', 's', reservation.getAddress(21))),
    ];
    await Promise.all(workers.map((worker) => worker.start()));
    const bounds = { QuotaWindowS: WINDOW_S, QuotaOver: RATIO, QuotaSlack: 0 };
    for (const ip of [...agentIps, ...routerIps]) {
      const engineAddress = agentIps.includes(ip) ? `${ip}:${WORKER_PORT}` : undefined;
      const settings = {
        name: `node-${ip}`,
        ip,
        ports: PORTS,
        storeAddress,
        graceS: 5,
        engineAddress,
        bounds,
      };
      await writeFile(join(directory, `${ip}.json`), JSON.stringify(makeSettingsFile(settings)));
    }
    startAll([...agentIps, ...routerIps]);
    await waitUntilReady();
  });

  afterEach(async () => {
    for (const child of children.values()) {
      child.kill('SIGKILL');
    }
    children.clear();
    for (const worker of workers) {
      worker.stop();
    }
    store.stop();
    await reservation.release();
    await rm(directory, { recursive: true, force: true });
  });

  function startAll(ips: Iterable<string>): void {
    for (const ip of ips) {
      const add = (text: string) => (output += text);
      children.set(ip, startProgram(join(directory, 'main.cjs'), join(directory, `${ip}.json`), add));
    }
  }

  async function waitUntilReady(): Promise<void> {
    for (const ip of routerIps) {
      const isReady = async () => (await callRouter(ip, PORTS.ready, '/'))?.status === 200;
      await waitUntil(isReady, START_TIMEOUT_MS);
    }
  }

  /** Sends twice the rate, nearly all of it to the first router. */
  async function sendTraffic(durationMs: number): Promise<void> {
    const running: Promise<void>[] = [];
    const endsAtMs = Date.now() + durationMs;
    for (let count = 0; Date.now() < endsAtMs; count++) {
      const ip = routerIps[count % 10 === 0 ? 1 : 0] ?? '';
      const headers = { authorization: 'Bearer k1' };
      const call = callRouter(ip, PORTS.front, '/x/1', headers).then((response) => {
        const status = response?.status ?? 0;
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
      });
      running.push(call);
      await sleepMs(REQUEST_INTERVAL_MS);
    }
    await Promise.all(running);
  }

  function countMostRuns(): number {
    const counts = runs.map((fromMs) => {
      return runs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_S * 1_000).length;
    });
    return Math.max(0, ...counts);
  }

  it('let an organisation with uneven routers use its limit, and not more; a refusal names the reason', async () => {
    await sendTraffic(3_000);
    const before = runs.length;
    await sendTraffic(2 * WINDOW_S * 1_000);
    const used = (runs.length - before) / (2 * WINDOW_S * RATE_PER_SECOND);
    expect(used, JSON.stringify([...statuses])).to.be.at.least(0.9);
    expect(countMostRuns()).to.be.at.most(MAX_RUNS);
    expect(statuses.get(429)).to.be.above(0);
    expect(output).to.match(/"organisationId":"acme".*"ratePerSecond":25.*"message":"quota exceeded"/);
    expect(output).not.to.contain('k1');
  });

  // The issuer continues with an old view when another agent has taken its place.
  it('stay within the bound when one agent after the other is frozen and continues', async () => {
    await sendTraffic(2_500);
    for (const ip of agentIps) {
      children.get(ip)?.kill('SIGSTOP');
      await sendTraffic(3_000);
      children.get(ip)?.kill('SIGCONT');
    }
    await sendTraffic(2_500);
    expect(countMostRuns()).to.be.at.most(MAX_RUNS);
    expect(statuses.get(200)).to.be.above(0);
  });

  // No process remembers what was spent before.
  it('stay within the bound when all processes are killed and started at once', async () => {
    await sendTraffic(3_000);
    for (const child of children.values()) {
      child.kill('SIGKILL');
    }
    startAll([...children.keys()]);
    await waitUntilReady();
    await sendTraffic(WINDOW_S * 1_000);
    expect(countMostRuns()).to.be.at.most(MAX_RUNS);
    expect(statuses.get(200)).to.be.above(0);
  });
});
