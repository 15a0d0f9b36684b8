import { expect } from 'chai';
import type { ServerResponse } from 'node:http';
import { LateReadGuard } from '../../src/admission/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import { pollSockets } from '../../src/transport/index.js';
import { ManualClock } from '../fakes/ManualClock.js';

describe('LateReadGuard', () => {
  let clock: ManualClock;
  let guard: LateReadGuard;
  let socket: { destroyed: boolean; readableEnded: boolean };
  let sentCount: number;

  beforeEach(async () => {
    clock = new ManualClock();
    guard = new LateReadGuard({ clock, log: new Log('test', () => undefined), metrics: new Metrics() });
    await guard.start();
    socket = { destroyed: false, readableEnded: false };
    sentCount = 0;
    clock.advance(500);
  });

  afterEach(() => guard.stop());

  const admit = () => {
    guard.admit({ destroyed: false, closed: false, socket } as unknown as ServerResponse, () => sentCount++);
  };

  /** Lets time pass without any callback, as in a long task of the process. */
  function standStill(durationMs: number): void {
    const { nowMs } = clock;
    const atMs = clock.nowMs() + durationMs;
    clock.nowMs = () => Math.max(atMs, nowMs.call(clock));
  }

  it('sends requests at once in a process that reads in time', () => {
    admit();
    expect(sentCount).to.equal(1);
  });

  // Guards against requests that reach servers after their callers have left: 69 in a burst at small routers.
  it('drops a request that was read late if the end of its connection follows', async () => {
    standStill(800);
    admit();
    expect(sentCount).to.equal(0);
    await pollSockets();
    socket.readableEnded = true;
    await pollSockets();
    await pollSockets();
    expect(sentCount).to.equal(0);
  });

  it('sends a request that was read late and whose caller waits', async () => {
    standStill(800);
    admit();
    await pollSockets();
    await pollSockets();
    await pollSockets();
    expect(sentCount).to.equal(1);
  });
});
