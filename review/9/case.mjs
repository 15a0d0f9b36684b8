/** A worker starts again under its ID, then the agent beside it starts again: the fencing tokens of the agent's orders. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { send } from '../lib-2/client.mjs';
import { CALLER_LIMITS, Store } from '../lib-2/store.mjs';
import {
  BROKEN,
  COULD_NOT_RUN,
  HELD,
  isReady,
  isTroubled,
  reserveMachine,
  runCase,
  sleep,
  waitUntil,
} from '../lib-2/system.mjs';
import { HEALTH_PATH, ModelWorker } from '../lib-2/workers.mjs';

const WORKER_PORT = 8501;
const HOST = 'saga.example';
/** Twice as many models as the worker has memory for. */
const MODELS = Array.from({ length: 10 }, (_, index) => `m${index}`);
const DEADLINE_MS = 12_000;
/** Time for which the worker is down after its crash, in milliseconds. */
const DOWN_MS = 2_000;

const model = (name) => ({
  Name: name,
  WeightsMb: 16_100,
  LoadS: 10.2,
  DiskS: 0.68,
  WarmS: 0.44,
  Adapters: 0,
  AdapterMb: 12,
});

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  { bounds: { RequireFence: false } },
  async (system, recorder) => {
    const store = new Store();
    await store.start();
    const routerIp = await reserveMachine([8149, 8141]);
    const agentIp = await reserveMachine([WORKER_PORT]);
    store.put('config', 'main', {
      Version: 3,
      Routes: [
        {
          Name: 'draft',
          Hostname: HOST,
          PathPrefix: '/draft/',
          Kind: 'stream',
          TimeoutMs: DEADLINE_MS,
          TargetLatencyMs: 300,
          GapAimMs: 200,
          Priority: 1,
          Service: 'sagnamadur',
          MaxAttempts: 2,
          CanResume: true,
          Sticky: true,
        },
      ],
      Services: [
        {
          Name: 'sagnamadur',
          HealthPath: HEALTH_PATH,
          MaxConns: 380,
          Engine: {
            Slots: 48,
            WeightsMb: 83_000,
            AdapterSlots: 8,
            LoadsPerS: 13,
            Models: MODELS.map(model),
          },
        },
      ],
      Limits: CALLER_LIMITS,
    });
    const orders = [];
    const worker = new ModelWorker({
      id: 'i-7f3a91c2',
      service: 'sagnamadur',
      host: agentIp,
      port: WORKER_PORT,
      store,
      recorder,
      requireFence: false,
      onOrder: ({ Op, Model, Holder, Fence, Expect }, status, { id, born }) => {
        orders.push({ born, Fence });
        recorder.add(
          `order at worker ${id} born ${born}: ${Op} ${Model}, Holder ${Holder}, Fence ${Fence}, Expect ${Expect}; answer ${status}`,
        );
      },
    });
    await worker.start();
    system.startRouter('front-1', routerIp, store.address);
    const startAgent = () => system.startAgent('side-1', agentIp, store.address, worker.address);
    let agent = startAgent();
    if (!(await waitUntil(() => isReady(routerIp), 10_000))) {
      return { code: COULD_NOT_RUN, text: 'the router did not become ready' };
    }
    /** Asks for a model that the worker does not hold until it is served. */
    const ask = async () => {
      const name = MODELS.find((other) => !worker.held.has(other));
      let answer;
      const isServed = await waitUntil(async () => {
        answer = await send({
          host: routerIp,
          name: HOST,
          method: 'POST',
          path: '/draft/2f',
          headers: {
            Model: name,
            'Token-Count': '700,40',
            'Prompt-Prefix': '5c1e07a2:170,91bd3f06:530',
            'Deadline-Ms': String(DEADLINE_MS),
          },
          body: 'draft',
        });
        recorder.add(`request ${answer.requestId} for ${name}: ${answer.status} ${answer.detail}`);
        await sleep(250);
        return answer.status === 200 && answer.detail === 'complete';
      }, 12_000);
      if (!isServed) {
        throw new Error(`A request for ${name} was not served.`);
      }
    };
    await ask();
    if (isTroubled) {
      await worker.crash();
      await sleep(DOWN_MS);
      await worker.start();
    }
    await sleep(2_500);
    await ask();
    if (isTroubled) {
      agent.kill('SIGKILL');
      await sleep(500);
      agent = startAgent();
      await sleep(2_000);
    }
    await ask();
    await sleep(300);
    await worker.stop();
    store.stop();

    const highest = new Map();
    let lowered = 0;
    for (const { born, Fence } of orders) {
      if (Fence < (highest.get(born) ?? -Infinity)) {
        lowered++;
      }
      highest.set(born, Math.max(Fence, highest.get(born) ?? -Infinity));
    }
    if (orders.length < 4) {
      return { code: COULD_NOT_RUN, text: `only ${orders.length} orders reached the worker` };
    }
    return lowered > 0
      ? {
          code: BROKEN,
          text: `ONE: ${lowered} of ${orders.length} orders had a lower fencing token than one before them`,
        }
      : { code: HELD, text: `${orders.length} orders, none with a lower fencing token than one before it` };
  },
);
