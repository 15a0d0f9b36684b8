import { expect } from 'chai';
import { createServer, type Server } from 'node:http';
import { setImmediate as nextPoll } from 'node:timers/promises';
import { SystemClock, type Clock } from '../../src/kernel/index.js';
import { Metrics, type Log } from '../../src/telemetry/index.js';
import { listenOrThrow, PortListener, type ListenAddress } from '../../src/transport/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { ManualClock } from '../fakes/ManualClock.js';
import { sleepMs } from '../waiting.js';

/** Time in which a server that was tried again is bound, in milliseconds. */
const RETRY_TIMEOUT_MS = 1_500;
/** Time by which the manual clock advances between two attempts, in milliseconds. */
const STEP_MS = 500;
/** Address of no machine. */
const UNASSIGNED_HOST = '203.0.113.9';
/** Polls after which an attempt to bind has ended. */
const POLL_COUNT = 20;

describe('PortListener', () => {
  let reservation: LoopbackReservation;
  let address: ListenAddress;
  let occupant: Server;
  let server: Server;
  let lines: string[];
  let metrics: Metrics;
  const log = {
    info: (text: string, fields: object) => lines.push(`${text} ${JSON.stringify(fields)}`),
    warn: (text: string, fields: object) => lines.push(`${text} ${JSON.stringify(fields)}`),
  } as unknown as Log;

  beforeEach(async () => {
    reservation = await LoopbackReservation.create();
    address = { host: '127.0.0.1', port: await reservation.takePort() };
    occupant = createServer();
    await listenOrThrow(occupant, address, 'peer');
    server = createServer();
    lines = [];
    metrics = new Metrics();
  });

  afterEach(async () => {
    occupant.close();
    server.close();
    await reservation.release();
  });

  function makeListener(clock: Clock = new SystemClock()): PortListener {
    return new PortListener(server, address, 'peer', { clock, log, metrics });
  }

  describe('start', () => {
    it('binds the server as soon as the port is free, and logs the first failure and the end', async () => {
      const started = makeListener().start();
      await sleepMs(200);
      expect(server.listening).to.equal(false);
      occupant.close();
      await Promise.race([started, sleepMs(RETRY_TIMEOUT_MS)]);
      expect(server.listening).to.equal(true);
      const found = `{"field":"peer","address":"127.0.0.1:${address.port}"`;
      expect(lines[0]).to.equal(
        `port not available, trying again ${found},"code":"EADDRINUSE","attempts":1}`,
      );
      expect(lines[1]).to.match(/^port bound .*"attempts":[2-9]}$/);
      expect(lines).to.have.length(2);
    });

    it('logs one line in ten seconds while the port stays taken, and adds no listeners to the server', async () => {
      const clock = new ManualClock();
      const listener = makeListener(clock);
      const started = listener.start();
      await waitForAttempt();
      for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += STEP_MS) {
        clock.advance(STEP_MS);
        await waitForAttempt();
      }
      expect(lines).to.have.length(4);
      expect(server.listenerCount('listening')).to.be.at.most(1);
      expect(server.listenerCount('error')).to.equal(1);
      listener.stop();
      await started;
    });

    it('tries again while the address is not up yet', async () => {
      address = { host: UNASSIGNED_HOST, port: address.port };
      const listener = makeListener();
      const started = listener.start();
      await sleepMs(200);
      listener.stop();
      await started;
      expect(lines).to.have.length(1);
      expect(lines[0]).to.contain('"code":"EADDRNOTAVAIL"');
    });

    it('fails at once and names the field when the address is not valid', async () => {
      address = { host: '127.0.0.1', port: 99_999 };
      const error: unknown = await makeListener()
        .start()
        .catch((reason: unknown) => reason);
      expect(String(error)).to.contain('peer: 127.0.0.1:99999 cannot be bound (ERR_SOCKET_BAD_PORT)');
      expect(lines).to.have.length(0);
    });
  });

  describe('errors of the bound server', () => {
    // Issue 39, FAULT: the first error of a server was swallowed, the second one ended the process.
    it('are counted and logged at a bounded rate, and leave the server bound', async () => {
      occupant.close();
      const clock = new ManualClock();
      await makeListener(clock).start();
      const error = Object.assign(new Error('accept ENOBUFS'), { code: 'ENOBUFS' });
      for (let count = 0; count < 3; count++) {
        server.emit('error', error);
      }
      expect(lines).to.deep.equal([
        `server error {"field":"peer","address":"127.0.0.1:${address.port}","error":"accept ENOBUFS","errorCount":1}`,
      ]);
      clock.advance(10_000);
      server.emit('error', error);
      expect(lines).to.have.length(2);
      expect(metrics.toPrometheusText()).to.contain('monsoonglade_server_errors_total 4');
      expect(server.listening).to.equal(true);
    });
  });

  describe('stop', () => {
    it('ends the attempts: the start resolves and the port stays free', async () => {
      const listener = makeListener();
      const started = listener.start().then(() => true);
      await sleepMs(100);
      listener.stop();
      expect(await Promise.race([started, sleepMs(RETRY_TIMEOUT_MS)])).to.equal(true);
      occupant.close();
      await sleepMs(RETRY_TIMEOUT_MS);
      expect(server.listening).to.equal(false);
    });

    it('leaves no listener when the system binds the port afterwards', async () => {
      occupant.close();
      await nextPoll();
      const listener = makeListener();
      const started = listener.start();
      listener.stop();
      await started;
      await nextPoll();
      expect(server.listening).to.equal(false);
    });
  });
});

async function waitForAttempt(): Promise<void> {
  for (let poll = 0; poll < POLL_COUNT; poll++) {
    await nextPoll();
  }
}
