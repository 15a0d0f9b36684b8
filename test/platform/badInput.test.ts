import { expect } from 'chai';
import { readFile } from 'node:fs/promises';
import { connect } from 'node:net';
import { Random } from '../../src/kernel/index.js';
import { SoakFleet } from '../soak/SoakFleet.js';
import { waitUntil } from '../waiting.js';
import { callRouter } from './programs.js';

/** Memory of the smallest instance in the users' specification, in megabytes. */
const MEMORY_LIMIT_MB = 250;
/** Number of mutated requests; in a manual run with 150,000, memory rose to 140 MB and fell back to 115 MB. */
const REQUEST_COUNT = 4_000;
const CONNECTION_COUNT = 32;
/** Time limit for the processes to become ready, in milliseconds. */
const READY_LIMIT_MS = 15_000;
/** Time after which the test closes a connection without a response, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 150;

const REQUEST =
  'POST /read/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\nContent-Length: 2\r\nModel: a\r\n\r\nhi';

describe('main (router) with malformed requests', function () {
  this.timeout(60_000);
  let fleet: SoakFleet;

  beforeEach(async () => {
    fleet = new SoakFleet(
      () => undefined,
      () => undefined,
      () => undefined,
    );
    await fleet.start();
  });

  afterEach(() => fleet.stop());

  it('stays within the memory of the smallest instance and continues to serve requests', async () => {
    const router = fleet.routers[0];
    const ip = router?.ip ?? '';
    const isServed = async () => (await callRouter(ip, fleet.callerPort, '/read/x'))?.status === 200;
    await waitUntil(isServed, READY_LIMIT_MS);
    const random = new Random(1);
    let sentCount = 0;
    const sendUntilDone = async () => {
      while (sentCount++ < REQUEST_COUNT) {
        await send(ip, fleet.callerPort, mutate(random));
      }
    };
    await Promise.all(Array.from({ length: CONNECTION_COUNT }, sendUntilDone));
    const status = await readFile(`/proc/${router?.child?.pid}/status`, 'utf8');
    const residentMb = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 1_024;
    expect(residentMb).to.be.lessThan(MEMORY_LIMIT_MB);
    expect((await callRouter(ip, fleet.callerPort, '/read/x'))?.status).to.equal(200);
  });
});

/** Replaces, inserts or removes bytes at random positions of a request. */
function mutate(random: Random): Buffer {
  let bytes = Buffer.from(REQUEST);
  for (let count = random.nextInt(4); count >= 0; count--) {
    const at = random.nextInt(bytes.length);
    const kept = bytes.subarray(at + random.nextInt(20));
    const added = Buffer.alloc(random.nextInt(200), random.nextInt(256));
    bytes = Buffer.concat([
      bytes.subarray(0, at),
      added,
      random.nextInt(2) === 0 ? kept : bytes.subarray(at),
    ]);
  }
  return bytes;
}

/** Sends bytes on a new connection and waits until it is closed. */
function send(host: string, port: number, bytes: Buffer): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const timer = setTimeout(() => socket.destroy(), RESPONSE_TIMEOUT_MS);
    socket.on('error', () => undefined);
    socket.on('data', () => socket.end());
    socket.on('connect', () => socket.write(bytes));
    socket.on('close', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}
