import { expect } from 'chai';
import { request } from 'node:http';
import { PERMIT_METHODS, RESIDENCY_METHODS, STREAM_METHODS } from '../../src/direct/messages.js';
import { SystemClock } from '../../src/kernel/index.js';
import { PeerDialer, TrafficMeter } from '../../src/transport/index.js';
import { expectServed, type SoundRequest } from '../openPorts/expectServed.js';
import { findUncaught, OpenPortFuzzer, type OpenPort } from '../openPorts/OpenPortFuzzer.js';
import { SoakFleet, type SoakProcess } from '../soak/SoakFleet.js';
import { callRouter } from './programs.js';

const SEED = Number(process.env.FUZZ_SEED ?? 1);
const CONNECTION_COUNT = Number(process.env.FUZZ_RUNS ?? 4_000);
const SECRET = 's';
/** Port of the metrics endpoint, as configured in `deploy/system.toml`. */
const METRICS_PORT = 9464;
const METHODS = [
  ...Object.values(RESIDENCY_METHODS),
  ...Object.values(PERMIT_METHODS),
  ...Object.values(STREAM_METHODS),
];

// Issue 39, FAULT: what others sent to an open port ended agents and routers.
describe(`main (router and agent) with random connections to all ports, seed ${SEED}`, function () {
  this.timeout(600_000);
  let fleet: SoakFleet;

  beforeEach(async () => {
    fleet = new SoakFleet(
      () => undefined,
      () => undefined,
      () => undefined,
    );
    await fleet.start();
  });

  afterEach(() => fleet.stop());

  it('keeps every process running and serving', async () => {
    await expectServed(getSoundRequests(fleet));
    const pids = fleet.processes.map(({ child }) => child?.pid);
    const fuzzer = new OpenPortFuzzer(SEED, fleet.processes.flatMap(getOpenPorts), {
      targets: ['/read/1', '/stream/1', '/write/1', '/metrics', '/'],
      headers: ['Host: a.example', 'Request-Id: q1', 'Model: a'],
    });
    await fuzzer.run(CONNECTION_COUNT);
    // Peers with the secret may have sent other capacities; those of a new configuration replace them.
    fleet.publishConfiguration();
    const ended = fleet.processes.filter(
      ({ child }) => child?.exitCode !== null || child.signalCode !== null,
    );
    const outputs = ended.map(({ name, output }) => `${name}: ${output.slice(-20).join('\n')}`);
    expect(outputs).to.deep.equal([]);
    expect(fleet.processes.map(({ child }) => child?.pid)).to.deep.equal(pids);
    expect(fleet.processes.flatMap(({ output }) => findUncaught(output.join('\n')))).to.deep.equal([]);
    await expectServed(getSoundRequests(fleet));
  });
});

function getOpenPorts({ name, ip, isRouter }: SoakProcess): OpenPort[] {
  const { front, ready, peer } = SoakFleet.ports;
  const metrics = { name: `${name} metrics`, host: ip, port: METRICS_PORT };
  if (isRouter) {
    return [
      { name: `${name} callers`, host: ip, port: front },
      { name: `${name} readiness`, host: ip, port: ready },
      metrics,
    ];
  }
  const peerAccess = { secret: SECRET, methods: METHODS };
  return [{ name: `${name} peers`, host: ip, port: peer, peerAccess }, metrics];
}

/** Returns a sound request for each port of each process and, on routers, each model. */
function getSoundRequests(fleet: SoakFleet): SoundRequest[] {
  const { front, ready } = SoakFleet.ports;
  return fleet.processes.flatMap(({ name, ip, isRouter }) => {
    const metrics = { name: `${name} metrics`, send: () => getStatus(ip, METRICS_PORT, '/metrics') };
    if (!isRouter) {
      return [metrics, { name: `${name} peers`, send: async () => ((await isPeerAccepted(ip)) ? 200 : 0) }];
    }
    const models = fleet.modelWorkers[0]?.models ?? [];
    return [
      metrics,
      { name: `${name} readiness`, send: () => getStatus(ip, ready, '/') },
      { name: `${name} callers`, send: () => getStatus(ip, front, '/read/1') },
      ...models.map((model) => ({ name: `${name} model ${model}`, send: () => callModel(ip, model) })),
    ];
  });
}

async function getStatus(host: string, port: number, path: string): Promise<number | undefined> {
  return (await callRouter(host, port, path))?.status;
}

async function isPeerAccepted(ip: string): Promise<boolean> {
  const dialer = new PeerDialer('test', SECRET, new SystemClock(), new TrafficMeter());
  try {
    const connection = await dialer.connect(`${ip}:${SoakFleet.ports.peer}`);
    const reply = await connection.call(STREAM_METHODS.findOrigin, { requestId: 'unknown' });
    return (reply as { softwareVersion: unknown }).softwareVersion === null;
  } catch {
    return false;
  } finally {
    await dialer.close();
  }
}

/** Sends a request for a model; resolves to its status. */
function callModel(host: string, model: string): Promise<number | undefined> {
  return new Promise((resolve) => {
    const headers = { host: 'a.example', 'request-id': `sound-${model}`, model };
    const path = '/stream/1';
    const outgoing = request({ host, port: SoakFleet.ports.front, path, headers, agent: false });
    outgoing.on('response', (response) => {
      response.resume();
      response.on('close', () => resolve(response.statusCode));
    });
    outgoing.on('error', () => resolve(undefined));
    outgoing.end();
  });
}
