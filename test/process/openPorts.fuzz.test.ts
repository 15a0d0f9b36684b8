import { expect } from 'chai';
import { AGENT_METHODS, ROUTER_METHODS } from '../../src/domain/index.js';
import { DEMO_ENVIRONMENT, type FleetDaemon } from '../../standins/DemoFleet.js';
import { expectServed, type SoundRequest } from '../openPorts/expectServed.js';
import { findUncaught, OpenPortFuzzer, type OpenPort } from '../openPorts/OpenPortFuzzer.js';
import { DEFAULT_SERVICE, ORDER_SERVICE, TestSystem, TOKENS } from './TestSystem.js';

const SEED = Number(process.env.FUZZ_SEED ?? 1);
const CONNECTION_COUNT = Number(process.env.FUZZ_RUNS ?? 4_000);
const SECRET = DEMO_ENVIRONMENT.MONSOONGLADE_PEER_SECRET;
/** All methods except the one that makes an agent leave for good. */
const METHODS = [...Object.values(AGENT_METHODS), ...Object.values(ROUTER_METHODS)].filter(
  (method) => method !== AGENT_METHODS.drain,
);

// Issue 39, FAULT: what others sent to an open port ended daemons.
describe(`daemon (router and agent) with random connections to all ports, seed ${SEED}`, function () {
  this.timeout(600_000);
  let system: TestSystem;

  beforeEach(async () => {
    system = await TestSystem.start({
      routerCount: 1,
      engineCount: 1,
      orderCount: 1,
      services: [{}, ORDERS],
    });
  });

  afterEach(() => system.stop());

  it('keeps every process running and serving', async () => {
    const daemons = [...system.fleet.daemons.values()];
    await expectServed(getSoundRequests(system));
    const fuzzer = new OpenPortFuzzer(SEED, daemons.flatMap(getOpenPorts), {
      targets: [
        '/v1/chat/completions',
        '/v1/models',
        '/services/orders/make',
        '/healthz',
        '/readyz',
        '/metrics',
        '/status',
        '/explain?model=%E0%A4%A',
        '/explain?model=quotes/base',
      ],
      headers: [
        `Authorization: Bearer ${TOKENS.mosquitero}`,
        `Authorization: Bearer ${DEMO_ENVIRONMENT.MONSOONGLADE_ADMIN_TOKEN}`,
      ],
    });
    await fuzzer.run(CONNECTION_COUNT);
    const errors = daemons.map(({ id, process }) => `${id}: ${findUncaught(process.errorOutput).join('\n')}`);
    expect(errors).to.deep.equal(daemons.map(({ id }) => `${id}: `));
    expect(daemons.filter(({ process }) => process.hasExited).map(({ id }) => id)).to.deep.equal([]);
    await expectServed(getSoundRequests(system));
  });
});

const ORDERS = { ...ORDER_SERVICE, service: 'orders' };

function getOpenPorts({ id, instance, adminUrl, entryUrl }: FleetDaemon): OpenPort[] {
  const peerAccess = { secret: SECRET, methods: METHODS };
  const host = '127.0.0.1';
  const ports: OpenPort[] = [
    { name: `${id} admin`, host, port: getPort(adminUrl) },
    { name: `${id} peers`, host, port: getPort(`http://${instance.peerAddress}`), peerAccess },
  ];
  return entryUrl === undefined ? ports : [...ports, { name: `${id} entry`, host, port: getPort(entryUrl) }];
}

function getPort(url: string): number {
  return Number(new URL(url).port);
}

/** Returns sound requests for all daemons; those of callers also pass the ports for peers. */
function getSoundRequests(system: TestSystem): SoundRequest[] {
  const daemons = [...system.fleet.daemons.values()];
  return [
    ...daemons.map(({ id, adminUrl }) => ({
      name: `${id} health`,
      send: () => getStatus(`${adminUrl}/healthz`),
    })),
    {
      name: 'model',
      send: async () =>
        (await system.chat('router-1', 'a', { model: `${DEFAULT_SERVICE.service}/base` })).status,
    },
    {
      name: 'order',
      send: async () => ((await system.sendOrder('router-1', 'o1', undefined)).status === 201 ? 200 : 0),
    },
  ];
}

async function getStatus(url: string): Promise<number> {
  const response = await fetch(url);
  await response.text();
  return response.status;
}
