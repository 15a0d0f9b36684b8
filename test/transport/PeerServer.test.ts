import { expect } from 'chai';
import { once } from 'node:events';
import { WebSocket } from 'ws';
import { delay, SystemClock } from '../../src/kernel/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { PeerDialer, PeerServer, TrafficMeter, type PeerConnection } from '../../src/transport/index.js';

const CLOCK = new SystemClock();
function dial(name: string, address: string): Promise<PeerConnection> {
  const dialer = new PeerDialer(name, 's', CLOCK, new TrafficMeter());
  return dialer.connect(address);
}

describe('PeerServer', () => {
  describe('stop', () => {
    it('resolves although one peer is unresponsive and another redials meanwhile', async () => {
      // Redialling needs the same port, also after the server has closed it.
      const reservation = await LoopbackReservation.create();
      const port = await reservation.takePort();
      const address = `127.0.0.1:${port}`;
      const server = new PeerServer({ host: '127.0.0.1', port }, 's', CLOCK, {}, new TrafficMeter());
      await server.start();
      const unresponsive = new WebSocket(`ws://${address}`, {
        headers: { authorization: 'Bearer s' },
      });
      await once(unresponsive, 'open');
      unresponsive.pause();
      const first = await dial('first', address);
      let redialled: Promise<unknown> = Promise.resolve();
      first.onClose(() => {
        redialled = dial('again', address).catch(() => undefined);
      });
      const isStopped = await Promise.race([
        server.stop().then(() => true),
        delay(CLOCK, 2_500).then(() => false),
      ]);
      await redialled;
      unresponsive.terminate();
      await reservation.release();
      expect(isStopped).to.equal(true);
    });
  });
});
