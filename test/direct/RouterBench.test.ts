import { expect } from 'chai';
import { PeerDialer, TrafficMeter } from '../../src/transport/index.js';
import { CLOCK, RouterBench } from './RouterBench.js';

describe('RouterBench', () => {
  describe('addServer', () => {
    it('does not count the dial of a peer on a reused port as a request', async () => {
      const bench = new RouterBench();
      await bench.addServer('e', (_incoming, response) => response.end());
      const [entry] = bench.view.getEntries();
      const dialer = new PeerDialer('router-of-another-run', '', CLOCK, new TrafficMeter());
      const failure = await dialer.connect(entry?.address ?? '').catch((error: unknown) => error);
      expect(failure).to.be.instanceOf(Error);
      expect(bench.receivedRequests).to.have.length(0);
      await bench.close();
    });
  });
});
