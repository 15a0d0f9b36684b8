import { expect } from 'chai';
import { once } from 'node:events';
import { WebSocket } from 'ws';
import { delay, SystemClock } from '../../src/kernel/index.js';
import { PeerDialer, PeerServer, TrafficMeter, type PeerConnection } from '../../src/transport/index.js';

const CLOCK = new SystemClock();
/** Address of the server; a port of its own, since stopping and dialling again need the same one. */
const ADDRESS = { host: '127.0.72.1', port: 9_481 };

function dial(name: string): Promise<PeerConnection> {
  const dialer = new PeerDialer(name, 's', CLOCK, new TrafficMeter());
  return dialer.connect(`${ADDRESS.host}:${ADDRESS.port}`);
}

describe('PeerServer', () => {
  describe('stop', () => {
    it('ends although one end is silent and another dials again meanwhile', async () => {
      const server = new PeerServer(ADDRESS, 's', CLOCK, {}, new TrafficMeter());
      await server.start();
      const silent = new WebSocket(`ws://${ADDRESS.host}:${ADDRESS.port}`, {
        headers: { authorization: 'Bearer s' },
      });
      await once(silent, 'open');
      silent.pause();
      const first = await dial('first');
      let again: Promise<unknown> = Promise.resolve();
      first.onClose(() => {
        again = dial('again').catch(() => undefined);
      });
      const isStopped = await Promise.race([
        server.stop().then(() => true),
        delay(CLOCK, 2_500).then(() => false),
      ]);
      await again;
      silent.terminate();
      expect(isStopped).to.equal(true);
    });
  });
});
