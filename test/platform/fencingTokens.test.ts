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
const DOWN_MS = 300;
const CONNECTION = {
  peerName: 'router-1',
  onClose: () => () => undefined,
  notify: () => undefined,
} as unknown as PeerConnection;

type Step = 'restartAgent' | 'restartWorker' | 'restartWorkerWithoutAgent';

describe('fencing tokens of orders', function () {
  this.timeout(60_000);
  let reservation: LoopbackReservation;
  let worker: ModelWorker;
  let controller: EngineController;

  /** Starts an agent, which remembers nothing of the ones before it. */
  async function startAgent(): Promise<void> {
    const { host, port } = worker.options;
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

  /** Has the agent order the model, or an adapter if the worker holds the model. */
  async function sendOrder(): Promise<void> {
    const adapters = worker.heldModels[0]?.Adapters;
    if (!adapters) {
      await expectSoon(() => {
        call('residency.want', { model: 'a', isInteractive: true });
        return worker.heldModels.length > 0;
      });
      return;
    }
    const adapter = `a${adapters.length + 1}`;
    await expectSoon(() => {
      // The agent learns of the model with its next report.
      void call<Promise<unknown>>('residency.ensureAdapter', { model: 'a', adapter });
      return worker.heldModels[0]?.Adapters.includes(adapter) === true;
    });
  }

  async function expectSoon(isMet: () => boolean): Promise<void> {
    await waitUntil(isMet, TIMEOUT_MS);
    expect(isMet()).to.equal(true);
  }

  async function restartWorker(): Promise<void> {
    worker.crash(DOWN_MS);
    await expectSoon(() => worker.heldModels.length === 0);
  }

  async function perform(step: Step): Promise<void> {
    switch (step) {
      case 'restartAgent':
        await controller.stop();
        await startAgent();
        break;
      case 'restartWorker':
        await restartWorker();
        break;
      case 'restartWorkerWithoutAgent':
        await controller.stop();
        await restartWorker();
        await startAgent();
        break;
    }
  }

  afterEach(async () => {
    await controller.stop();
    worker.stop();
    await reservation.release();
  });

  const orders: Step[][] = [
    ['restartWorker', 'restartAgent'],
    ['restartWorker', 'restartAgent', 'restartWorker', 'restartAgent'],
    ['restartWorker', 'restartWorker', 'restartAgent', 'restartAgent'],
    ['restartWorkerWithoutAgent', 'restartAgent'],
    ['restartAgent', 'restartWorker', 'restartAgent'],
  ];
  for (const ignoresFences of [true, false]) {
    for (const steps of orders) {
      const which = ignoresFences ? 'does not check them' : 'checks them';

      // Review, case 9: what an agent remembered decided on the token, so that the next agent began with a lower one.
      it(`never fall for a worker that keeps its ID and ${which}: ${steps.join(', ')}`, async () => {
        reservation = await LoopbackReservation.create();
        worker = new ModelWorker({
          workerId: 'w1',
          service: 's',
          host: reservation.getAddress(1),
          port: await reservation.takePort(),
          store: new ObjectStore(),
          onRun: () => undefined,
          drawFault: () => undefined,
          ignoresFences,
        });
        await worker.start();
        await startAgent();
        await sendOrder();
        for (const step of steps) {
          await perform(step);
          await sendOrder();
        }
        expect(worker.loweredFenceCount).to.equal(0);
      });
    }
  }
});
