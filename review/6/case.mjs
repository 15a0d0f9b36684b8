/** All workers of a service crash once while equal reads run on them. Are the reads of that route served again? */
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
import { HEALTH_PATH, ModelWorker, PlainWorker } from '../lib-2/workers.mjs';

const HOST = 'desk.example';
const DEADLINE_MS = 1_500;
const ROUTER_COUNT = 5;
const WORKER_COUNT = 3;
/** Time that a request takes, in milliseconds. */
const WORK_MS = 150;
/** Number of reads that run when the workers crash. */
const RUNNING_COUNT = 12;
/** Time for which the workers are down, in milliseconds. */
const CRASHED_MS = 2_000;
/** Reads at once, one of each client, and the time between two such groups, in milliseconds. */
const READ_COUNT = 15;
const READ_INTERVAL_MS = 1_000;
const ORDER_INTERVAL_MS = 100;
/** Time without any disruption before the requests are counted, and the time over which they are, in milliseconds. */
const CALM_MS = 10_000;
const COUNT_MS = 15_000;
/** Number of requests on the later route from which on the rule counts, and the share that it demands. */
const MIN_COUNT = 20;
const MIN_SHARE = 0.25;

const route = (Name, PathPrefix, Kind, MaxAttempts) => ({
  Name,
  Hostname: HOST,
  PathPrefix,
  Kind,
  TimeoutMs: DEADLINE_MS,
  TargetLatencyMs: 190,
  Priority: 2,
  Service: 'pedidos',
  MaxAttempts,
});

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async (system, recorder) => {
  const store = new Store();
  await store.start();
  const workerIp = await reserveMachine(Array.from({ length: WORKER_COUNT }, (_, index) => 8501 + index));
  const agentIp = await reserveMachine([8601]);
  const routerIps = [];
  for (let index = 0; index < ROUTER_COUNT; index++) {
    routerIps.push(await reserveMachine([8149, 8141]));
  }
  const configure = (Version, Routes) => {
    recorder.add(`configuration ${Version}: ${Routes.map(({ Name }) => Name).join(', ')}`);
    store.put('config', 'main', {
      Version,
      Routes,
      Services: [
        { Name: 'pedidos', HealthPath: HEALTH_PATH, MaxConns: 110 },
        {
          Name: 'asistente',
          HealthPath: HEALTH_PATH,
          MaxConns: 300,
          Engine: {
            Slots: 48,
            WeightsMb: 200_000,
            AdapterSlots: 8,
            LoadsPerS: 3,
            Models: [
              {
                Name: 'm0',
                WeightsMb: 40_000,
                LoadS: 6,
                DiskS: 0.68,
                WarmS: 0.44,
                Adapters: 0,
                AdapterMb: 12,
              },
            ],
          },
        },
      ],
      Limits: CALLER_LIMITS,
    });
  };
  const firstRoute = route('order', '/order/', 'non_idempotent', 1);
  const laterRoute = route('stock', '/stock/', 'idempotent', 2);
  configure(3, [firstRoute]);
  let runningReads = 0;
  const serve = (incoming, response, worker) => {
    const requestId = String(incoming.headers['request-id']);
    const isRead = incoming.method === 'GET';
    runningReads += isRead ? 1 : 0;
    response.once('close', () => (runningReads -= isRead ? 1 : 0));
    recorder.add(`worker ${worker.id} runs ${requestId}`);
    const text = `served ${requestId}`;
    setTimeout(() => {
      response.writeHead(200, {
        'request-id': requestId,
        'response-stamp': `${worker.id}.${requestId}`,
        'content-length': text.length,
      });
      response.end(text);
    }, WORK_MS);
  };
  const workers = Array.from(
    { length: WORKER_COUNT },
    (_, index) =>
      new PlainWorker({
        id: `i-p${index}`,
        service: 'pedidos',
        host: workerIp,
        port: 8501 + index,
        store,
        recorder,
        serve,
      }),
  );
  const engine = new ModelWorker({
    id: 'i-m0',
    service: 'asistente',
    host: agentIp,
    port: 8601,
    store,
    recorder,
    requireFence: true,
    onOrder: () => undefined,
  });
  for (const worker of [...workers, engine]) {
    await worker.start();
  }
  system.startAgent('side-1', agentIp, store.address, engine.address);
  for (const [index, ip] of routerIps.entries()) {
    system.startRouter(`front-${index + 1}`, ip, store.address);
  }
  const areReady = async () => (await Promise.all(routerIps.map((ip) => isReady(ip)))).every(Boolean);
  if (!(await waitUntil(areReady, 20_000))) {
    return { code: COULD_NOT_RUN, text: 'the routers did not become ready' };
  }
  await sleep(2_000);
  configure(7, [firstRoute, laterRoute]);
  await sleep(6_000);

  let number = 0;
  const counts = { order: { all: 0, served: 0 }, stock: { all: 0, served: 0 } };
  let isCounted = false;
  const request = async (kind) => {
    const router = number++ % ROUTER_COUNT;
    const requestId = `${Date.now().toString(16)}${number.toString(16).padStart(5, '0')}`;
    const isCountedNow = isCounted;
    const answer = await send({
      host: routerIps[router],
      name: HOST,
      method: kind === 'order' ? 'POST' : 'GET',
      path: kind === 'order' ? '/order/2f' : '/stock/2f',
      headers: { 'Deadline-Ms': String(DEADLINE_MS) },
      body: kind === 'order' ? `order ${requestId}` : undefined,
      requestId,
    });
    if (isCountedNow) {
      counts[kind].all++;
      counts[kind].served += answer.status === 200 ? 1 : 0;
    }
    recorder.add(`${kind} ${requestId} at front-${router + 1}: ${answer.status} ${answer.body}`);
  };
  const readGroup = () => {
    for (let index = 0; index < READ_COUNT; index++) {
      void request('stock');
    }
  };
  const orders = setInterval(() => void request('order'), ORDER_INTERVAL_MS);
  const reads = setInterval(readGroup, READ_INTERVAL_MS);
  await sleep(4_500);
  if (isTroubled) {
    readGroup();
    if (!(await waitUntil(() => runningReads >= RUNNING_COUNT, 5_000))) {
      return { code: COULD_NOT_RUN, text: 'too few reads ran at the same time' };
    }
    await Promise.all(workers.map((worker) => worker.crash()));
    await sleep(CRASHED_MS);
    await Promise.all(workers.map((worker) => worker.start()));
    recorder.add('all workers are back');
  }
  await sleep(CALM_MS);
  isCounted = true;
  await sleep(COUNT_MS);
  isCounted = false;
  clearInterval(orders);
  clearInterval(reads);
  await sleep(DEADLINE_MS);
  for (const worker of [...workers, engine]) {
    await worker.stop();
  }
  store.stop();
  const describe = ({ all, served }) => `${served} of ${all}`;
  const text = `served from ${CALM_MS / 1000} s after the crash on: ${describe(counts.stock)} requests on the later route, ${describe(counts.order)} on the first route`;
  recorder.add(text);
  if (counts.stock.all < MIN_COUNT || counts.order.served === 0) {
    return { code: COULD_NOT_RUN, text };
  }
  const share = counts.stock.served / counts.stock.all;
  return share < MIN_SHARE * (counts.order.served / counts.order.all)
    ? { code: BROKEN, text: `CONFIG: ${text}` }
    : { code: HELD, text };
});
