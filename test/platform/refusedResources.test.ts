import { expect } from 'chai';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { chmod, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { ObjectStore } from '../../standins/users/index.js';
import { sleepMs, waitUntil } from '../waiting.js';
import {
  bundleProgram,
  callRouter,
  makeSettingsFile,
  PLAIN_CONFIGURATION,
  type ProgramPorts,
} from './programs.js';

const PORTS = { front: 9_471, ready: 9_472, peer: 9_473, spare: 9_474 };
/** Descriptors that the router may open. */
const MAX_DESCRIPTORS = 64;
/** Connections that are opened at once; more than the router can accept. */
const CONNECTION_COUNT = 200;
/** Time for which the connections stay open, in milliseconds. */
const HELD_MS = 2_000;
const START_TIMEOUT_MS = 12_000;
/** Time in which the router must serve after the connections are closed, in milliseconds. */
const RECOVER_TIMEOUT_MS = 3_000;
const END_TIMEOUT_MS = 7_500;
/** User other than root, to whom files and ports can be refused. */
const ORDINARY_USER_ID = process.getuid?.() === 0 ? 65_534 : undefined;
/** Port that only root may bind. */
const PRIVILEGED_PORT = 81;

describe('main (bundled) with what the system refuses', function () {
  this.timeout(40_000);
  let reservation: LoopbackReservation;
  let directory: string;
  let store: ObjectStore;
  let storeAddress: string;
  let settingsFile: string;
  let ip: string;
  let child: ChildProcess | undefined;
  let output: string;

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    await chmod(directory, 0o755);
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
    settingsFile = join(directory, 'node.json');
    await writeSettings(PORTS);
  });

  afterEach(async () => {
    if (child && child.exitCode === null && child.signalCode === null) {
      child.kill('SIGKILL');
      await once(child, 'exit');
    }
    child = undefined;
    await rm(settingsFile, { force: true });
    store.stop();
    await reservation.release();
  });

  async function writeSettings(ports: ProgramPorts): Promise<void> {
    const settings = { name: 'router-1', ip, ports, storeAddress, graceS: 8 };
    await writeFile(settingsFile, JSON.stringify(makeSettingsFile(settings)));
  }

  function start(command: string, args: readonly string[], uid?: number): ChildProcess {
    const started = spawn(command, args, {
      uid,
      env: { MONSOONGLADE_NODE_FILE: settingsFile, MONSOONGLADE_PEER_SECRET: 's', ROARR_LOG: 'true' },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    started.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
    started.stderr.on('data', (chunk: Buffer) => (output += chunk.toString()));
    child = started;
    return started;
  }

  /** Returns the exit code, once the output is complete; undefined when the process does not end in time. */
  async function waitForExit(): Promise<unknown> {
    const closed = child ? once(child, 'close').then(([code]) => code as unknown) : undefined;
    return Promise.race([closed, sleepMs(END_TIMEOUT_MS)]);
  }

  const getStatus = async (port: number) => (await callRouter(ip, port, '/'))?.status;

  // Issue 42, FAULT: an accept that failed for lack of descriptors had not been provoked for real.
  it('goes on when connections cannot be accepted, and serves after others are closed', async () => {
    const command = `ulimit -n ${MAX_DESCRIPTORS} && exec "$0" "$1"`;
    const started = start('/bin/sh', ['-c', command, process.execPath, join(directory, 'main.cjs')]);
    await waitUntil(async () => (await getStatus(PORTS.ready)) === 200, START_TIMEOUT_MS);
    expect(await getStatus(PORTS.front), output).to.equal(404);
    const sockets: Socket[] = [];
    for (let count = 0; count < CONNECTION_COUNT; count++) {
      sockets.push(connect({ host: ip, port: PORTS.front }).on('error', () => undefined));
    }
    await sleepMs(HELD_MS);
    expect([started.exitCode, started.signalCode], output).to.deep.equal([null, null]);
    // A connection that cannot be accepted is closed by the event loop, which keeps a descriptor for it.
    expect(sockets.filter(({ destroyed }) => destroyed).length).to.be.above(CONNECTION_COUNT / 2);
    for (const socket of sockets) {
      socket.destroy();
    }
    await waitUntil(async () => (await getStatus(PORTS.ready)) === 200, RECOVER_TIMEOUT_MS);
    expect([await getStatus(PORTS.ready), await getStatus(PORTS.front)], output).to.deep.equal([200, 404]);
    expect(output).not.to.contain('"message":"uncaught error"');
  });

  // Issue 42, FAULT: files and ports that a process may not use had not been provoked for real.
  describe('and may not be used', () => {
    it('ends with code 2 and names a settings file that cannot be read', async () => {
      await chmod(settingsFile, 0);
      start(process.execPath, [join(directory, 'main.cjs')], ORDINARY_USER_ID);
      expect(await waitForExit(), output).to.equal(2);
      expect(output).to.contain(`${settingsFile}: cannot be read (EACCES).`);
    });

    it('ends with code 2 and names a port that cannot be bound', async () => {
      await writeSettings({ ...PORTS, front: PRIVILEGED_PORT });
      start(process.execPath, [join(directory, 'main.cjs')], ORDINARY_USER_ID);
      expect(await waitForExit(), output).to.equal(2);
      expect(output)
        .to.match(/EACCES/)
        .and.to.contain(`:${PRIVILEGED_PORT}`);
    });
  });
});
