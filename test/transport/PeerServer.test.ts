import { expect } from 'chai';
import { once } from 'node:events';
import { WebSocket } from 'ws';
import { delay, SystemClock } from '../../src/kernel/index.js';
import { PeerDialer, PeerServer, TrafficMeter, type PeerConnection } from '../../src/transport/index.js';

const CLOCK = new SystemClock();
/** Fixed address of the server, used by no other test, since redialling needs the same port. */
const ADDRESS = { host: '127.0.72.1', port: 9_481 };

function dial(name: string): Promise<PeerConnection> {
  const dialer = new PeerDialer(name, 's', CLOCK, new TrafficMeter());
  return dialer.connect(`${ADDRESS.host}:${ADDRESS.port}`);
}

describe('PeerServer', () => {
  describe('stop', () => {
    it('resolves although one peer is unresponsive and another redials meanwhile', async () => {
      const server = new PeerServer(ADDRESS, 's', CLOCK, {}, new TrafficMeter());
      await server.start();
      const unresponsive = new WebSocket(`ws://${ADDRESS.host}:${ADDRESS.port}`, {
        headers: { authorization: 'Bearer s' },
      });
      await once(unresponsive, 'open');
      unresponsive.pause();
      const first = await dial('first');
      let redialled: Promise<unknown> = Promise.resolve();
      first.onClose(() => {
        redialled = dial('again').catch(() => undefined);
      });
      const isStopped = await Promise.race([
        server.stop().then(() => true),
        delay(CLOCK, 2_500).then(() => false),
      ]);
      await redialled;
      unresponsive.terminate();
      expect(isStopped).to.equal(true);
    });
  });
});
