import { expect } from 'chai';
import { execFile } from 'node:child_process';
import { closeSync, constants, openSync, writeSync } from 'node:fs';
import { mkdtemp, open, readdir, readFile, rm, stat, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { ObjectStore } from '../../standins/users/index.js';
import { CallerConnection, formatRequest } from '../direct/CallerConnection.js';
import { sleepMs, waitUntil } from '../waiting.js';
import { DEBUGGER_PORT, isRefused } from './isRefused.js';
import { ObservedProgram } from './ObservedProgram.js';
import {
  bundleProgram,
  callRouter,
  makeSettingsFile,
  makeWorkerOptions,
  PLAIN_CONFIGURATION,
  type ProgramPorts,
} from './programs.js';
import { SlowPlainWorker } from './SlowPlainWorker.js';

const PORTS = { front: 9_471, ready: 9_472, peer: 9_473, spare: 9_474 };
const WORKER_PORT = 9_475;
/** Port of the metrics endpoint. */
const METRICS_PORT = 9_464;
/** Time after the start at which a program has uncaught errors, in milliseconds; it is ready and serving by then. */
const UNCAUGHT_DELAY_MS = 1_500;
/** Time for which a program must stay after a signal that does not stop it, in milliseconds. */
const STAY_MS = 200;
/** Port on which no process can listen. */
const INVALID_PORT = 70_000;
/** Time limit for a program to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 12_000;
/** Time after SIGTERM in which a program must have ended, in milliseconds; within the time before SIGKILL. */
const END_TIMEOUT_MS = 7_500;
const GRACE_S = 8;
const MS_PER_SECOND = 1_000;
/** Times after the first log line of a program at which a signal is sent, in milliseconds. */
const SIGNAL_DELAYS_MS = [0, 5, 20, 50, 100, 200];
/** Interval between the signals of a series, in milliseconds. */
const SERIES_INTERVAL_MS = 10;
/** Number of signals in a series; it lasts longer than a start. */
const SERIES_LENGTH = 60;
/** Time between two signals to stop, in milliseconds. */
const STOP_INTERVAL_MS = 300;
/** Time that requests run which are in progress when a signal arrives, in milliseconds. */
const LONG_RUN_MS = 2_500;
/** Number of requests in progress when a signal arrives. */
const RUNNING_COUNT = 5;
/** Configuration whose timeout allows long requests. */
const CONFIGURATION = {
  ...PLAIN_CONFIGURATION,
  Routes: PLAIN_CONFIGURATION.Routes.map((route) => ({ ...route, TimeoutMs: 6_000 })),
};
/** Bytes written at once to fill a pipe, so that no byte of it stays free. */
const FILL_BYTES = 1;

const ROLES = ['router', 'agent'] as const;
type Role = (typeof ROLES)[number];

describe('start, signals, errors and end of main (bundled)', function () {
  this.timeout(60_000);
  let directory: string;
  let reservation: LoopbackReservation;
  let store: ObjectStore;
  let worker: SlowPlainWorker;
  let storeAddress: string;
  const programs: ObservedProgram[] = [];

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    await bundleProgram(directory);
  });

  after(async () => {
    await rm(directory, { recursive: true, force: true });
  });

  beforeEach(async () => {
    reservation = await LoopbackReservation.create();
    store = new ObjectStore();
    storeAddress = await store.start();
    store.put('config', 'main', CONFIGURATION);
    worker = new SlowPlainWorker(makeWorkerOptions(store, reservation.getAddress(4), WORKER_PORT));
    await worker.start();
  });

  afterEach(async () => {
    for (const program of programs.splice(0)) {
      program.kill('SIGKILL');
      await program.ended;
    }
    worker.stop();
    store.stop();
    await reservation.release();
  });

  /** Starts a router or an agent. */
  async function start(
    role: Role,
    standardOutput?: number,
    ports: ProgramPorts = PORTS,
    nodeArgs: readonly string[] = [],
    script: string = join(directory, 'main.cjs'),
  ): Promise<ObservedProgram> {
    const file = join(directory, `${role}.json`);
    const settings = makeSettingsFile({
      name: `${role}-1`,
      ip: reservation.getAddress(role === 'router' ? 3 : 5),
      ports,
      storeAddress,
      graceS: GRACE_S,
      engineAddress: role === 'router' ? undefined : `${reservation.getAddress(5)}:${WORKER_PORT}`,
    });
    await writeFile(file, JSON.stringify(settings));
    const environment = { MONSOONGLADE_NODE_FILE: file, MONSOONGLADE_PEER_SECRET: 's', ROARR_LOG: 'true' };
    const program = new ObservedProgram([...nodeArgs, script], environment, standardOutput);
    programs.push(program);
    return program;
  }

  async function waitUntilReady(): Promise<void> {
    const host = reservation.getAddress(3);
    const isReady = async () => (await callRouter(host, PORTS.ready, '/'))?.status === 200;
    await waitUntil(isReady, READY_TIMEOUT_MS);
    expect(await isReady()).to.equal(true);
  }

  for (const role of ROLES) {
    // Issue 39, FAULT: an end by a signal, by an error and by the platform left the same nothing in the log.
    it(`logs the start and the end of the ${role} with cause and code`, async () => {
      const program = await start(role);
      await program.waitForLine('process started');
      program.kill('SIGTERM');
      expect(await program.waitForEnd(END_TIMEOUT_MS)).to.deep.equal({ code: 0, signal: null });
      const [first] = program.lines;
      expect(first?.message).to.equal('process starting');
      expect(first?.context.nodeVersion).to.equal(process.version);
      expect(first?.context.pid).to.be.a('number');
      expect(program.findLines('process started')[0]?.context).to.deep.include({
        instanceId: `${role}-1`,
        role,
      });
      const last = program.lines.at(-1);
      expect(last?.message).to.equal('process ended');
      expect(last?.context).to.deep.include({ cause: 'SIGTERM', code: 0 });
    });
  }

  for (const role of ROLES) {
    for (const delayMs of SIGNAL_DELAYS_MS) {
      // Issue 39, FAULT: SIGHUP in the first 200 ms ended routers and agents.
      it(`reads the settings of the ${role} after the start on SIGHUP ${delayMs} ms after its first line`, async () => {
        const program = await start(role);
        await program.waitForLine('process starting');
        await sleepMs(delayMs);
        program.kill('SIGHUP');
        await program.waitForLine('process started');
        await program.waitForLine('settings read');
        expect(program.findLines('signal received').map(({ context }) => context.signal)).to.deep.equal([
          'SIGHUP',
        ]);
        expect(program.isRunning).to.equal(true);
      });

      // Issue 39, FAULT: SIGTERM during the start ended the process by the signal, without a stop.
      it(`exits with code 0 on SIGTERM to the ${role} ${delayMs} ms after its first line`, async () => {
        const program = await start(role);
        await program.waitForLine('process starting');
        await sleepMs(delayMs);
        program.kill('SIGTERM');
        expect(await program.waitForEnd(END_TIMEOUT_MS), program.output).to.deep.equal({
          code: 0,
          signal: null,
        });
        const [end] = program.findLines('process ended');
        expect(end?.context).to.deep.include({ cause: 'SIGTERM', code: 0 });
      });
    }

    // Issue 42, FAULT: SIGHUP ended a process while Node.js compiled the program.
    it(`starts the ${role} when SIGHUP arrives before the program is read`, async () => {
      const bundle = join(directory, `slow-${role}`);
      await bundleProgram(bundle);
      const program = await getLargestFile(bundle);
      const source = await readFile(program);
      await rm(program);
      await promisify(execFile)('mkfifo', [program]);
      const observed = await start(role, undefined, PORTS, [], join(bundle, 'main.cjs'));
      // Opens once the process reads the file, and keeps it waiting for the content.
      const writer = await open(program, 'w');
      observed.kill('SIGHUP');
      await sleepMs(SERIES_INTERVAL_MS);
      await writer.writeFile(source);
      await writer.close();
      await observed.waitForLine('process started');
      await observed.waitForLine('settings read');
      expect(observed.isRunning).to.equal(true);
    });

    it(`starts the ${role} while SIGHUP arrives in a series`, async () => {
      const program = await start(role);
      await program.waitForLine('process starting');
      for (let count = 0; count < SERIES_LENGTH; count++) {
        program.kill('SIGHUP');
        await sleepMs(SERIES_INTERVAL_MS);
      }
      await program.waitForLine('process started');
      await program.waitForLine('settings read');
      expect(program.isRunning).to.equal(true);
    });

    it(`exits with code 0 on SIGTERM to the ${role} within a series of SIGHUP`, async () => {
      const program = await start(role);
      await program.waitForLine('process starting');
      for (let count = 0; count < SERIES_LENGTH && program.isRunning; count++) {
        program.kill(count % 10 === 5 ? 'SIGTERM' : 'SIGHUP');
        await sleepMs(SERIES_INTERVAL_MS);
      }
      expect(await program.waitForEnd(END_TIMEOUT_MS), program.output).to.deep.equal({
        code: 0,
        signal: null,
      });
    });

    it(`stops the ${role} on SIGINT`, async () => {
      const program = await start(role);
      await program.waitForLine('process started');
      program.kill('SIGINT');
      expect(await program.waitForEnd(END_TIMEOUT_MS)).to.deep.equal({ code: 0, signal: null });
    });

    it(`keeps the ${role} running on SIGUSR2`, async () => {
      const program = await start(role);
      await program.waitForLine('process starting');
      program.kill('SIGUSR2');
      await program.waitForLine('signal received');
      await program.waitForLine('process started');
      expect(program.isRunning).to.equal(true);
    });

    // Issue 42, FAULT: SIGQUIT ended the process at once.
    it(`stops the ${role} on SIGQUIT`, async () => {
      const program = await start(role);
      await program.waitForLine('process started');
      program.kill('SIGQUIT');
      expect(await program.waitForEnd(END_TIMEOUT_MS)).to.deep.equal({ code: 0, signal: null });
      expect(program.findLines('process ended')[0]?.context).to.deep.include({ cause: 'SIGQUIT', code: 0 });
    });

    // Issue 42, FAULT: SIGALRM and SIGVTALRM ended the process, and SIGUSR1 opened a debugger.
    for (const signal of ['SIGUSR1', 'SIGALRM', 'SIGVTALRM'] as const) {
      it(`keeps the ${role} running on ${signal}`, async () => {
        const program = await start(role);
        await program.waitForLine('process started');
        program.kill(signal);
        await program.waitForLine('signal received');
        expect(await program.waitForEnd(STAY_MS)).to.equal(undefined);
        expect(program.findLines('signal received')[0]?.context).to.deep.include({ signal, action: 'none' });
        expect(program.output).not.to.match(/debugger|inspector/i);
        expect(await isRefused(DEBUGGER_PORT)).to.equal(true);
      });
    }
  }

  // Issue 39, FAULT: a second SIGTERM ended the process at once and cut the requests in progress.
  it('answers the requests in progress when SIGTERM arrives three times', async () => {
    worker.additionalMs = LONG_RUN_MS;
    const program = await start('router');
    await waitUntilReady();
    const host = reservation.getAddress(3);
    const connections = Array.from({ length: RUNNING_COUNT }, () => new CallerConnection(PORTS.front, host));
    for (const [index, connection] of connections.entries()) {
      connection.write(formatRequest(`r${index}`, '/x/1'));
    }
    await sleepMs(STOP_INTERVAL_MS);
    for (const signal of ['SIGTERM', 'SIGTERM', 'SIGINT'] as const) {
      program.kill(signal);
      await sleepMs(STOP_INTERVAL_MS);
    }
    await Promise.all(connections.map((connection) => connection.waitForEnd()));
    expect(connections.map(({ status }) => status)).to.deep.equal(connections.map(() => 200));
    expect(connections.every(({ isComplete }) => isComplete)).to.equal(true);
    expect(await program.waitForEnd(END_TIMEOUT_MS)).to.deep.equal({ code: 0, signal: null });
    expect(program.findLines('signal received').length).to.equal(3);
    expect(program.findLines('stopping').length).to.equal(1);
  });

  // Issue 39, FAULT: a service that never stopped kept the router until it was killed, without a `process ended` line.
  it('ends the router within the grace when a service does not stop, with code 3', async () => {
    // The stop of the server for callers waits for a `setImmediate`.
    const source = `process.once('SIGTERM', () => { globalThis.setImmediate = () => undefined; });`;
    const preload = ['--import', `data:text/javascript,${encodeURIComponent(source)}`];
    const program = await start('router', undefined, PORTS, preload);
    await waitUntilReady();
    program.kill('SIGTERM');
    expect(await program.waitForEnd(GRACE_S * MS_PER_SECOND), program.output).to.deep.equal({
      code: 3,
      signal: null,
    });
    const errors = program.findLines('service not stopped').map(({ context }) => context.error);
    expect(errors).to.contain('Not stopped in time: CallerServer.');
    const [end] = program.findLines('process ended');
    expect(end?.context).to.deep.include({ cause: 'SIGTERM, stop not complete in time', code: 3 });
  });

  // Issue 39, FAULT: a router whose start failed stayed for good, without serving and without ending.
  it('ends the router with code 2 when a service cannot start', async () => {
    const program = await start('router', undefined, { ...PORTS, front: INVALID_PORT });
    expect(await program.waitForEnd(END_TIMEOUT_MS), program.output).to.deep.equal({ code: 2, signal: null });
    expect(program.findLines('start failed')[0]?.context.error).to.contain(String(INVALID_PORT));
    const [end] = program.findLines('process ended');
    expect(end?.context).to.deep.include({ cause: 'start failed', code: 2 });
  });

  // Issue 39, FAULT: an error that nothing handled ended the process and all its requests, and left no structured line.
  it('serves on after an uncaught exception and an unhandled rejection, logs and counts them', async () => {
    const source = `setTimeout(() => { Promise.reject(new Error('a')); throw new Error('b'); }, ${UNCAUGHT_DELAY_MS});`;
    const preload = ['--import', `data:text/javascript,${encodeURIComponent(source)}`];
    worker.additionalMs = LONG_RUN_MS;
    const program = await start('router', undefined, PORTS, preload);
    await waitUntilReady();
    const host = reservation.getAddress(3);
    const connection = new CallerConnection(PORTS.front, host);
    connection.write(formatRequest('r1', '/x/1'));
    await program.waitForLine('uncaught error');
    await connection.waitForEnd();
    expect(connection.status).to.equal(200);
    expect(connection.isComplete).to.equal(true);
    const contexts = program.findLines('uncaught error').map(({ context }) => context);
    expect(contexts.map(({ error }) => error)).to.have.members(['a', 'b']);
    expect(contexts.map(({ origin }) => origin)).to.have.members(['uncaughtException', 'unhandledRejection']);
    expect(contexts.every(({ stack }) => String(stack).includes('data:text/javascript'))).to.equal(true);
    const metrics = await callRouter(host, METRICS_PORT, '/metrics');
    expect(metrics?.text).to.contain('monsoonglade_uncaught_errors_total 2\n');
  });

  // A thread that writes to a full pipe would keep the process from exiting.
  it('exits on SIGTERM while its standard output is full', async () => {
    const path = join(directory, 'output');
    await promisify(execFile)('mkfifo', [path]);
    const reader = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
    const writer = openSync(path, constants.O_WRONLY);
    try {
      fillPipe(reader);
      const program = await start('router', writer);
      await waitUntilReady();
      program.kill('SIGTERM');
      expect(await program.waitForEnd(END_TIMEOUT_MS)).to.deep.equal({ code: 0, signal: null });
    } finally {
      closeSync(writer);
      closeSync(reader);
    }
  });
});

/** Returns the path of the largest file of a folder. */
async function getLargestFile(folder: string): Promise<string> {
  const paths = (await readdir(folder)).map((name) => join(folder, name));
  const sizes = await Promise.all(paths.map(async (path) => (await stat(path)).size));
  return paths[sizes.indexOf(Math.max(...sizes))] ?? '';
}

/** Writes to a pipe that does not block until it is full. */
function fillPipe(descriptor: number): void {
  const bytes = Buffer.alloc(FILL_BYTES);
  try {
    for (;;) {
      writeSync(descriptor, bytes);
    }
  } catch (error) {
    expect((error as NodeJS.ErrnoException).code).to.equal('EAGAIN');
  }
}
