import { expect } from 'chai';
import { createServer } from 'node:http';
import { ServiceContainer, ServicesStoppedError, SystemClock } from '../../src/kernel/index.js';
import { Metrics, MetricsServer, type Log } from '../../src/telemetry/index.js';
import { listenOrThrow } from '../../src/transport/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { sleepMs } from '../waiting.js';

/** Time limit for a stop, in milliseconds; less than a stop waits for a start that is not cancelled. */
const STOP_LIMIT_MS = 300;

describe('MetricsServer', () => {
  describe('cancelStart', () => {
    // Issue 39, FAULT: with a taken metrics port, the stop of a process took 500 ms longer and exceeded its grace.
    it('ends the wait for a port that is taken', async () => {
      const reservation = await LoopbackReservation.create();
      const address = { host: '127.0.0.1', port: await reservation.takePort() };
      const occupant = createServer();
      await listenOrThrow(occupant, address, 'metrics');
      const clock = new SystemClock();
      const log = { info: () => undefined, warn: () => undefined } as unknown as Log;
      const metrics = new Metrics();
      const services = new ServiceContainer(() => undefined, clock);
      const server = new MetricsServer(address, metrics, { clock, log, metrics });
      const start = services.start(server).catch((reason: unknown) => reason);
      // The next attempt follows after the limit.
      await sleepMs(1_000);
      const isStopped = await Promise.race([
        services.stop().then(() => true),
        sleepMs(STOP_LIMIT_MS).then(() => false),
      ]);
      occupant.close();
      await reservation.release();
      expect(isStopped).to.equal(true);
      expect(await start).to.be.instanceOf(ServicesStoppedError);
    });
  });
});
