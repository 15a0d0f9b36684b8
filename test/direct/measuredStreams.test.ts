import { expect } from 'chai';
import type { Log } from '../../src/telemetry/index.js';
import { makeRoute } from './fleetFixtures.js';
import { makeResponseHeaders, RouterBench } from './RouterBench.js';

const EVENT_COUNT = 8;
const GAP_MS = 30;

describe('RequestForwarder', () => {
  it('measures the time between the events of a stream, without the time to the first one', async () => {
    const bench = new RouterBench();
    const ends: Record<string, unknown>[] = [];
    bench.log = {
      info: () => undefined,
      warn: () => undefined,
      decision: (decision: string, fields: Record<string, unknown>) =>
        decision === 'attempt ended' && ends.push(fields),
    } as unknown as Log;
    await bench.addServer('e', (incoming, response) => {
      response.writeHead(200, makeResponseHeaders(incoming, 'text/event-stream'));
      let sentCount = 0;
      const sendNext = () => {
        response.write(`id: ${++sentCount}\ndata: x\n\n`);
        setTimeout(sentCount < EVENT_COUNT ? sendNext : () => response.end(), GAP_MS);
      };
      setTimeout(sendNext, 400);
    });
    await bench.start([makeRoute()]);
    try {
      const response = await bench.sendRequest('/drafts/1');
      expect(response.isComplete).to.equal(true);
      expect(ends).to.have.length(1);
      // A busy machine prolongs the gaps; with the time to the first event, the mean would be 70 ms longer.
      expect(ends[0]?.eventGapMs).to.be.within(GAP_MS - 5, GAP_MS + 40);
      expect(ends[0]).to.include({ expectedGapMs: -1, paceFactor: 1 });
    } finally {
      await bench.close();
    }
  });
});
