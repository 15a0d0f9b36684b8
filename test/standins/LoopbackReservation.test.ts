import { expect } from 'chai';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';

const MODULE_PATH = fileURLToPath(new URL('../../standins/LoopbackReservation.js', import.meta.url));
/** Program that reserves a block, takes ports, and listens on them only after a delay, as a starting daemon does. */
const HOLDER_PROGRAM = `
  import { createServer } from 'node:net';
  import { LoopbackReservation } from ${JSON.stringify(MODULE_PATH)};
  for (let round = 0; round < 5; round++) {
    const reservation = await LoopbackReservation.create();
    const ports = [await reservation.takePort(), await reservation.takePort(), await reservation.takePort()];
    await new Promise((resolve) => setTimeout(resolve, 100));
    for (const port of ports) {
      const server = createServer();
      server.listen(port, '127.0.0.1');
      await new Promise((resolve, reject) => server.on('listening', resolve).on('error', reject));
      server.close();
    }
    await reservation.release();
  }
`;

/** Runs the program in a process of its own and returns its error output. */
async function runHolder(): Promise<string> {
  const child = spawn(process.execPath, ['--input-type=module', '--eval', HOLDER_PROGRAM], {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  let errorOutput = '';
  child.stderr.on('data', (chunk: Buffer) => (errorOutput += chunk.toString()));
  await once(child, 'close');
  return errorOutput;
}

describe('LoopbackReservation', () => {
  describe('create', () => {
    it('never reserves the same block or subnet twice', async () => {
      const reservations = await Promise.all(Array.from({ length: 20 }, () => LoopbackReservation.create()));
      const ports = await Promise.all(reservations.map((reservation) => reservation.takePort()));
      expect(new Set(ports).size).to.equal(20);
      expect(new Set(reservations.map((reservation) => reservation.getAddress(1))).size).to.equal(20);
      await Promise.all(reservations.map((reservation) => reservation.release()));
    });

    it('keeps its ports free for processes that listen on them later, beside other such processes', async () => {
      const errorOutputs = await Promise.all(Array.from({ length: 12 }, () => runHolder()));
      expect(errorOutputs.join('')).to.equal('');
    });
  });

  describe('takePort', () => {
    it('returns different ports below those that systems assign by themselves', async () => {
      const reservation = await LoopbackReservation.create();
      const ports = [await reservation.takePort(), await reservation.takePort()];
      expect(new Set(ports).size).to.equal(2);
      expect(Math.max(...ports)).to.be.below(32_768);
      await reservation.release();
    });
  });

  describe('release', () => {
    it('makes the block available again', async () => {
      const first = await LoopbackReservation.create();
      const port = await first.takePort();
      await first.release();
      const second = await LoopbackReservation.create();
      expect(await second.takePort()).to.equal(port);
      await second.release();
    });
  });
});
