import { expect } from 'chai';
import { onBackgroundError, SystemClock } from '../../src/kernel/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { PeerDialer, PeerServer, TrafficMeter, type PeerConnection } from '../../src/transport/index.js';
import { standStill } from '../standStill.js';
import { waitUntil } from '../waiting.js';

const CLOCK = new SystemClock();
/** Time for which the process stands still, in milliseconds: longer than a peer may be silent. */
const STANDSTILL_MS = 3_500;

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
});
