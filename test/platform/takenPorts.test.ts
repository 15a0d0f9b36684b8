import { expect } from 'chai';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer as createHttpServer } from 'node:http';
import { createServer, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ObjectStore } from '../../standins/users/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { sleepMs, waitUntil } from '../waiting.js';
import {
  bundleProgram,
  callRouter,
  makeSettingsFile,
  PLAIN_CONFIGURATION,
  startProgram,
} from './programs.js';

const PORTS = { front: 9_471, ready: 9_472, peer: 9_473, spare: 9_474 };
/** Port of the metrics endpoint, as configured in `deploy/system.toml`. */
const METRICS_PORT = 9_464;
const ENGINE_PORT = 9_475;
/** Time for which a port is taken, in milliseconds. */
const TAKEN_MS = 1_500;
/** Time limit for a process to start, in milliseconds. */
const START_TIMEOUT_MS = 12_000;
/** Time limit for a process to bind a port that was released, in milliseconds. */
const RETRY_TIMEOUT_MS = 2_000;

// Issue 39, FAULT: a port taken at the start ended the process or left it without that port for good.
describe('main (bundled) with a port that is taken at the start', function () {
  this.timeout(3 * START_TIMEOUT_MS);
  let reservation: LoopbackReservation;
  let directory: string;
  let store: ObjectStore;
  let storeAddress: string;
  let ip: string;
  let child: ChildProcess;
  let output: string;
  let occupant: Server;

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    await bundleProgram(directory);
  });

  after(async () => {
    await rm(directory, { recursive: true, force: true });
  });

  beforeEach(async () => {
    reservation = await LoopbackReservation.create();
    ip = reservation.getAddress(3);
    output = '';
    store = new ObjectStore();
    storeAddress = await store.start();
    store.put('config', 'main', PLAIN_CONFIGURATION);
  });

  afterEach(async () => {
    if (child.exitCode === null) {
      child.kill('SIGKILL');
      await once(child, 'exit');
    }
    occupant.close();
    store.stop();
    await reservation.release();
  });

  async function start(takenPort: number, engineAddress?: string): Promise<void> {
    occupant = createServer((socket) => socket.destroy());
    occupant.listen(takenPort, ip);
    await once(occupant, 'listening');
    const file = join(directory, 'node.json');
    const settings = { name: 'p-1', ip, ports: PORTS, storeAddress, graceS: 8, engineAddress };
    await writeFile(file, JSON.stringify(makeSettingsFile(settings)));
    child = startProgram(join(directory, 'main.cjs'), file, (text) => (output += text));
  }

  async function release(): Promise<void> {
    await new Promise((resolve) => occupant.close(resolve));
  }

  const getStatus = async (port: number) => (await callRouter(ip, port, '/'))?.status;

  it('serves callers while the port of the metrics is taken, and serves the metrics afterwards', async () => {
    await start(METRICS_PORT);
    await waitUntil(async () => (await getStatus(PORTS.ready)) === 200, START_TIMEOUT_MS);
    expect(await getStatus(PORTS.ready), output).to.equal(200);
    await release();
    await waitUntil(async () => (await getStatus(METRICS_PORT)) === 200, RETRY_TIMEOUT_MS);
    expect(await getStatus(METRICS_PORT), output).to.equal(200);
  });

  it('is not ready while the port for callers is taken, and serves afterwards', async () => {
    await start(PORTS.front);
    await waitUntil(async () => (await getStatus(PORTS.ready)) !== undefined, START_TIMEOUT_MS);
    await sleepMs(TAKEN_MS);
    expect(await getStatus(PORTS.ready), output).to.equal(503);
    await release();
    await waitUntil(async () => (await getStatus(PORTS.ready)) === 200, RETRY_TIMEOUT_MS);
    expect(await getStatus(PORTS.ready), output).to.equal(200);
    expect(await getStatus(PORTS.front)).to.equal(404);
    await waitUntil(() => output.includes('ready for callers'), RETRY_TIMEOUT_MS);
    expect(output)
      .to.match(/"field":"entry".*"message":"port not available, trying again"/)
      .and.to.match(/"message":"port bound"/)
      .and.to.match(/"message":"ready for callers"/);
  });

  it('becomes ready after the port of the readiness checks is released', async () => {
    await start(PORTS.ready);
    await sleepMs(TAKEN_MS);
    await release();
    await waitUntil(async () => (await getStatus(PORTS.ready)) === 200, RETRY_TIMEOUT_MS);
    expect(await getStatus(PORTS.ready), output).to.equal(200);
  });

  it('accepts routers on an agent after the port for peers is released', async () => {
    await start(PORTS.peer, `${ip}:${ENGINE_PORT}`);
    await sleepMs(TAKEN_MS);
    await release();
    await waitUntil(async () => (await getStatus(PORTS.peer)) === 404, RETRY_TIMEOUT_MS);
    expect(await getStatus(PORTS.peer), output).to.equal(404);
  });

  // Issue 42, FAULT: callers were not accepted while the port of the readiness checks was taken.
  it('accepts callers while the port of the readiness checks is taken', async () => {
    await start(PORTS.ready);
    await waitUntil(async () => (await getStatus(PORTS.front)) === 404, START_TIMEOUT_MS);
    expect(await getStatus(PORTS.front), output).to.equal(404);
    await sleepMs(TAKEN_MS);
    expect(output).to.match(/"field":"readiness".*"message":"port not available, trying again"/);
    await release();
    await waitUntil(async () => (await getStatus(PORTS.ready)) === 200, RETRY_TIMEOUT_MS);
    expect(await getStatus(PORTS.ready), output).to.equal(200);
  });

  // Issue 42, FAULT: an agent did not control its engine while its port for peers was taken.
  it('controls the engine of an agent while the port for peers is taken', async () => {
    let readCount = 0;
    const engine = createHttpServer((_request, response) => {
      readCount++;
      response.writeHead(503).end();
    });
    try {
      engine.listen(ENGINE_PORT, ip);
      await once(engine, 'listening');
      await start(PORTS.peer, `${ip}:${ENGINE_PORT}`);
      await waitUntil(() => readCount > 1, START_TIMEOUT_MS);
      expect(readCount, output).to.be.above(1);
      expect(output).to.match(/"field":"peer".*"message":"port not available, trying again"/);
      await release();
      await waitUntil(async () => (await getStatus(PORTS.peer)) === 404, RETRY_TIMEOUT_MS);
      expect(await getStatus(PORTS.peer), output).to.equal(404);
    } finally {
      engine.closeAllConnections();
      engine.close();
    }
  });

  for (const [role, taken] of [
    ['router', PORTS.ready],
    ['agent', PORTS.peer],
  ] as const) {
    it(`stops the ${role} on SIGTERM while its port ${taken} is taken`, async () => {
      await start(taken, role === 'agent' ? `${ip}:${ENGINE_PORT}` : undefined);
      await waitUntil(() => output.includes('port not available'), START_TIMEOUT_MS);
      child.kill('SIGTERM');
      const [code] = (await once(child, 'exit')) as [number | null];
      expect(code, output).to.equal(0);
    });
  }

  it('stops on SIGTERM while a port is taken', async () => {
    await start(METRICS_PORT);
    await waitUntil(async () => (await getStatus(PORTS.ready)) === 200, START_TIMEOUT_MS);
    expect(await getStatus(PORTS.ready), output).to.equal(200);
    child.kill('SIGTERM');
    const [code] = (await once(child, 'exit')) as [number | null];
    expect(code, output).to.equal(0);
  });
});
