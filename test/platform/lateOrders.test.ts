import { expect } from 'chai';
import { HttpEnginePort } from '../../platform/HttpEnginePort.js';
import { EngineController } from '../../src/direct/index.js';
import { toFollowParams } from '../../src/direct/messages.js';
import { SystemClock } from '../../src/kernel/index.js';
import { Log, Metrics } from '../../src/telemetry/index.js';
import type { PeerConnection } from '../../src/transport/index.js';
import { LoopbackReservation } from '../../standins/LoopbackReservation.js';
import { ModelWorker, ObjectStore } from '../../standins/users/index.js';
import { makeProfile } from '../direct/fleetFixtures.js';
import { waitUntil } from '../waiting.js';

const CLOCK = new SystemClock();
const TIMEOUT_MS = 5_000;
/** Time for which the engine is down, in milliseconds; the request for the late model expires in it. */
const DOWN_MS = 1_900;
const CONNECTION = {
  peerName: 'router-1',
  onClose: () => () => undefined,
  notify: () => undefined,
} as unknown as PeerConnection;

describe('late orders', function () {
  this.timeout(30_000);
  let reservation: LoopbackReservation;
  let worker: ModelWorker;
  let controller: EngineController;
  let isNextLate: boolean;

  async function startAgent(changesId: boolean): Promise<void> {
    const host = reservation.getAddress(1);
    const port = await reservation.takePort();
    worker = new ModelWorker({
      workerId: 'w1',
      service: 's',
      host,
      port,
      store: new ObjectStore(),
      onRun: () => undefined,
      drawFault: () => undefined,
      drawLateMs: () => {
        const isLate = isNextLate;
        isNextLate = false;
        return isLate ? Infinity : undefined;
      },
      changesId,
    });
    await worker.start();
    controller = new EngineController({
      clock: CLOCK,
      engine: new HttpEnginePort(CLOCK, `${host}:${port}`, 'side-1'),
      engineAddress: `${host}:${port}`,
      log: new Log('test', () => undefined),
      metrics: new Metrics(),
    });
    await controller.start();
    call('residency.follow', { ...toFollowParams(makeProfile(), 1), healthPath: '/health' });
  }

  function call<T>(method: string, params: unknown): T {
    return controller.getMethods()[method]?.(params as never, CONNECTION) as T;
  }

  async function load(model: string): Promise<void> {
    call('residency.want', { model, isInteractive: false, keptModels: ['a', 'b', 'c', 'd'] });
    await expectSoon(() => holds(model));
  }

  async function expectSoon(isMet: () => boolean): Promise<void> {
    await waitUntil(isMet, TIMEOUT_MS);
    expect(isMet()).to.equal(true);
  }

  function holds(model: string): boolean {
    return worker.heldModels.some(({ Name }) => Name === model);
  }

  beforeEach(async () => {
    reservation = await LoopbackReservation.create();
    isNextLate = false;
  });

  afterEach(async () => {
    await controller.stop();
    worker.stop();
    await reservation.release();
  });

  for (const changesId of [true, false]) {
    const which = changesId ? 'with another ID' : 'with the same ID';

    // Review, case 4 of 71ca1ba: the order count begins again, so that an order meant for an earlier incarnation meets it.
    it(`never act on the next incarnation of an engine, ${which}`, async () => {
      await startAgent(changesId);
      await load('a');
      await expectSoon(() => {
        // The agent learns of the model with its next report.
        void call<Promise<unknown>>('residency.ensureAdapter', { model: 'a', adapter: 'a1' });
        return worker.heldModels[0]?.Adapters.includes('a1') === true;
      });
      isNextLate = true;
      call('residency.want', { model: 'b', isInteractive: false, keptModels: ['a'] });
      await expectSoon(() => worker.lateOrderCount === 1);
      worker.crash(DOWN_MS);
      await expectSoon(() => !holds('a'));
      await load('c');
      await load('d');
      worker.carryOutLateOrders();
      expect(worker.overloadCount).to.equal(0);
    });
  }
});
