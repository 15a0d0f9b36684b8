import { expect } from 'chai';
import { execFile } from 'node:child_process';
import { closeSync, constants, openSync, writeSync } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { ObjectStore, PlainWorker } from '../../standins/users/index.js';
import { waitUntil } from '../waiting.js';
import { ObservedProgram } from './ObservedProgram.js';
import { bundleProgram, callRouter, makeSettingsFile, PLAIN_CONFIGURATION } from './programs.js';

const PORTS = { front: 9_471, ready: 9_472, peer: 9_473, spare: 9_474 };
const WORKER_PORT = 9_475;
/** Time limit for a program to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 12_000;
/** Time after SIGTERM in which a program must have ended, in milliseconds; within the time before SIGKILL. */
const END_TIMEOUT_MS = 7_500;
const GRACE_S = 8;
/** Bytes written at once to fill a pipe, so that no byte of it stays free. */
const FILL_BYTES = 1;

const ROLES = ['router', 'agent'] as const;
type Role = (typeof ROLES)[number];

describe('signals to main (bundled)', function () {
  this.timeout(60_000);
  let directory: string;
  let reservation: LoopbackReservation;
  let store: ObjectStore;
  let worker: PlainWorker;
  let storeAddress: string;
  const programs: ObservedProgram[] = [];

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    await bundleProgram(join(directory, 'main.cjs'));
  });

  after(async () => {
    await rm(directory, { recursive: true, force: true });
  });

  beforeEach(async () => {
    reservation = await LoopbackReservation.create();
    store = new ObjectStore();
    storeAddress = await store.start();
    store.put('config', 'main', PLAIN_CONFIGURATION);
    worker = new PlainWorker({
      workerId: 'i-1',
      service: 's',
      host: reservation.getAddress(4),
      port: WORKER_PORT,
      store,
      onRun: () => undefined,
      drawFault: () => undefined,
    });
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
  async function start(role: Role, standardOutput?: number): Promise<ObservedProgram> {
    const file = join(directory, `${role}.json`);
    const settings = makeSettingsFile({
      name: `${role}-1`,
      ip: reservation.getAddress(role === 'router' ? 3 : 5),
      ports: PORTS,
      storeAddress,
      graceS: GRACE_S,
      engineAddress: role === 'router' ? undefined : `${reservation.getAddress(5)}:${WORKER_PORT}`,
    });
    await writeFile(file, JSON.stringify(settings));
    const environment = { MONSOONGLADE_NODE_FILE: file, MONSOONGLADE_PEER_SECRET: 's', ROARR_LOG: 'true' };
    const program = new ObservedProgram([join(directory, 'main.cjs')], environment, standardOutput);
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
