import { expect } from 'chai';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ObjectStore, PlainWorker } from '../../standins/users/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { waitUntil } from '../waiting.js';
import {
  bundleProgram,
  callRouter,
  makeSettingsFile,
  makeWorkerOptions,
  PLAIN_CONFIGURATION,
  startProgram,
} from './programs.js';

const PORTS = { front: 9_481, ready: 9_482, peer: 9_483, spare: 9_484 };
const WORKER_PORT = 9_485;
/** Time limit for the router to become ready, in milliseconds. */
const READY_LIMIT_MS = 12_000;
const REQUEST_COUNT = 40;
/** Number of requests that may fail until a silent server is left out. */
const MAX_FAILED = 4;

const ENTRY = { Service: 's', Address: '127.0.0.1:1', Zone: 'z1', Slots: 4, State: 'ready', born: 1 };

/** Entries of other writers by their names; none names a server that can be used. */
const ODD_ENTRIES: readonly (readonly [string, unknown])[] = [
  ['i-\u20ac', ENTRY],
  ['i\n1', ENTRY],
  ['\ud800', ENTRY],
  ['__proto__', ENTRY],
  ['i-port', { ...ENTRY, Address: '127.0.0.1:99999' }],
  ['i-host', { ...ENTRY, Address: '999.0.0.1:80' }],
  ['i-service', { ...ENTRY, Service: '__proto__' }],
  ['i-slots', { ...ENTRY, Slots: 1e300 }],
  ['i-born', { ...ENTRY, born: -1 }],
  ['i-models', { ...ENTRY, Models: [{ Name: 5 }] }],
  ['i-cached', { ...ENTRY, AtHand: { InMemory: [null] } }],
  ['i-null', null],
  ['i-list', [[]]],
  ['i-text', '\u0000'],
  ['i-deep', { ...ENTRY, Models: nest(1_000) }],
  // Not written at all: the object has no field `Spec`.
  ['i-empty', undefined],
];

/** Returns a deeply nested list. */
function nest(depth: number): unknown {
  let value: unknown = [];
  for (let count = 0; count < depth; count++) {
    value = [value];
  }
  return value;
}

describe('main (router) with odd entries in the store', function () {
  this.timeout(3 * READY_LIMIT_MS);
  let store: ObjectStore;
  let worker: PlainWorker;
  let directory: string;
  let child: ChildProcess;
  let reservation: LoopbackReservation;
  let silent: Server | undefined;

  beforeEach(async () => {
    reservation = await LoopbackReservation.create();
    directory = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    store = new ObjectStore();
    store.put('config', 'main', PLAIN_CONFIGURATION);
    worker = new PlainWorker(makeWorkerOptions(store, reservation.getAddress(4), WORKER_PORT));
  });

  afterEach(async () => {
    child.kill('SIGKILL');
    worker.stop();
    silent?.close();
    store.stop();
    await reservation.release();
    await rm(directory, { recursive: true, force: true });
  });

  async function startRouter(): Promise<{ readonly ip: string; readonly getOutput: () => string }> {
    const ip = reservation.getAddress(3);
    const settingsFile = join(directory, 'node.json');
    const storeAddress = await store.start();
    const settings = { name: 'router-1', ip, ports: PORTS, storeAddress, graceS: 8 };
    await writeFile(settingsFile, JSON.stringify(makeSettingsFile(settings)));
    await bundleProgram(directory);
    await worker.start();
    let output = '';
    child = startProgram(join(directory, 'main.cjs'), settingsFile, (text) => (output += text));
    await waitUntil(async () => (await callRouter(ip, PORTS.ready, '/'))?.status === 200, READY_LIMIT_MS);
    return { ip, getOutput: () => output };
  }

  async function getStatuses(ip: string): Promise<(number | undefined)[]> {
    const statuses = new Set<number | undefined>();
    for (let index = 0; index < REQUEST_COUNT; index++) {
      statuses.add((await callRouter(ip, PORTS.front, `/x/${index}`))?.status);
    }
    return [...statuses];
  }

  function putOddObjects(kind: string): void {
    for (const [name, entry] of ODD_ENTRIES) {
      store.put(kind, name, entry);
    }
  }

  it('stays up and serves each request with the others', async () => {
    const { ip, getOutput } = await startRouter();
    putOddObjects('servers');
    await waitUntil(() => getOutput().includes('server entry cannot be read'), READY_LIMIT_MS);
    expect(await getStatuses(ip)).to.deep.equal([200]);
    expect(child.exitCode, getOutput().slice(-1_000)).to.equal(null);
  });

  // Issue 36, LOST: a router followed nothing any more after one object without the field `Spec`.
  it('follows the next changes, also after a restored store and a cut history', async () => {
    const { ip, getOutput } = await startRouter();
    putOddObjects('servers');
    putOddObjects('config');
    const copy = store.takeCopy();
    for (const [version, disrupt] of [
      [2, () => undefined],
      [3, () => store.discardHistory()],
      [4, () => store.restore(copy)],
    ] as const) {
      disrupt();
      store.put('config', 'main', { ...PLAIN_CONFIGURATION, Version: version });
      const isApplied = () => getOutput().includes(`"version":${version},"routeCount"`);
      await waitUntil(isApplied, READY_LIMIT_MS);
      expect(await getStatuses(ip)).to.deep.equal([200]);
    }
    expect(child.exitCode, getOutput().slice(-1_000)).to.equal(null);
  });

  // Issue 36, LOST: an entry may be valid and name a server that accepts connections and says nothing.
  for (const [title, figures] of [
    ['usual', {}],
    ['extreme', { Slots: Number.MAX_SAFE_INTEGER, born: Number.MAX_SAFE_INTEGER }],
  ] as const) {
    it(`serves nearly all requests beside a silent server of ${title} figures`, async () => {
      const { ip, getOutput } = await startRouter();
      const host = reservation.getAddress(5);
      silent = createServer(() => undefined);
      await new Promise<void>((resolve) => {
        silent?.listen(WORKER_PORT, host, resolve);
      });
      store.put('servers', 'i-silent', { ...ENTRY, ...figures, Address: `${host}:${WORKER_PORT}` });
      let failedCount = 0;
      for (let index = 0; index < REQUEST_COUNT; index++) {
        failedCount += (await callRouter(ip, PORTS.front, `/x/${index}`))?.status === 200 ? 0 : 1;
      }
      expect(failedCount).to.be.at.most(MAX_FAILED);
      expect(child.exitCode, getOutput().slice(-1_000)).to.equal(null);
    });
  }
});
