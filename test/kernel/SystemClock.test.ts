import { expect } from 'chai';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { PeriodicTask, SystemClock, type Timer } from '../../src/kernel/index.js';
import { standStill } from '../standStill.js';
import { sleepMs } from '../waiting.js';

const CLOCK = new SystemClock();
/** Time for which the process stands still, in milliseconds. */
const STANDSTILL_MS = 200;
/** Time in which all callbacks run after a standstill, in milliseconds. */
const SETTLE_MS = 100;

// Guards against decisions on time alone after a standstill: Node.js runs timers before it reads sockets, so a deadline
// expired although the data that it waited for had arrived (issue 30, first matter).
describe('SystemClock', () => {
  let server: Server;
  let receiver: Socket;
  let sender: Socket;
  let events: string[];

  /** Sends data that is received only after a standstill. */
  function standStillWhileDataArrives(): void {
    sender.write('x');
    standStill(STANDSTILL_MS);
  }

  beforeEach(async () => {
    events = [];
    server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const accepted = once(server, 'connection');
    receiver = connect((server.address() as AddressInfo).port, '127.0.0.1');
    [sender] = (await accepted) as [Socket];
    receiver.on('data', () => events.push('data'));
  });

  afterEach(() => {
    receiver.destroy();
    sender.destroy();
    server.close();
  });

  describe('schedule', () => {
    it('runs a callback that is late only after data that has arrived was received', async () => {
      CLOCK.schedule(50, () => events.push('timer'));
      standStillWhileDataArrives();
      await sleepMs(SETTLE_MS);
      expect(events).to.deep.equal(['data', 'timer']);
    });

    it('does not run a late callback that the received data cancels', async () => {
      const timer: Timer = CLOCK.schedule(50, () => events.push('timer'));
      receiver.once('data', () => timer.cancel());
      standStillWhileDataArrives();
      await sleepMs(SETTLE_MS);
      expect(events).to.deep.equal(['data']);
    });

    it('does not run a late callback that another late callback cancels', async () => {
      CLOCK.schedule(50, () => second.cancel());
      const second: Timer = CLOCK.schedule(50, () => events.push('second'));
      standStillWhileDataArrives();
      await sleepMs(SETTLE_MS);
      expect(events).to.deep.equal(['data']);
    });

    it('keeps the order of callbacks, however late each of them is', async () => {
      // The last ones are due as the standstill ends, so they are hardly late.
      const delaysMs = [50, 50, 120, STANDSTILL_MS - 2, STANDSTILL_MS - 1, STANDSTILL_MS];
      for (const [index, delayMs] of delaysMs.entries()) {
        CLOCK.schedule(delayMs, () => events.push(String(index)));
      }
      standStillWhileDataArrives();
      await sleepMs(SETTLE_MS);
      expect(events).to.deep.equal(['data', '0', '1', '2', '3', '4', '5']);
    });

    it('runs callbacks of a process that is busy throughout, each of them late', async () => {
      let isBusy = true;
      const occupy = () => {
        standStill(20);
        if (isBusy) {
          setImmediate(occupy);
        }
      };
      occupy();
      const task = new PeriodicTask(CLOCK, 10, () => events.push('tick'));
      task.start();
      await sleepMs(1_000);
      task.stop();
      isBusy = false;
      const tickCount = events.length;
      // A tick takes one round of the event loop to become due and one to run: about 25 in a second.
      expect(tickCount).to.be.above(5);
      await sleepMs(SETTLE_MS);
      expect(events).to.have.length(tickCount);
    });
  });
});
