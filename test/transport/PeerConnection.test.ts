import { expect } from 'chai';
import { onBackgroundError, SystemClock } from '../../src/kernel/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { PeerDialer, PeerServer, TrafficMeter, type PeerConnection } from '../../src/transport/index.js';
import { WebSocket } from 'ws';
import { standStill } from '../standStill.js';
import { sleepMs, waitUntil } from '../waiting.js';

const CLOCK = new SystemClock();
/** Time for which the process stands still, in milliseconds: longer than a peer may be silent. */
const STANDSTILL_MS = 3_500;

/** Data of a notification; a burst of them is far above what sockets buffer. */
const NOTIFIED = { text: 'x'.repeat(256 * 1024) };
const NOTIFICATION_COUNT = 100;
/** Maximum of what an end may hold of unsent notifications, in bytes. */
const MAX_HELD_BYTES = 5 * 1024 * 1024;

describe('PeerConnection', function () {
  this.timeout(20_000);

  // Issue 39, FAULT: a listener that threw when a connection closed ended the router, and later listeners did not run.
  it('calls all listeners for its close although one throws', async () => {
    const reservation = await LoopbackReservation.create();
    const port = await reservation.takePort();
    const server = new PeerServer({ host: '127.0.0.1', port }, 's', CLOCK, {}, new TrafficMeter());
    await server.start();
    const dialer = new PeerDialer('router', 's', CLOCK, new TrafficMeter());
    const connection = await dialer.connect(`127.0.0.1:${port}`);
    const errors: string[] = [];
    onBackgroundError((error) => errors.push(String(error)));
    let isNotified = false;
    connection.onClose(() => {
      throw new Error('a');
    });
    connection.onClose(() => (isNotified = true));
    await server.stop();
    await waitUntil(() => isNotified, 2_000);
    onBackgroundError(undefined);
    await reservation.release();
    expect(isNotified).to.equal(true);
    expect(errors).to.deep.equal(['Error: a']);
  });

  // Guards against the loss of all peers after a standstill: the heartbeat ran before the messages that had arrived
  // meanwhile were received, and took their senders for silent (issue 30, first matter).
  it('stays open when its process stood still while the peer sent messages', async () => {
    const reservation = await LoopbackReservation.create();
    const port = await reservation.takePort();
    let accepted: PeerConnection | undefined;
    const acceptingMethods = {
      hello: (_params: never, connection: PeerConnection) => (accepted = connection) && 1,
    };
    const server = new PeerServer(
      { host: '127.0.0.1', port },
      's',
      CLOCK,
      acceptingMethods,
      new TrafficMeter(),
    );
    await server.start();
    const dialer = new PeerDialer('router', 's', CLOCK, new TrafficMeter());
    const received: number[] = [];
    dialer.exposeMethods({ report: ({ number }: { number: number }) => received.push(number) });
    const connection = await dialer.connect(`127.0.0.1:${port}`);
    connection.acquire();
    await connection.call('hello', {});
    accepted?.notify('report', { number: 1 });
    standStill(STANDSTILL_MS);
    await waitUntil(() => !connection.isOpen, 500);
    const isOpen = connection.isOpen;
    connection.terminate();
    await server.stop();
    await reservation.release();
    expect({ isOpen, received }).to.deep.equal({ isOpen: true, received: [1] });
  });

  describe('notify', () => {
    let reservation: LoopbackReservation;
    let server: PeerServer;
    let socket: WebSocket;
    let accepted: PeerConnection | undefined;
    let receivedCount: number;

    beforeEach(async () => {
      reservation = await LoopbackReservation.create();
      const address = { host: '127.0.0.1', port: await reservation.takePort() };
      const hello = (_params: never, connection: PeerConnection) => (accepted = connection) && 1;
      server = new PeerServer(address, 's', CLOCK, { hello }, new TrafficMeter());
      await server.start();
      accepted = undefined;
      receivedCount = 0;
      socket = new WebSocket(`ws://127.0.0.1:${address.port}/`, { headers: { authorization: 'Bearer s' } });
      socket.on('open', () => socket.send('{"jsonrpc":"2.0","id":1,"method":"hello","params":{}}'));
      socket.on('message', () => receivedCount++);
      await waitUntil(() => receivedCount === 1, 2_000);
    });

    afterEach(async () => {
      socket.terminate();
      await server.stop();
      await reservation.release();
    });

    /** Sends notifications, and returns the most data that was unsent meanwhile. */
    async function sendNotifications(): Promise<number> {
      const unsent = accepted as unknown as { socket: WebSocket };
      let maxUnsentBytes = 0;
      for (let count = 0; count < NOTIFICATION_COUNT; count++) {
        accepted?.notify('report', NOTIFIED);
        maxUnsentBytes = Math.max(maxUnsentBytes, unsent.socket.bufferedAmount);
        await sleepMs(2);
      }
      return maxUnsentBytes;
    }

    // Issue 42, FAULT: notifications to a peer that stood still were kept without a bound.
    it('ends the connection to a peer that does not read', async () => {
      socket.pause();
      expect(await sendNotifications()).to.be.below(MAX_HELD_BYTES);
      expect([accepted?.isOpen, accepted?.wasUnread]).to.deep.equal([false, true]);
    });

    it('keeps the connection to a peer that reads', async () => {
      await sendNotifications();
      await waitUntil(() => receivedCount === NOTIFICATION_COUNT + 1, 5_000);
      expect(receivedCount).to.equal(NOTIFICATION_COUNT + 1);
      expect([accepted?.isOpen, accepted?.wasUnread]).to.deep.equal([true, false]);
    });
  });
});
