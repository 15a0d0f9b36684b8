import { expect } from 'chai';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { DEMO_ENVIRONMENT } from '../../standins/DemoFleet.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { PlatformStandIn } from '../../standins/PlatformStandIn.js';
import { DEBUGGER_PORT, isRefused } from '../platform/isRefused.js';
import { ObservedProgram } from '../platform/ObservedProgram.js';
import { sleepMs } from '../waiting.js';

const SCRIPT = fileURLToPath(new URL('../../src/daemon/main.js', import.meta.url));
/** Time after a signal to stop in which a daemon must have ended, in milliseconds. */
const END_TIMEOUT_MS = 10_000;
/** Times after the first log line at which a signal is sent, in milliseconds. */
const SIGNAL_DELAYS_MS = [0, 20, 50, 100, 200, 400];
/** Time for which a daemon must stay after a signal that does not stop it, in milliseconds. */
const STAY_MS = 200;
/** Number of signals in a series. */
const SIGNAL_COUNT = 10;

describe('signals to the daemon', function () {
  this.timeout(60_000);
  let directory: string;
  let reservation: LoopbackReservation;
  let platform: PlatformStandIn;
  let platformUrl: string;
  const daemons: ObservedProgram[] = [];

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'monsoonglade-'));
    reservation = await LoopbackReservation.create();
    platform = new PlatformStandIn({ readMs: 50, readsPerSecond: 100, fullSpeedReads: 4 });
    platformUrl = `http://127.0.0.1:${await platform.start()}`;
  });

  after(async () => {
    await platform.stop();
    await reservation.release();
    await rm(directory, { recursive: true, force: true });
  });

  afterEach(async () => {
    for (const daemon of daemons.splice(0)) {
      daemon.kill('SIGKILL');
      await daemon.ended;
    }
  });

  /** Starts a router and waits for its first log line. */
  async function start(): Promise<ObservedProgram> {
    const file = join(directory, 'router.json');
    const settings = {
      role: 'router',
      id: 'router-1',
      dataCentre: 'dc-1',
      entry: { port: await reservation.takePort() },
      peer: { port: await reservation.takePort() },
      admin: { port: await reservation.takePort() },
      platform: { url: platformUrl },
    };
    await writeFile(file, JSON.stringify(settings));
    const environment = { ...process.env, ...DEMO_ENVIRONMENT };
    const daemon = new ObservedProgram([SCRIPT, '--settings', file], environment);
    daemons.push(daemon);
    await daemon.waitForLine('process starting');
    return daemon;
  }

  for (const delayMs of SIGNAL_DELAYS_MS) {
    // Issue 39, FAULT: SIGHUP ended the daemon.
    it(`keeps running on SIGHUP ${delayMs} ms after its first line`, async () => {
      const daemon = await start();
      await sleepMs(delayMs);
      daemon.kill('SIGHUP');
      await daemon.waitForLine('process started');
      await daemon.waitForLine('signal received');
      expect(await daemon.waitForEnd(STAY_MS)).to.equal(undefined);
    });

    // Issue 39, FAULT: SIGTERM during the start ended the daemon by the signal.
    it(`exits with code 0 on SIGTERM ${delayMs} ms after its first line`, async () => {
      const daemon = await start();
      await sleepMs(delayMs);
      daemon.kill('SIGTERM');
      expect(await daemon.waitForEnd(END_TIMEOUT_MS), daemon.output).to.deep.equal({ code: 0, signal: null });
      expect(daemon.findLines('process ended')[0]?.context).to.deep.include({ cause: 'SIGTERM', code: 0 });
    });
  }

  // Issue 42, FAULT: SIGALRM and SIGVTALRM ended the daemon, and SIGUSR1 opened a debugger.
  for (const signal of ['SIGUSR1', 'SIGALRM', 'SIGVTALRM'] as const) {
    it(`keeps running on ${signal}`, async () => {
      const daemon = await start();
      daemon.kill(signal);
      await daemon.waitForLine('signal received');
      expect(await daemon.waitForEnd(STAY_MS)).to.equal(undefined);
      expect(daemon.findLines('signal received')[0]?.context).to.deep.include({ signal, action: 'none' });
      expect(daemon.output).not.to.match(/debugger|inspector/i);
      expect(await isRefused(DEBUGGER_PORT)).to.equal(true);
    });
  }

  // Issue 42, FAULT: SIGQUIT ended the daemon at once.
  it('exits with code 0 on SIGQUIT', async () => {
    const daemon = await start();
    await daemon.waitForLine('process started');
    daemon.kill('SIGQUIT');
    expect(await daemon.waitForEnd(END_TIMEOUT_MS), daemon.output).to.deep.equal({ code: 0, signal: null });
    expect(daemon.findLines('process ended')[0]?.context).to.deep.include({ cause: 'SIGQUIT', code: 0 });
  });

  // Issue 39, FAULT: the daemon ended with code 1 when the reader of its log lines had gone.
  it('keeps running and stops with code 0 when nobody reads its output', async () => {
    const daemon = await start();
    await daemon.waitForLine('process started');
    daemon.closeOutput();
    for (let count = 0; count < SIGNAL_COUNT; count++) {
      daemon.kill('SIGHUP');
      await sleepMs(STAY_MS / SIGNAL_COUNT);
    }
    expect(await daemon.waitForEnd(STAY_MS)).to.equal(undefined);
    daemon.kill('SIGTERM');
    expect(await daemon.waitForEnd(END_TIMEOUT_MS)).to.deep.equal({ code: 0, signal: null });
  });

  it('stops once when SIGTERM and SIGINT arrive several times', async () => {
    const daemon = await start();
    await daemon.waitForLine('process started');
    for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGINT'] as const) {
      daemon.kill(signal);
      await sleepMs(STAY_MS / SIGNAL_COUNT);
    }
    expect(await daemon.waitForEnd(END_TIMEOUT_MS), daemon.output).to.deep.equal({ code: 0, signal: null });
    expect(
      daemon.findLines('signal received').filter(({ context }) => context.action === 'stop').length,
    ).to.equal(1);
  });
});
